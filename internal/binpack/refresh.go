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

// Snapshot is what an inventory is refreshed from. Callers hold the lock of State while the
// inventory is used.
type Snapshot struct {
	Now   time.Time
	State *clusterstate.State
	// LiveShards is set for each shard whose owner is alive.
	LiveShards []bool
	// FencingTokens are those of the caller's own shards, by shard.
	FencingTokens map[int]uint64
	// AssessReadiness says what a machine of a known type can be used for, if it is neither being
	// deleted nor draining.
	AssessReadiness func(machine *clusterstate.Machine, owned bool) Readiness
}

// Refresh prepares an inventory for the next cycle. changed names the machines whose records
// changed since the last one. A nil inventory, one that is due for a sweep, and one whose shards
// changed hands are built anew.
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

// undoModifications gives back what the last cycle allocated and reserved.
func (inv *Inventory) undoModifications() {
	for _, info := range inv.modified {
		info.Free, info.ReservedFor, info.modified = info.recordedFree, "", false
	}
	inv.modified = inv.modified[:0]
}

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

// refreshMachine takes in a machine whose record changed, and reports whether the lists of ready
// and pending machines change with it.
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

// evaluate computes from the records what a machine has free and can be used for.
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

// rebuildLists lists the ready and the pending machines.
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

// typeIndex is what the inventory knows of the machine types.
type typeIndex struct {
	capacity map[string]record.Resources
	// fetchRate is the rate in GB per second at which machines of a type fetch images.
	fetchRate    map[string]float64
	maxFetchRate float64
	// differ is set if the types differ in cores or fetch rate.
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
