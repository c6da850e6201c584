package place

import (
	"math/bits"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/fit"
	"sableusher/internal/floor"
	"sableusher/internal/order"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// inTime finds which aim each waiting array can meet with the room there is: the room that
// arrays may use, on machines that are up, serves them one after the other. Gangs and
// services are not held against it: they come before, and take what they need whole.
// It reads records and estimates only, so that all nodes find nearly the same.
func (r *round) inTime() {
	r.objectivesAt, r.missesAllObjectives, r.reachableObjective = r.now, map[string]bool{}, map[string]time.Time{}
	r.capacityShort = [wire.PriorityCount]bool{}
	var lists [wire.PriorityCount][]order.WaitingJob
	aims := map[string][]time.Time{}
	waiting := map[string]int{}
	var runs [wire.PriorityCount]float64 // of the machine time that running arrays still take
	for id, j := range r.cluster.Jobs {
		if j.Spec.Kind != wire.KindArray || !j.CanStart() {
			continue
		}
		rank, share, run := r.rank(j), r.shareOf(&j.Spec), r.expected(j)
		r.recentArrivals.RecordArrival(r.now, id, j.Spec.Class, j.Spec.Team, j.Spec.TaskCount, j.ReadySince())
		runs[rank] += float64(j.BoundCount) * share * run.Seconds() / 2 // half is left on average
		if j.PendingCount() == 0 {
			continue
		}
		waiting[id] = j.PendingCount()
		if aims[id] = r.aims(j); len(aims[id]) == 0 {
			continue
		}
		w := order.WaitingJob{JobID: id, ServiceTime: time.Duration(float64(j.PendingCount()) * share * float64(run)), TaskRunTime: run}
		for _, at := range aims[id] {
			w.Objectives = append(w.Objectives, at.Sub(r.now))
		}
		lists[rank] = append(lists[rank], w)
	}
	r.underserved = r.recentArrivals.Underserved(r.now, waiting)
	for rank, list := range lists {
		if len(list) == 0 {
			continue
		}
		room := r.roomFor(rank)
		if room < 1 {
			continue // nothing is up: who could be in time can't be told
		}
		for i := range list {
			list[i].ServiceTime = time.Duration(float64(list[i].ServiceTime) / room)
		}
		backlog := time.Duration(runs[rank] / room * float64(time.Second))
		missed, takes := 0, time.Duration(0)
		for id, aim := range order.AttainableObjectives(backlog, list) {
			if aim < 0 {
				r.missesAllObjectives[id] = true
				missed++
				continue
			}
			r.reachableObjective[id] = aims[id][aim]
			first, _ := r.reachable(aims[id], r.expected(r.cluster.Jobs[id]))
			r.capacityShort[rank] = r.capacityShort[rank] || first.Before(r.reachableObjective[id])
		}
		r.capacityShort[rank] = r.capacityShort[rank] || missed > 0
		for _, w := range list {
			takes += w.ServiceTime
		}
		r.log.Debug("arrays against the room", "rank", rank, "waiting", len(list), "missed", missed, "short", r.capacityShort[rank], "room", int(room), "busy", backlog, "takes", takes)
	}
}

// size is the class of what an array still takes, by powers of two, where room is so short
// that not all arrays can be in time; 0 elsewhere. The large would each hold up many
// that are over soon: by the smallest first the mean of what all wait is least (Smith,
// Various optimizers for single-stage production, Naval Research Logistics 3, 1956), and with
// it the payoff's responsiveness highest. Within a class danger and value decide. The owner's
// estimate tells the jobs of one class apart, which the class's median can't.
func (r *round) size(j *world.Job) int {
	if j.Spec.Kind == wire.KindService && r.scarce() {
		return 1 + j.BoundCount // the fewest replicas left first
	}
	if j.Spec.Kind != wire.KindArray || !r.capacityShort[r.rank(j)] {
		return 0
	}
	if r.floor(j) || r.lastCall(j) {
		return -1
	}
	return 1 + bits.Len(uint(float64(j.PendingCount())*r.expected(j).Seconds()))
}

// scarce tells whether services have found no room of late, as after the loss of a zone. Then one
// replica of each starts before the second of any, and those with the fewest left go first.
func (r *round) scarce() bool { return r.now.Sub(r.lastServiceShortage) < tuning.ServicesLack }

// lastCall tells whether an array has to start soon to be in time for the last of its aims, which
// it can be. Behind smaller ones that keep coming the large would miss it though there is room for
// all by then: one in a hundred did where room was a little short.
func (r *round) lastCall(j *world.Job) bool {
	if _, ok := r.reachableObjective[j.Spec.ID]; !ok {
		return false
	}
	aims, run := r.aims(j), r.expected(j)
	slack := aims[len(aims)-1].Sub(r.now) - run
	return slack >= 0 && slack < max(run, tuning.LastCall)
}

// expected is how long a task of a job runs as far as its owner knows, else as its class does.
func (r *round) expected(j *world.Job) time.Duration {
	if j.Spec.RuntimeEstimateSeconds > 0 {
		return config.Seconds(j.Spec.RuntimeEstimateSeconds)
	}
	return r.run(j)
}

// due tells whether it is the turn of an array whose class or team has had least of what is due
// while room is short. By size alone a class of large arrays would wait for as long as smaller
// ones keep coming; so of every four seconds two are for classes that are owed, as they differ
// most, and one for teams; then their arrays come first, in the order that holds among all.
func (r *round) due(j *world.Job) bool {
	if len(r.underserved) == 0 || j.Spec.Kind != wire.KindArray || !r.capacityShort[r.rank(j)] {
		return false
	}
	switch r.now.Unix() % tuning.FloorTurns {
	case 0, 2:
		return r.underserved[floor.Group{Name: j.Spec.Class}]
	case 1:
		return r.underserved[floor.Group{Team: true, Name: j.Spec.Team}]
	}
	return false
}

// floor tells whether it is the turn of arrays that have been late for long. Behind what can
// be in time they would wait as long as room is short, be it for hours; so every fourth
// second they come first, the oldest of them before the others. All nodes find the same.
func (r *round) floor(j *world.Job) bool {
	return r.missesAllObjectives[j.Spec.ID] && r.now.Sub(j.ReadySince()) > tuning.FloorAfter && r.now.Unix()%tuning.FloorTurns == tuning.FloorTurns-1
}

// behind tells whether an array stands behind those that can be in time: it can't, and it is not
// its turn.
func (r *round) behind(j *world.Job) bool { return r.missesAllObjectives[j.Spec.ID] && !r.floor(j) }

// roomFor is the room that work of a rank may use on machines that are up, in machines: what is
// free and what work of its own rank or below takes. Where work takes no GPUs, machines of several
// sizes are told by how many common tasks they hold: a machine with room for one counted as much
// as one with room for four, and one too small for any as well.
func (r *round) roomFor(rank int) float64 {
	sum := 0.0
	for p := range r.cluster.ShardCount {
		for _, n := range r.stock.ReadyMachines(p) {
			free := n.Free
			for k := rank; k < len(n.Machine.PreemptibleByRank); k++ {
				free = free.AddTimes(n.Machine.PreemptibleByRank[k], 1)
			}
			if r.commonNeed.CPUs > 0 {
				sum += float64(fit.TasksThatFit(r.commonNeed, free))
			} else {
				sum += fit.FreeFraction(free, n.Capacity)
			}
		}
	}
	return sum
}

// shareOf is what a task takes of a machine, of the type of which it takes least, or of the room
// for a common task; as roomFor counts.
func (r *round) shareOf(s *wire.JobSpec) float64 {
	need := world.TaskResources(s)
	if r.commonNeed.CPUs > 0 {
		return max(need.CPUs/r.commonNeed.CPUs, need.MemoryGB/max(r.commonNeed.MemoryGB, 1))
	}
	best := 1.0
	for _, t := range r.cluster.Types {
		c := world.Capacity(&t)
		if need.FitsIn(c) {
			best = min(best, 1-fit.FreeFraction(c.AddTimes(need, -1), c))
		}
	}
	return best
}
