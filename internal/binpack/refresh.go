package binpack

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Snapshot is the input of Refresh. Callers must hold the lock of State as long as they use the
// inventory.
type Snapshot struct {
	Now   time.Time
	State *clusterstate.State
	// LiveShards reports, by shard, whether the owner of the shard is alive.
	LiveShards []bool
	// FencingTokens holds the fencing tokens of the caller's own shards, by shard.
	FencingTokens map[int]uint64
	// AssessReadiness returns what a machine can be used for. It is called only for machines of a
	// known type that are neither being deleted nor draining. owned reports whether the machine is
	// in one of the caller's own shards.
	AssessReadiness func(machine *clusterstate.Machine, owned bool) Readiness
}

// Refresh prepares an inventory for the next cycle and returns it. changed holds the names of the
// machines to evaluate again, which must include those whose records changed since the previous
// cycle. Refresh builds a new inventory if inv is nil, if the previous build is at least
// tuning.SweepInterval ago, or if the ownership or liveness of any shard changed.
func Refresh(inv *Inventory, snapshot Snapshot, changed ...map[string]struct{}) *Inventory {
	if inv == nil || inv.mustRebuild(&snapshot) {
		inv = newInventory(snapshot)
	} else {
		inv.snapshot = snapshot
		inv.undoModifications()
		inv.refreshChanged(changed)
	}
	inv.images.holders = map[string][][]*MachineInfo{}
	inv.failedRequests = nil
	inv.examined = 0
	return inv
}

// mustRebuild reports whether the inventory has to be built again rather than updated.
func (inv *Inventory) mustRebuild(snapshot *Snapshot) bool {
	return snapshot.Now.Sub(inv.builtAt) >= tuning.SweepInterval ||
		!slices.Equal(inv.snapshot.LiveShards, snapshot.LiveShards) ||
		!maps.Equal(inv.snapshot.FencingTokens, snapshot.FencingTokens)
}

func newInventory(snapshot Snapshot) *Inventory {
	state := snapshot.State
	inv := &Inventory{
		snapshot:        snapshot,
		builtAt:         snapshot.Now,
		types:           newTypeIndex(state.Catalog.Types),
		machines:        make(map[string]*MachineInfo, len(state.Machines)),
		byShard:         make([][]*MachineInfo, state.ShardCount),
		feasibleByShard: make([][]*MachineInfo, state.ShardCount),
		images:          newImageIndex(),
	}
	for shard, machines := range state.MachinesByShard {
		infos := make([]MachineInfo, len(machines))
		for i, machine := range machines {
			info := &infos[i]
			info.Machine = machine
			inv.machines[machine.Name] = info
			inv.byShard[shard] = append(inv.byShard[shard], info)
			inv.evaluate(info)
		}
	}
	inv.rebuildLists()
	return inv
}

// undoModifications reverts the allocations and reservations of the previous cycle.
func (inv *Inventory) undoModifications() {
	for _, info := range inv.modified {
		info.Free, info.ReservedFor, info.modified = info.recordedFree, "", false
	}
	inv.modified = inv.modified[:0]
}

// refreshChanged applies the records of the named machines.
func (inv *Inventory) refreshChanged(changed []map[string]struct{}) {
	listsChanged := false
	for _, names := range changed {
		for name := range names {
			listsChanged = inv.refreshMachine(name) || listsChanged
		}
	}
	if listsChanged {
		inv.rebuildLists()
	}
}

// refreshMachine applies the changed record of a machine, and reports whether the lists of ready and
// pending machines have to be rebuilt.
func (inv *Inventory) refreshMachine(name string) bool {
	machine, info := inv.snapshot.State.Machines[name], inv.machines[name]
	if info != nil && info.Machine == machine {
		before := info.readiness
		inv.evaluate(info)
		return info.readiness != before
	}
	if info != nil {
		inv.removeMachine(info)
	}
	if machine != nil {
		inv.addMachine(machine)
	}
	return true
}

func (inv *Inventory) removeMachine(info *MachineInfo) {
	name, shard := info.Machine.Name, info.Machine.Shard
	delete(inv.machines, name)
	if i, ok := slices.BinarySearchFunc(inv.byShard[shard], name, compareName); ok {
		inv.byShard[shard] = slices.Delete(inv.byShard[shard], i, i+1)
	}
}

func (inv *Inventory) addMachine(machine *clusterstate.Machine) {
	info, shard := &MachineInfo{Machine: machine}, machine.Shard
	inv.machines[machine.Name] = info
	i, _ := slices.BinarySearchFunc(inv.byShard[shard], machine.Name, compareName)
	inv.byShard[shard] = slices.Insert(inv.byShard[shard], i, info)
	inv.evaluate(info)
}

// evaluate computes the capacity, free capacity, bound images and readiness of a machine from the
// records. It drops the allocations and the reservation of the current cycle.
func (inv *Inventory) evaluate(info *MachineInfo) {
	machine := info.Machine
	_, info.Owned = inv.snapshot.FencingTokens[machine.Shard]
	capacity, isKnownType := inv.types.capacity[machine.Type]
	info.Capacity = capacity
	info.recordedFree = capacity.Minus(machine.Used)
	info.Free, info.ReservedFor, info.modified = info.recordedFree, "", false
	info.boundImages.ClearAll()
	for image := range machine.TasksByImage {
		info.boundImages.Set(inv.images.id(image))
	}
	info.readiness = Unavailable
	if !machine.Deleting && !machine.Draining && isKnownType {
		info.readiness = inv.snapshot.AssessReadiness(machine, info.Owned)
	}
}

// rebuildLists rebuilds the lists of ready and pending machines.
func (inv *Inventory) rebuildLists() {
	inv.ready, inv.pending, inv.readyOffsets = inv.ready[:0], inv.pending[:0], inv.readyOffsets[:0]
	for _, machines := range inv.byShard {
		inv.readyOffsets = append(inv.readyOffsets, len(inv.ready))
		for _, info := range machines {
			switch info.readiness {
			case Ready:
				inv.ready = append(inv.ready, info)
			case Pending:
				inv.pending = append(inv.pending, info)
			}
		}
	}
	inv.readyOffsets = append(inv.readyOffsets, len(inv.ready))
}

// typeIndex holds the properties of the machine types that allocation uses.
type typeIndex struct {
	capacity map[string]record.Resources
	// fetchRate is the rate in GB per second at which machines of a type fetch images.
	fetchRate    map[string]float64
	maxFetchRate float64
	// differ reports whether the types differ in cores or fetch rate.
	differ bool
}

func newTypeIndex(types map[string]wire.MachineType) typeIndex {
	index := typeIndex{
		capacity:  map[string]record.Resources{},
		fetchRate: map[string]float64{},
	}
	var first wire.MachineType
	for name, machineType := range types {
		index.capacity[name] = record.Capacity(&machineType)
		index.fetchRate[name] = machineType.ImageFetchGBps
		index.maxFetchRate = max(index.maxFetchRate, machineType.ImageFetchGBps)
		if first.Name == "" {
			first = machineType
		}
		if machineType.ImageFetchGBps != first.ImageFetchGBps || machineType.CPUs != first.CPUs {
			index.differ = true
		}
	}
	return index
}
