package place

import (
	"sableusher/internal/fit"
	"sableusher/internal/preempt"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// preempt frees room for a task of higher priority on the machine of this
// node's parts where the least work is lost. All nodes play this round, but only
// an owner knows what its tasks would lose: the part is chosen by what all know,
// the machine by its owner.
func (r *round) preempt(du *due, i int, s *fit.Stock, z *fit.Zones) {
	ref := world.TaskRef{Job: du.job.Spec.ID, Index: i}
	for _, h := range r.held {
		if h.ref == ref {
			return // room is being freed for it already
		}
	}
	if r.stops >= tuning.RoundStops {
		return
	}
	byPart := preempt.Parts(s.Ready(), &du.Ask, du.rank, z, r.world.Size)
	first := (r.first(du.job) + i) % r.world.Size
	for k := range byPart {
		p := (first + k) % r.world.Size
		if len(byPart[p]) == 0 {
			continue
		}
		if _, mine := r.tokens[p]; mine {
			from := byPart[p][:min(len(byPart[p]), tuning.PreemptLook)]
			if best, stop := preempt.Cheapest(du.Need, from, func(n *fit.Node) []preempt.Task { return r.victims(n, du) }); best != nil {
				r.stop(best, du, ref, stop)
			}
		}
		return
	}
}

// victims gives the tasks on a machine that may be stopped for a job.
func (r *round) victims(n *fit.Node, du *due) []preempt.Task {
	claim := preempt.Claim{Rank: du.rank, Assured: du.assured, Team: du.job.Spec.Team, Need: du.Need}
	var list []preempt.Task
	for _, b := range n.M.Bound {
		if claim.Over(r.holder(b.Job)) && !b.Job.Cancelled() && world.Yields(&b.Job.Spec) && !r.fleet.Stopping(b) {
			list = append(list, preempt.Task{Bound: b, Rank: r.rank(b.Job), Cost: r.cost(b, n)})
		}
	}
	return list
}

// stop stops tasks on a machine until another has room there, and keeps the room.
func (r *round) stop(n *fit.Node, du *due, ref world.TaskRef, victims []preempt.Task) {
	r.stops++
	r.stock.Clear(n, ref.Job)
	r.held[n.M.Name] = reserve{ref, r.now.Add(tuning.PreemptHold)}
	for _, v := range victims {
		grace := 0.0
		if du.rank > 0 && v.Bound.Job.Spec.CheckpointS > 0 {
			grace = graced(&v.Bound.Job.Spec)
		}
		r.log.Debug("stopping a task for one of higher priority", "task", v.Bound.Ref, "for", ref, "machine", n.M.Name)
		r.fleet.Stop(v.Bound, n.M.Name, grace)
	}
}

// holder is what a running job has to say for itself.
func (r *round) holder(j *world.Job) preempt.Holder {
	_, guaranteed := r.quota.Guarantee(j.Spec.Team)
	return preempt.Holder{Rank: r.rank(j), Assured: r.assured[j.Spec.ID], Guaranteed: guaranteed, Team: j.Spec.Team}
}

// cost is the work lost when a task is stopped, in machine seconds.
func (r *round) cost(b world.Binding, n *fit.Node) float64 {
	t := r.fleet.Fate(b, n.M.Name, r.tokens[n.M.Part])
	ran := 0.0
	if t.State == wire.TaskRunning {
		ran = r.now.Sub(t.Since).Seconds()
	}
	if c := b.Job.Spec.CheckpointS; c > 0 {
		ran = min(ran, c)
	}
	return 1 + ran
}
