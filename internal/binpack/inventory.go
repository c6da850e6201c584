package binpack

import (
	"slices"
	"time"

	"sableusher/internal/record"
)

// Inventory is the free capacity of all machines during a scheduling cycle. It is kept from cycle
// to cycle by Refresh, which takes in the machines that changed and undoes what the cycle before
// allocated; what depends on time alone is computed anew at each sweep. It is not safe for
// concurrent use.
//
// Within a cycle all machines are examined once, and once more for each kind of need that may still
// fit: a request that found no capacity is remembered, so that a long queue in front of full
// machines costs little. Machines that are too full for any waiting task are skipped.
type Inventory struct {
	// NeedPerGPU is what GPU tasks take of the other resources for each GPU.
	NeedPerGPU record.Resources
	// CommonNeed is what a task takes of the work that asks for the most cores; zero if that work
	// uses GPUs or none is known.
	CommonNeed record.Resources

	snapshot Snapshot
	builtAt  time.Time
	types    typeIndex
	machines map[string]*MachineInfo // by name
	byShard  [][]*MachineInfo        // by shard, ordered by name
	modified []*MachineInfo          // by this cycle, or the last one until Refresh

	ready        []*MachineInfo // ordered by shard and name
	readyOffsets []int          // where each shard begins in ready, and the end
	pending      []*MachineInfo // ordered by shard and name
	pendingBins  []*pendingBin

	minNeed         record.Resources // the least of each resource that a waiting task needs
	feasibleByShard [][]*MachineInfo // ready machines with minNeed free
	fittingBuffer   []*MachineInfo   // the list that FittingMachines returned last
	failedRequests  FailedRequests
	examined        int

	images imageIndex
}

// adjustFree adds a multiple of some resources to what a machine has free.
func (inv *Inventory) adjustFree(info *MachineInfo, resources record.Resources, times float64) {
	inv.markModified(info)
	info.Free = info.Free.PlusTimes(resources, times)
}

func (inv *Inventory) markModified(info *MachineInfo) {
	if !info.modified {
		info.modified = true
		inv.modified = append(inv.modified, info)
	}
}

// ConsumeByName takes the capacity that tasks on their way to a machine need. An unknown machine is
// ignored.
func (inv *Inventory) ConsumeByName(machine string, resources record.Resources) {
	if info := inv.machines[machine]; info != nil {
		inv.adjustFree(info, resources, -1)
	}
}

// ReserveFor reserves a machine's free capacity for a job in this cycle; an empty job ID ends the
// reservation. An unknown machine is ignored.
func (inv *Inventory) ReserveFor(machine, jobID string) {
	if info := inv.machines[machine]; info != nil {
		inv.markModified(info)
		info.ReservedFor = jobID
	}
}

// ReserveAll reserves a machine for a job and takes all its free capacity: the job waits there for
// what is being preempted.
func (inv *Inventory) ReserveAll(info *MachineInfo, jobID string) {
	inv.markModified(info)
	info.ReservedFor, info.Free = jobID, record.Resources{}
}

// Release gives back the capacity that was allocated to a request.
func (inv *Inventory) Release(request *Request, picks []*MachineInfo) {
	for _, info := range picks {
		inv.adjustFree(info, request.Need, 1)
	}
	request.Remaining += len(picks)
}

// ReadyMachines returns the ready machines of a shard, ordered by name. The list is the
// inventory's own.
func (inv *Inventory) ReadyMachines(shard int) []*MachineInfo {
	return inv.ready[inv.readyOffsets[shard]:inv.readyOffsets[shard+1]]
}

// Examined returns how many machines the cycle has examined so far.
func (inv *Inventory) Examined() int { return inv.examined }

// HasFreeCapacity reports whether any ready machine has some of each of its resources free.
func (inv *Inventory) HasFreeCapacity() bool {
	return slices.ContainsFunc(inv.ready, func(info *MachineInfo) bool {
		return FreeFraction(info.Free, info.Capacity) > 0
	})
}
