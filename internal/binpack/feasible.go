package binpack

import (
	"iter"
	"slices"

	"sableusher/internal/record"
)

// FilterFeasible selects the ready machines that have at least the smallest amount of each resource
// among needs, the needs of the pending tasks. FeasibleMachines returns the selected machines.
// FilterFeasible does nothing if needs is empty.
func (inv *Inventory) FilterFeasible(needs iter.Seq[record.Resources]) {
	isFirst := true
	for need := range needs {
		if isFirst {
			inv.minNeed, isFirst = need, false
		}
		inv.minNeed = record.Resources{
			CPUs:     min(inv.minNeed.CPUs, need.CPUs),
			GPUs:     min(inv.minNeed.GPUs, need.GPUs),
			MemoryGB: min(inv.minNeed.MemoryGB, need.MemoryGB),
		}
	}
	if isFirst {
		return
	}
	for shard := range inv.feasibleByShard {
		inv.feasibleByShard[shard] = inv.feasibleByShard[shard][:0]
	}
	for _, info := range inv.ready {
		if inv.minNeed.FitsIn(info.Free) {
			shard := info.Machine.Shard
			inv.feasibleByShard[shard] = append(inv.feasibleByShard[shard], info)
		}
	}
}

// FeasibleMachines returns the machines of a shard that FilterFeasible selected, without those that
// FindShard has since found to be filled. The inventory owns the list; callers must not change it.
func (inv *Inventory) FeasibleMachines(shard int) []*MachineInfo { return inv.feasibleByShard[shard] }

// retainFeasible removes, in place, the machines that have become too full for any pending task in
// this cycle.
func (inv *Inventory) retainFeasible(machines []*MachineInfo) []*MachineInfo {
	return slices.DeleteFunc(machines, func(info *MachineInfo) bool { return !inv.minNeed.FitsIn(info.Free) })
}

// KnownInfeasible reports whether an earlier failure in this cycle implies that the request does not
// fit; see FailedRequests.
func (inv *Inventory) KnownInfeasible(request *Request) bool {
	return inv.failedRequests.Covers(request)
}

// RecordFailure records for the rest of this cycle that a request did not fit.
func (inv *Inventory) RecordFailure(request *Request) { inv.failedRequests.Add(request) }

// FittingMachines returns the feasible machines of all shards on which a task of the request fits.
// If there are none, it records the failure. The list is valid until the next call.
func (inv *Inventory) FittingMachines(request *Request) []*MachineInfo {
	if inv.KnownInfeasible(request) {
		return nil
	}
	fitting := inv.fittingBuffer[:0]
	for _, machines := range inv.feasibleByShard {
		inv.examined += len(machines)
		for _, info := range machines {
			if request.fits(info) {
				fitting = append(fitting, info)
			}
		}
	}
	inv.fittingBuffer = fitting
	if len(fitting) == 0 {
		inv.RecordFailure(request)
	}
	return fitting
}

// ShardSearch are the options of FindShard.
type ShardSearch struct {
	// First is the shard that is searched first. The others follow in ascending order, wrapping
	// around after the last.
	First int
	// OnlyWithImage restricts the search to machines that are expected to hold the job's image.
	OnlyWithImage bool
}

// ShardFit is the result of FindShard.
type ShardFit struct {
	// Shard is the first shard found with capacity for all remaining tasks, or ShardSearch.First if
	// there is none.
	Shard int
	// FitsAll reports whether Shard has capacity for all remaining tasks.
	FitsAll bool
	// FitsAny reports whether any searched shard has capacity for at least one task.
	FitsAny bool
}

// FindShard searches the shards one after another for one with capacity for all remaining tasks of
// a request, and stops at the first that has it.
func (inv *Inventory) FindShard(request *Request, search ShardSearch) ShardFit {
	candidates := inv.feasibleByShard
	if search.OnlyWithImage {
		candidates = inv.imageHoldersByShard(request.Spec.Image)
	}
	fit := ShardFit{Shard: search.First}
	for i := range candidates {
		shard, tasks := (search.First+i)%len(candidates), 0
		candidates[shard] = inv.retainFeasible(candidates[shard])
		for _, info := range candidates[shard] {
			inv.examined++
			if !request.fits(info) {
				continue
			}
			fit.FitsAny = true
			tasks += TasksThatFit(request.Need, info.Free)
			if tasks >= request.Remaining {
				fit.Shard, fit.FitsAll = shard, true
				return fit
			}
		}
	}
	return fit
}

// ShardFits reports whether a task of the request fits on any feasible machine of a shard.
func (inv *Inventory) ShardFits(request *Request, shard int) bool {
	return slices.ContainsFunc(inv.feasibleByShard[shard], request.fits)
}
