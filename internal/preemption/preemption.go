// Package preemption decides which running tasks make room for one that waits.
//
// It decides only. Who owns what, what a task would lose, and the stopping itself are its
// caller's: all nodes find the same part by what all know, the part's owner finds the
// machine and the tasks.
package preemption

import (
	"cmp"
	"math"
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Preemptor is what a waiting job brings against others.
type Preemptor struct {
	Rank            int  // of its priority; 0 is the highest
	WithinGuarantee bool // within its team's guarantee
	// Promised: it was within it when it came, so that its team need not wait for others. What
	// comes to lie within it later, as the team's earlier work ends, has its turn in order.
	GuaranteedOnArrival bool
	Team                string
	Need                record.Resources // of each task
}

// RunningJob is what a running job has to say for itself.
type RunningJob struct {
	Rank             int
	WithinGuarantee  bool
	TeamHasGuarantee bool // its team has a guarantee
	EndsSoon         bool // its tasks end by themselves before long: their room comes back anyway
	Team             string
}

// MayPreempt tells whether a holder's tasks may be stopped for the claim: they have a lower
// priority, or another team borrows with them what the job's team is guaranteed. For what
// was not promised nothing is stopped that ends soon: in a burst that fills all guarantees
// arrays of all teams once stopped each other 2,500 times on a day, half of them within 4 s
// of being placed, each for a save, a fetch and three changes of records.
func (p Preemptor) MayPreempt(running RunningJob) bool {
	if running.Rank > p.Rank {
		return !running.WithinGuarantee || p.Rank <= wire.PriorityHigh.Rank()
	}
	return p.WithinGuarantee && running.TeamHasGuarantee && !running.WithinGuarantee && running.Team != p.Team && running.Rank == p.Rank && (p.GuaranteedOnArrival || !running.EndsSoon)
}

// CandidateMachines gives, up to a number, those of some machines on which a task would have room once
// what yields to its rank has left, and has none now.
func CandidateMachines(machines []*binpack.MachineInfo, request *binpack.Request, rank int, zones *binpack.ZoneConstraint, limit int) []*binpack.MachineInfo {
	var candidates []*binpack.MachineInfo
	for _, machine := range machines {
		// What costs least to see is asked first: most machines fall out by it.
		if machine.ReservedFor != "" || request.Need.FitsIn(machine.Free) {
			continue
		}
		free := machine.Free
		for lowerRank := rank; lowerRank < len(machine.Machine.PreemptibleByRank); lowerRank++ {
			free = free.Plus(machine.Machine.PreemptibleByRank[lowerRank])
		}
		if !request.Need.FitsIn(free) || !binpack.Eligible(request.Spec, machine.Machine) || !zones.Allows(machine.Machine.Zone) {
			continue
		}
		if candidates = append(candidates, machine); len(candidates) >= limit {
			break
		}
	}
	return candidates
}

// Victim is a running task that may be stopped.
type Victim struct {
	Binding            clusterstate.Binding
	Rank               int
	LostMachineSeconds float64 // work lost when it is stopped, in machine seconds
}

// SortVictims puts tasks in the order in which they are stopped: the lowest priority first, of
// one priority what loses least.
func SortVictims(victims []Victim) {
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(-cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.LostMachineSeconds, b.LostMachineSeconds), cmp.Compare(a.Binding.Ref.String(), b.Binding.Ref.String()))
	})
}

// MinimalVictims gives the first of some tasks in order that make room for a need together with
// what is free, and their cost; ok is false if all of them don't.
func MinimalVictims(need, free record.Resources, victims []Victim) (chosen []Victim, cost float64, ok bool) {
	for i, victim := range victims {
		if need.FitsIn(free) {
			return victims[:i], cost, true
		}
		free = free.Plus(record.TaskResources(&victim.Binding.Job.Spec))
		cost += victim.LostMachineSeconds
	}
	return victims, cost, need.FitsIn(free)
}

// CheapestMachine finds among machines the one where making room costs least; tasks gives those
// that may be stopped on one. It gives nil if none makes room.
func CheapestMachine(need record.Resources, machines []*binpack.MachineInfo, victimsOn func(*binpack.MachineInfo) []Victim) (*binpack.MachineInfo, []Victim) {
	var best *binpack.MachineInfo
	var chosen []Victim
	leastCost := math.Inf(1)
	for _, machine := range machines {
		victims := victimsOn(machine)
		SortVictims(victims)
		if prefix, cost, ok := MinimalVictims(need, machine.Free, victims); ok && cost < leastCost {
			best, chosen, leastCost = machine, prefix, cost
		}
	}
	return best, chosen
}
