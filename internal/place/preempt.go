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
// the machine by its owner. It tells whether there is a part where room could be made;
// once there is none, like needs of the same rank are not looked at again in this round:
// hundreds of arrays that wait behind a full fleet would each pass all of its machines.
func (r *round) preempt(du *due, i int, s *fit.Stock, z *fit.Zones) bool {
	ref := world.TaskRef{Job: du.job.Spec.ID, Index: i}
	if r.freeing[ref] {
		return true // room is being freed for it already
	}
	if r.stops >= tuning.RoundStops || r.rigid[du.rank].Cover(&du.Ask) {
		return false
	}
	first := (r.first(du.job) + i + r.turnOf(du)) % r.world.Size
	for k := range r.world.Size {
		p := (first + k) % r.world.Size
		_, mine := r.tokens[p]
		most := 1 // that there is one is all that matters where another node decides
		if mine {
			most = tuning.PreemptLook
		}
		from := preempt.Room(s.Ready(p), &du.Ask, du.rank, z, most)
		if len(from) == 0 {
			continue
		}
		if mine {
			if best, stop := preempt.Cheapest(du.Need, from, func(n *fit.Node) []preempt.Task { return r.victims(n, du) }); best != nil {
				r.stop(best, du, ref, stop)
				z.Count[best.M.Zone]++
			}
		}
		return true
	}
	// What must stand in certain zones may have missed for that alone.
	if !du.job.Spec.OneZone && !du.job.Spec.Spread {
		r.rigid[du.rank].Add(&du.Ask)
	}
	return false
}

// turnOf moves the part at which urgent work that finds no room has it made, every PreemptTurn that
// it still finds none: an owner may know that the machines of its part are not to be had which
// others take for ready, and all would wait for it. By the clock alone the turns passed in the
// midst of stops, and room was made twice.
func (r *round) turnOf(du *due) int {
	since, ok := r.lacks[du.job.Spec.ID]
	if !ok || du.rank > wire.Rank(wire.PriorityHigh) {
		return 0
	}
	return int(r.now.Sub(since) / tuning.PreemptTurn)
}

// freed counts with a job's tasks the machines on which room is being freed for it.
func (r *round) freed(job string, z *fit.Zones) {
	for name, h := range r.held {
		if m := r.world.Machines[name]; m != nil && h.ref.Job == job && !r.now.After(h.until) {
			z.Count[m.Zone]++
		}
	}
}

// victims gives the tasks on a machine that may be stopped for a job.
func (r *round) victims(n *fit.Node, du *due) []preempt.Task {
	claim := preempt.Claim{Rank: du.rank, Assured: du.assured, Promised: r.promised[du.job.Spec.ID], Team: du.job.Spec.Team, Need: du.Need}
	var list []preempt.Task
	for _, b := range n.M.Bound {
		if claim.Over(r.holder(b.Job)) && !b.Job.Cancelled() && world.Yields(&b.Job.Spec) && !r.fleet.StopRequested(b) {
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
	r.freeing[ref] = true
	for _, v := range victims {
		grace := 0.0
		if du.rank > 0 && v.Bound.Job.Spec.CheckpointS > 0 {
			grace = graced(&v.Bound.Job.Spec)
		}
		r.log.Debug("stopping a task for one of higher priority", "task", v.Bound.Ref, "for", ref, "machine", n.M.Name)
		r.fleet.RequestStop(v.Bound, n.M.Name, grace)
	}
}

// holder is what a running job has to say for itself.
func (r *round) holder(j *world.Job) preempt.Holder {
	_, guaranteed := r.quota.Guarantee(j.Spec.Team)
	return preempt.Holder{Rank: r.rank(j), Assured: r.covered[j.Spec.ID], Guaranteed: guaranteed, Team: j.Spec.Team,
		Passing: j.Spec.Kind == wire.KindArray && r.run(j) < tuning.Passing}
}

// cost is the work lost when a task is stopped, in machine seconds.
func (r *round) cost(b world.Binding, n *fit.Node) float64 {
	t := r.fleet.ObserveTask(b, n.M.Name, r.tokens[n.M.Part])
	ran := 0.0
	if t.State == wire.TaskRunning {
		ran = r.now.Sub(t.Since).Seconds()
	}
	if c := b.Job.Spec.CheckpointS; c > 0 {
		ran = min(ran, c)
	}
	return 1 + ran
}
