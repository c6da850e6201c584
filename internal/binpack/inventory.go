package binpack

import (
	"slices"
	"time"

	"sableusher/internal/record"
)

// Inventory is the free capacity of all machines during a scheduling cycle. Refresh reuses it from
// cycle to cycle: it applies the records that changed and undoes the allocations of the previous
// cycle. Properties that change only because time passes are computed again when the inventory is
// rebuilt, every tuning.SweepInterval. An Inventory is not safe for concurrent use.
//
// In each cycle all machines are examined once, and once more for each distinct request that may
// still fit. Requests that did not fit are recorded, so that a long queue costs little while the
// machines are full. Machines that are too full for any pending task are skipped.
type Inventory struct {
	// NeedPerGPU is the amount of the other resources that GPU tasks use for each GPU.
	NeedPerGPU record.Resources
	// CommonTaskNeed is the need of a common task: at least half of all requested cores are for tasks
	// that use as many cores or more. It is zero while any job uses GPUs, and until a job is known.
	CommonTaskNeed record.Resources

	snapshot Snapshot
	builtAt  time.Time
	types    typeIndex
	machines map[string]*MachineInfo // by name
	byShard  [][]*MachineInfo        // by shard, ordered by name
	modified []*MachineInfo          // in this cycle; Refresh resets these machines

	ready        []*MachineInfo // ordered by shard and name
	readyOffsets []int          // index in ready at which each shard begins, and len(ready)
	pending      []*MachineInfo // ordered by shard and name
	pendingBins  []*pendingBin

	minNeed         record.Resources // the smallest amount of each resource that any pending task needs
	feasibleByShard [][]*MachineInfo // ready machines with minNeed free
	fittingBuffer   []*MachineInfo   // backing array of the list that FittingMachines returned last
	failedRequests  FailedRequests
	examined        int // machines examined in this cycle

	images imageIndex
}

// adjustFree adds a multiple of resources to the free capacity of a machine.
func (inv *Inventory) adjustFree(info *MachineInfo, resources record.Resources, times float64) {
	inv.markModified(info)
	info.Free = info.Free.PlusTimes(resources, times)
}

// markModified records that this cycle changed a machine, so that the next Refresh resets it.
func (inv *Inventory) markModified(info *MachineInfo) {
	if !info.modified {
		info.modified = true
		inv.modified = append(inv.modified, info)
	}
}

// ConsumeByName subtracts the capacity of tasks whose bindings to a machine are in flight. An unknown
// machine is ignored.
func (inv *Inventory) ConsumeByName(machine string, resources record.Resources) {
	if info := inv.machines[machine]; info != nil {
		inv.adjustFree(info, resources, -1)
	}
}

// ReserveFor reserves a machine's free capacity for a job until the end of this cycle. An empty job
// ID ends the reservation. An unknown machine is ignored.
func (inv *Inventory) ReserveFor(machine, jobID string) {
	if info := inv.machines[machine]; info != nil {
		inv.markModified(info)
		info.ReservedFor = jobID
	}
}

// ReserveAll reserves a machine for a job and sets its free capacity to zero. It is used while the
// job waits for the tasks that are being preempted on the machine.
func (inv *Inventory) ReserveAll(info *MachineInfo, jobID string) {
	inv.markModified(info)
	info.ReservedFor, info.Free = jobID, record.Resources{}
}

// Release undoes the allocation of a request's tasks to the machines in picks.
func (inv *Inventory) Release(request *Request, picks []*MachineInfo) {
	for _, info := range picks {
		inv.adjustFree(info, request.Need, 1)
	}
	request.Remaining += len(picks)
}

// ReadyMachines returns the ready machines of a shard, ordered by name. The inventory owns the list;
// callers must not change it.
func (inv *Inventory) ReadyMachines(shard int) []*MachineInfo {
	return inv.ready[inv.readyOffsets[shard]:inv.readyOffsets[shard+1]]
}

// Examined returns how many machines this cycle has examined so far.
func (inv *Inventory) Examined() int { return inv.examined }

// HasFreeCapacity reports whether any ready machine has a free amount of every resource that its type
// provides.
func (inv *Inventory) HasFreeCapacity() bool {
	return slices.ContainsFunc(inv.ready, func(info *MachineInfo) bool {
		return FreeFraction(info.Free, info.Capacity) > 0
	})
}
