package binpack

import (
	"iter"
	"slices"

	"sableusher/internal/record"
)

// FilterFeasible sets aside the ready machines that are too full for any of the needs. It does
// nothing if there are no needs.
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

// FeasibleMachines returns the ready machines of a shard that some waiting task may fit on. The
// list is the inventory's own.
func (inv *Inventory) FeasibleMachines(shard int) []*MachineInfo { return inv.feasibleByShard[shard] }

// retainFeasible removes from a list, in place, the machines that this cycle has filled.
func (inv *Inventory) retainFeasible(machines []*MachineInfo) []*MachineInfo {
	return slices.DeleteFunc(machines, func(info *MachineInfo) bool { return !inv.minNeed.FitsIn(info.Free) })
}

// KnownInfeasible reports whether this cycle has found no capacity for such a request before.
func (inv *Inventory) KnownInfeasible(request *Request) bool {
	return inv.failedRequests.Covers(request)
}

// RecordFailure remembers for this cycle that a request has found no capacity.
func (inv *Inventory) RecordFailure(request *Request) { inv.failedRequests.Add(request) }

// FittingMachines returns the ready machines on which a task of the request fits. The list is valid
// until the next call.
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

// ShardSearch says how FindShard searches.
type ShardSearch struct {
	// First is the shard to begin with; the others follow in a circle.
	First int
	// OnlyWithImage restricts the search to machines that are believed to hold the job's image.
	OnlyWithImage bool
}

// ShardFit is the result of FindShard.
type ShardFit struct {
	// Shard is the first shard with capacity for all remaining tasks, or the shard that the search
	// began with if there is none.
	Shard int
	// FitsAll is set if Shard has capacity for all remaining tasks.
	FitsAll bool
	// FitsAny is set if there is capacity for at least one task anywhere.
	FitsAny bool
}

// FindShard searches shard by shard for capacity for all remaining tasks of a request, and stops at
// the first that has it.
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

// ShardFits reports whether a task of the request fits on some machine of a shard.
func (inv *Inventory) ShardFits(request *Request, shard int) bool {
	return slices.ContainsFunc(inv.feasibleByShard[shard], request.fits)
}
