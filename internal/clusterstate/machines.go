package clusterstate

import (
	"cmp"
	"maps"
	"slices"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Machine is a machine that has a record of its own or is listed in an open rental.
type Machine struct {
	record.Machine
	Name        string
	Shard       int
	ModRevision uint64 // 0 if the machine has no record of its own
	Bindings    map[record.TaskRef]Binding
	Used        record.Resources // by the bound tasks
	// PreemptibleByRank is the part of Used whose tasks may be preempted individually, by priority rank.
	PreemptibleByRank [wire.PriorityCount]record.Resources
	// TasksByImage counts the bound tasks by image.
	TasksByImage map[string]int
}

// addUsage adds the resources of count tasks of a job; count may be negative.
func (m *Machine) addUsage(spec *wire.JobSpec, count int) {
	need := record.TaskResources(spec)
	m.Used = m.Used.PlusTimes(need, float64(count))
	if record.TaskPreemptible(spec) {
		rank := spec.Priority.Rank()
		m.PreemptibleByRank[rank] = m.PreemptibleByRank[rank].PlusTimes(need, float64(count))
	}
	if m.TasksByImage[spec.Image] += count; m.TasksByImage[spec.Image] <= 0 {
		delete(m.TasksByImage, spec.Image)
	}
}

// resetUsage clears the rounding errors that remain in the usage of a machine without tasks.
func (m *Machine) resetUsage() {
	m.Used, m.PreemptibleByRank = record.Resources{}, [wire.PriorityCount]record.Resources{}
}

func compareMachineName(machine *Machine, name string) int { return cmp.Compare(machine.Name, name) }

// machineEntry returns a machine's entry and creates it if it does not exist. A new entry takes over the machine's
// orphan bindings.
func (s *State) machineEntry(name string) *Machine {
	if machine := s.Machines[name]; machine != nil {
		return machine
	}
	machine := &Machine{Name: name, Shard: record.ShardOf(name, s.ShardCount),
		Bindings: map[record.TaskRef]Binding{}, TasksByImage: map[string]int{}}
	s.Machines[name] = machine
	s.longestMachineName = max(s.longestMachineName, len(name))
	ofShard := s.MachinesByShard[machine.Shard]
	at, _ := slices.BinarySearchFunc(ofShard, name, compareMachineName)
	s.MachinesByShard[machine.Shard] = slices.Insert(ofShard, at, machine)
	if orphans := s.OrphanBindings[name]; orphans != nil {
		machine.Bindings = orphans
		for _, binding := range orphans {
			machine.addUsage(&binding.Job.Spec, 1)
		}
		delete(s.OrphanBindings, name)
	}
	return machine
}

func (s *State) putMachine(change recordChange, stored record.Machine) {
	machine := s.machineEntry(change.name)
	machine.Machine, machine.ModRevision = stored, change.modRevision
	s.changes.markMachine(change.name)
}

func (s *State) deleteMachine(change recordChange) {
	machine := s.Machines[change.name]
	if machine == nil {
		return
	}
	s.changes.markMachine(change.name)
	if rental, ok := s.Rentals[s.rentalByMachine[change.name]]; ok {
		// The rental still lists the machine, so it is treated as one that is not up yet.
		machine.Machine, machine.ModRevision = rental.InitialMachine(), 0
		return
	}
	s.removeMachine(machine)
}

// removeMachine removes a machine from the indexes and keeps its bindings in OrphanBindings.
func (s *State) removeMachine(machine *Machine) {
	delete(s.Machines, machine.Name)
	ofShard := s.MachinesByShard[machine.Shard]
	if at, ok := slices.BinarySearchFunc(ofShard, machine.Name, compareMachineName); ok {
		s.MachinesByShard[machine.Shard] = slices.Delete(ofShard, at, at+1)
	}
	if len(machine.Bindings) > 0 {
		s.OrphanBindings[machine.Name] = maps.Clone(machine.Bindings)
	}
}

// LongestMachineName returns the length in bytes of the longest machine name seen so far. The caller must hold the
// lock.
func (s *State) LongestMachineName() int { return s.longestMachineName }

// SizeLimits returns the limits for records of at most maxBytes, with an allowance for the longest machine name seen
// so far. The caller must hold the lock.
func (s *State) SizeLimits(maxBytes int) record.SizeLimits {
	return record.NewSizeLimits(maxBytes, s.longestMachineName)
}
