package place

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/fit"
	"sableusher/internal/order"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Group is a number of like tasks that found no room.
type Group struct {
	Spec  *wire.JobSpec
	Count int
	Zone  string    // where the rest of its tasks have room, if they must be together
	Rank  int       // its priority, or that of a job that needs it
	Since time.Time // of the job's submission
}

// Demand is what a round could not place, and what it had no use for.
type Demand struct {
	Groups []Group
	Idle   []string          // machines, up or booting, that no task uses or waits for
	Spare  fit.SpareCapacity // of ordinary machines
	Spot   fit.SpareCapacity // of spot machines
	At     time.Time
	// Common is what a task of the work that asks for most cores takes, if some of it found no room:
	// small machines, of no use to it, then keep small tasks off those that are.
	Common world.Resources
}

// due is a job in the order of placement.
type due struct {
	fit.Request
	job      *world.Job
	rank     int
	assured  bool // within its team's guarantee
	pressing bool // its deadline can still be met, but not for long
	key      order.Key
	value    float64
	home     int  // the part it is dealt to
	later    bool // nothing of it is bound in this round
}

// guarantees finds what lies within the teams' guarantees. First come the jobs that did when
// they came, together with the team's earlier unfinished jobs, which is what was promised.
// Then what runs of the others, the earliest first: it is covered, so that no other team's
// work has it stopped. Which of the team's waiting jobs have the rest is open: not what can be
// in time for nothing any more, and where room is short the smallest. By arrival alone one
// large job that is late would keep out the team's later ones until they are late as well.
func (r *round) guarantees() {
	r.guaranteesAt, r.withinGuarantee, r.runningWithinGuarantee = r.now, map[string]bool{}, map[string]bool{}
	teams := map[string][]*world.Job{}
	for _, j := range r.cluster.Jobs {
		if _, ok := r.quota.Guarantee(j.Spec.Team); ok && j.CanStart() {
			teams[j.Spec.Team] = append(teams[j.Spec.Team], j)
		}
	}
	before := r.guaranteedOnArrival
	r.guaranteedOnArrival = make(map[string]bool, len(before))
	for team, jobs := range teams {
		slices.SortFunc(jobs, func(a, b *world.Job) int {
			return cmp.Or(cmp.Compare(a.ReadySinceMs(), b.ReadySinceMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		limit, _ := r.quota.Guarantee(team)
		fits := func(sum *world.Resources, j *world.Job, tasks int) bool {
			next := sum.AddTimes(world.TaskResources(&j.Spec), float64(tasks))
			next.MemoryGB = 0
			if !next.FitsIn(limit) {
				return false
			}
			*sum = next
			return true
		}
		var earlier, sum world.Resources
		full := false
		var others []*world.Job
		for _, j := range jobs {
			id, all := j.Spec.ID, j.Spec.TaskCount-j.DoneCount
			full = full || !fits(&earlier, j, all)
			kept, known := before[id]
			if r.guaranteedOnArrival[id] = kept || !known && !full; r.guaranteedOnArrival[id] && fits(&sum, j, all) {
				r.withinGuarantee[id], r.runningWithinGuarantee[id] = true, true
				continue
			}
			others = append(others, j)
		}
		for _, j := range others {
			if j.BoundCount > 0 && !fits(&sum, j, j.BoundCount) {
				break
			}
			r.runningWithinGuarantee[j.Spec.ID] = j.BoundCount > 0
		}
		slices.SortStableFunc(others, func(a, b *world.Job) int { return cmp.Compare(r.turn(a), r.turn(b)) })
		for _, j := range others {
			if !fits(&sum, j, j.PendingCount()) {
				break
			}
			r.withinGuarantee[j.Spec.ID] = j.BoundCount == 0 || r.runningWithinGuarantee[j.Spec.ID]
		}
	}
}

// turn orders the waiting jobs of a team within what its guarantee has left.
func (r *round) turn(j *world.Job) int {
	if r.behind(j) {
		return math.MaxInt
	}
	return r.size(j)
}

// queue gives the jobs that wait, in the order of placement. The line is kept: jobs of
// which something changed are put where they belong, those that time or their team's
// guarantee moves when it does, and all of them now and then, as estimates move too.
func (r *round) queue(room bool) []due {
	news := r.changeFeed.TakeJobs()
	if r.now.Sub(r.guaranteesAt) >= tuning.AssuredEvery && (r.waitingJobs.Len() > 0 || len(news) > 0) {
		if r.now.Sub(r.objectivesAt) >= tuning.InTimeEvery {
			r.inTime()
		}
		r.guarantees()
		all := r.now.Sub(r.lastFullReorder) >= tuning.TurnEvery
		if all {
			r.lastFullReorder = r.now
		}
		r.waitingJobs.Each(func(k order.Key, j *world.Job) bool {
			if all || k.WithinGuarantee != r.withinGuarantee[k.JobID] || k.Underserved != r.due(j) || k.MissesObjectives != r.behind(j) || k.SizeClass != r.size(j) || r.now.After(r.nextReorder[k.JobID]) {
				news[k.JobID] = struct{}{}
			}
			return true
		})
	}
	for id := range news {
		r.enter(id)
	}
	out := r.queueBuffer[:0]
	r.waitingJobs.Each(func(k order.Key, j *world.Job) bool {
		if b, ok := r.jobBackoffs[k.JobID]; !ok || !r.now.Before(b.until) {
			out = append(out, due{Request: fit.Request{Spec: &j.Spec, Need: world.TaskResources(&j.Spec), StartWithinS: r.startWithin(&j.Spec)}, job: j, assured: k.WithinGuarantee, rank: k.PriorityRank, pressing: k.NearDeadline, key: k, home: -1})
		}
		return true
	})
	r.queueBuffer = out
	r.byValue(out, room)
	return out
}

// startWithin is the time in seconds in which a replica should start by its class's aims; 0: none says.
func (r *round) startWithin(s *wire.JobSpec) float64 {
	least := 0.0
	if s.Kind != wire.KindService {
		return least // asked for each waiting job in each round
	}
	for _, o := range r.settings.Deployment.Objectives {
		if o.Class == s.Class && o.Kind == "wait" && (least == 0 || o.WithinS < least) {
			least = o.WithinS
		}
	}
	return least
}

// enter puts a job in line, where it belongs now, or takes it out.
func (r *round) enter(id string) {
	j := r.cluster.Jobs[id]
	if j == nil || !j.CanStart() || !r.ours(j) || j.PendingCount() == 0 {
		r.waitingJobs.Delete(id)
		delete(r.nextReorder, id)
		return
	}
	deadline, pressing, turn := r.deadline(j)
	r.nextReorder[id] = turn
	r.waitingJobs.Put(order.Key{PriorityRank: r.rank(j), WithinGuarantee: r.withinGuarantee[id], Underserved: r.due(j), MissesObjectives: r.behind(j), SizeClass: r.size(j), NearDeadline: pressing, DeadlineNs: deadline.UnixNano(), EligibleSinceMs: j.ReadySinceMs(), JobID: id}, j)
}

// ours tells whether the right to start a job is with this cell as it is now: a guest that was taken
// under an earlier epoch may have been released since, in writes that are lost; and a cell
// that lost writes starts nothing before it knows what the others hold of its own.
func (r *round) ours(j *world.Job) bool {
	if j.OffloadedFrom != nil {
		return r.operator.CellEpoch > 0 && j.OffloadedFrom.Epoch == r.operator.CellEpoch
	}
	if r.operator.CellEpoch <= 1 {
		return true // it has lost nothing yet
	}
	for _, c := range r.operator.Cells {
		if rec := r.cluster.Cells[c.Name]; rec == nil || rec.OwnEpoch != r.operator.CellEpoch || !rec.InventoryReceived {
			return false
		}
	}
	return true
}

// besides finds what work on GPUs takes of the rest of a machine for each: the
// most that a gang or a service takes, and what arrays take on average.
func (r *round) besides() {
	var most, sum world.Resources
	for _, j := range r.cluster.Jobs {
		need := world.TaskResources(&j.Spec)
		switch {
		case !j.HasRecord || j.Cancelled() || need.GPUs == 0:
		case j.Spec.Kind == wire.KindArray:
			sum = sum.AddTimes(need, 1)
		default:
			most.CPUs, most.MemoryGB = max(most.CPUs, need.CPUs/need.GPUs), max(most.MemoryGB, need.MemoryGB/need.GPUs)
		}
	}
	if sum.GPUs > 0 {
		most.CPUs, most.MemoryGB = max(most.CPUs, sum.CPUs/sum.GPUs), max(most.MemoryGB, sum.MemoryGB/sum.GPUs)
	}
	r.needPerGPU = most
}

// common finds what a task of the work that asks for most cores takes: half of all cores that are
// asked for or in use are for tasks of at least that size. It stays for a while when that work
// is over, as the next is likely to be alike.
func (r *round) common() {
	type class struct {
		need world.Resources
		sum  float64 // cores of all its tasks
	}
	var all []class
	total := 0.0
	for _, j := range r.cluster.Jobs {
		if need := world.TaskResources(&j.Spec); j.CanStart() && need.GPUs == 0 {
			c := class{need, need.CPUs * float64(j.Spec.TaskCount-j.DoneCount)}
			all = append(all, c)
			total += c.sum
		} else if j.CanStart() {
			r.commonNeed, r.commonNeedAt = world.Resources{}, r.now // GPUs are what is scarce here
			return
		}
	}
	slices.SortFunc(all, func(a, b class) int {
		return cmp.Or(cmp.Compare(b.need.CPUs, a.need.CPUs), cmp.Compare(b.need.MemoryGB, a.need.MemoryGB))
	})
	sum := 0.0
	for _, c := range all {
		if sum += c.sum; 2*sum >= total && total > 0 {
			if c.need.CPUs >= r.commonNeed.CPUs || r.now.Sub(r.commonNeedAt) > tuning.CommonHold {
				r.commonNeed, r.commonNeedAt = c.need, r.now
			}
			return
		}
	}
}

// sweep forgets what is kept of jobs that are over.
func (r *round) sweep() {
	r.besides()
	r.common()
	maps.DeleteFunc(r.rejectedUntil, func(_ string, until time.Time) bool { return r.now.After(until) })
	over := func(id string) bool { return r.cluster.Jobs[id] == nil }
	maps.DeleteFunc(r.cachedValues, func(id string, _ cachedValue) bool { return over(id) })
	maps.DeleteFunc(r.jobBackoffs, func(id string, _ jobBackoff) bool { return over(id) })
	maps.DeleteFunc(r.ownerWaits, func(id string, _ ownerWait) bool { return over(id) })
	maps.DeleteFunc(r.unplacedSince, func(id string, _ time.Time) bool { return over(id) || r.cluster.Jobs[id].PendingCount() == 0 })
	maps.DeleteFunc(r.lastLoggedReason, func(id string, _ time.Time) bool { return over(id) })
	maps.DeleteFunc(r.gangFormingSince, func(id string, _ time.Time) bool { return over(id) })
	maps.DeleteFunc(r.tombstones, func(_ string, at time.Time) bool { return r.now.Sub(at) > tuning.BuriedFor })
	maps.DeleteFunc(r.reservations, func(_ string, h reservation) bool { return r.now.After(h.expiresAt) })
}

// run is how long a task of a job is expected to run.
func (r *round) run(j *world.Job) time.Duration {
	return config.Seconds(r.learning.runs.RunS(j.Spec.Class, j.Spec.RuntimeEstimateSeconds))
}

// cutoffs are a job's own deadline and the multiples of it that its class's aims
// name, counted from its submission, the earliest first; none without a deadline.
func (r *round) cutoffs(j *world.Job) []time.Time {
	if j.Spec.DeadlineSeconds <= 0 {
		return nil
	}
	after := func(times float64) time.Time {
		return time.UnixMilli(j.SubmittedAtMs).Add(config.Seconds(j.Spec.DeadlineSeconds * times))
	}
	out := []time.Time{after(1)}
	for _, o := range r.settings.Deployment.Objectives {
		if o.Class == j.Spec.Class && o.Kind == "deadline" && o.Times > 0 {
			out = append(out, after(o.Times))
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// reachable gives the first of some times by which a run can still be over, else
// the last, and the slack that is left.
func (r *round) reachable(aims []time.Time, run time.Duration) (at time.Time, slack time.Duration) {
	for _, at = range aims {
		if slack = at.Sub(r.now) - run; slack >= 0 {
			break
		}
	}
	return at, slack
}

// aims are the times by which a job should be over by what its user, its class's aims and
// the jobs that need it say, the earliest first; none if nobody says any.
func (r *round) aims(j *world.Job) []time.Time {
	// A deadline counts from the submission, all else from when the job could start.
	at, run, aims := j.ReadySince(), r.run(j), r.cutoffs(j)
	for _, o := range r.settings.Deployment.Objectives {
		switch {
		case o.Class != j.Spec.Class || o.WithinS <= 0:
		case o.Kind == "deadline" && j.Spec.DeadlineSeconds > 0 && o.Times > 0: // one of the cutoffs
		case o.Kind == "wait":
			aims = append(aims, at.Add(config.Seconds(o.WithinS)+run))
		default:
			aims = append(aims, at.Add(config.Seconds(o.WithinS)))
		}
	}
	if by := r.pulled(j.Spec.ID).by; !by.IsZero() {
		aims = append(aims, by)
	}
	slices.SortFunc(aims, time.Time.Compare)
	return aims
}

// deadline is when a job should be over: the next of its aims that can still be met, with
// the room there is if that was looked at, else the last. It is pressing when little slack is
// left. turn is until when that holds, if nothing but time moves.
func (r *round) deadline(j *world.Job) (by time.Time, pressing bool, turn time.Time) {
	run, aims, never := r.run(j), r.aims(j), r.now.Add(tuning.NoDeadline)
	if len(aims) == 0 {
		return j.ReadySince().Add(tuning.NoDeadline), false, never
	}
	if first, ok := r.reachableObjective[j.Spec.ID]; ok {
		if i := slices.IndexFunc(aims, func(at time.Time) bool { return !at.Before(first) }); i > 0 {
			aims = aims[i:]
		}
	}
	by, slack := r.reachable(aims, run)
	switch guard := max(tuning.DeadlineGuardMin, time.Duration(tuning.DeadlineGuard*float64(run))); {
	case slack < 0 || r.missesAllObjectives[j.Spec.ID]:
		return by, false, never
	case slack < guard:
		return by, true, r.now.Add(slack)
	default:
		return by, false, r.now.Add(slack - guard)
	}
}

func (r *round) zones(j *world.Job, k int) fit.ZoneConstraint {
	z := fit.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: math.MaxInt}
	if j.Spec.Spread {
		lo, hi := j.TaskRange(k)
		z.MaxPerZone = (hi - lo + 1) / 2
	}
	if !j.Spec.Spread && !j.Spec.SameZone {
		return z
	}
	for i := range j.Spec.TaskCount {
		t := r.taskState(j, i)
		if t.State != world.TaskBound {
			continue
		}
		m := r.cluster.Machines[t.Machine]
		if m == nil {
			z.PlacementKnown = false
			return z
		}
		if j.Spec.SameZone {
			z.PinnedZone = m.Zone
		}
		if j.ChunkOf(i) == k {
			z.TasksByZone[m.Zone]++
		}
	}
	return z
}

// place plays the round. Priorities come one after the other; within one, each
// job first finds room in the part it is dealt to, and what is left over goes
// wherever room is left.
func (r *round) place() {
	s := r.renewStock()
	r.stock = s
	if r.committer.QueueLength() < tuning.PressedItems || r.now.Sub(r.lastArrayPlacement) > tuning.PressedGap {
		r.lastArrayPlacement = r.now
	} else {
		r.pressed = true
	}
	_, _, leads := r.membership.Owns(world.LeaderShard)
	r.counts = leads && r.now.Sub(r.demand.At) >= tuning.DemandEvery
	queue := r.queue(s.HasFreeCapacity())
	s.FilterFeasible(func(yield func(world.Resources) bool) {
		for i := range queue {
			if !yield(queue[i].Need) {
				return
			}
		}
	})
	d := Demand{At: r.now}
	if len(queue) > 0 {
		s.GroupPending()
		total := map[string]world.Resources{}
		for p := range r.cluster.ShardCount {
			for team, a := range r.cluster.UsageByShard[p] {
				total[team] = total[team].AddTimes(a, 1)
			}
			for team, a := range r.moveP[p] {
				total[team] = total[team].AddTimes(a, 1)
			}
		}
		for len(queue) > 0 {
			n := 1
			for n < len(queue) && queue[n].rank == queue[0].rank {
				n++
			}
			for i := range queue[:n] {
				if du := &queue[i]; r.admit(du, total) && r.scarce() {
					r.dealFirst(du, s)
				}
			}
			// Of work that is in no hurry, first comes what finds its image where
			// there is room: to fetch it would take the machine's time.
			for i := range queue[:n] {
				if du := &queue[i]; du.rank > wire.PriorityRank(wire.PriorityHigh) && !du.pressing && !du.key.MissesObjectives {
					r.deal(du, s, true)
				}
			}
			for i := range queue[:n] {
				r.deal(&queue[i], s, false)
			}
			for i := range queue[:n] {
				r.spill(&queue[i], s, &d)
			}
			queue = queue[n:]
		}
	}
	if r.counts {
		d.Spare, d.Spot, d.Idle = s.Spare()
		r.demand = d
	}
}

// dealFirst gives a service that has lost all its replicas room for one, before any has room for
// its second. One that never had any starts whole: each start alone is a change of its record.
func (r *round) dealFirst(du *due, s *fit.Inventory) {
	if du.job.Spec.Kind != wire.KindService || du.job.BoundCount > 0 || r.taskState(du.job, 0).Attempt == 0 {
		return
	}
	rest := du.Remaining - 1
	du.Remaining = 1
	r.deal(du, s, false)
	du.Remaining += rest
}

// admit finds how many tasks of a job wait that its team's limit allows.
func (r *round) admit(du *due, total map[string]world.Resources) bool {
	j, spec := du.job, &du.job.Spec
	paused := 0
	for i := range j.PendingRetries {
		if r.paused(j, i) {
			paused++
		}
	}
	du.Remaining = max(0, j.PendingCount()-r.moveJ[spec.ID]-paused)
	if r.ending[spec.ID] || paused > 0 && spec.Kind == wire.KindGang {
		du.Remaining = 0 // all or none
	}
	du.later = r.pressed && du.rank > wire.PriorityRank(wire.PriorityHigh)
	if limit, ok := r.quota.Limit(spec.Team); ok {
		open := limit.AddTimes(total[spec.Team], -1)
		open.MemoryGB = tuning.MaxAmount * tuning.MaxTasks
		n := fit.TasksThatFit(du.Need, open)
		if n < du.Remaining {
			r.waiting(j, "team's limit", nil)
			du.Remaining = n
			if spec.Kind == wire.KindGang {
				du.Remaining = 0
				if r.now.Sub(j.ReadySince()) > tuning.StarveAfter {
					total[spec.Team] = limit // narrower ones would keep a wide one out for ever
				}
			}
		}
	}
	total[spec.Team] = total[spec.Team].AddTimes(du.Need, float64(du.Remaining))
	return du.Remaining > 0 // none: not a want of machines
}

// paused tells whether a task that failed is not to be repeated yet.
func (r *round) paused(j *world.Job, i int) bool {
	f, ok := j.PendingRetries[i]
	return ok && r.now.Sub(f.SeenAt) < r.retryRules.Pause(j.Spec.Class, f.Failures)
}

// deal gives a job's tasks room in the part that the job is dealt to, so that
// its record has one writer as a rule; with held only where its image is. A gang
// is placed whole over all parts.
func (r *round) deal(du *due, s *fit.Inventory, held bool) {
	j, spec := du.job, &du.job.Spec
	if du.Remaining == 0 || held && spec.Kind == wire.KindGang {
		return
	}
	if spec.Kind == wire.KindGang {
		r.placeGang(du, s)
		return
	}
	if s.KnownInfeasible(&du.Request) {
		return
	}
	var where []*fit.MachineInfo
	var also func(*fit.MachineInfo) bool
	if spec.Kind == wire.KindService {
		// Its tasks go wherever the image is; the owner of one part places them all.
		du.home = r.first(j)
		// A zone that goes and comes back is the last to be trusted with a replica.
		where, also = s.FittingMachines(&du.Request), (*fit.MachineInfo).SessionKnown
		where = r.trusted(where)
	} else {
		any := false
		if du.home, any = r.home(du); !any {
			s.RecordFailure(&du.Request)
			return
		}
		where = s.FeasibleMachines(du.home)
		if held {
			where = s.ImageHolders(spec.Image, du.home)
		}
	}
	if len(where) == 0 {
		return
	}
	k := r.chunk(j)
	z := r.zones(j, k)
	picks := r.chooseSpread(du, where, &z, also)
	if _, mine := r.tokens[du.home]; !mine && !held && len(picks) > 0 && r.waited(du) {
		// Its owner has not taken it though there is room.
		s.Release(&du.Request, picks)
		z = r.zones(j, k)
		picks = s.Allocate(&du.Request, s.FittingMachines(&du.Request), &z, func(n *fit.MachineInfo) bool { return n.Owned })
	} else if mine && spec.Kind == wire.KindService {
		r.bindTasks(du, k, picks, du.home)
		return
	}
	r.bindOwn(du, k, picks)
}

// chooseSpread chooses room for a job's tasks; where the operators ask for it, for a service so that
// at most half of it stands in one zone, as far as there is room for that. It is a wish: what
// has no other room is placed all the same.
func (r *round) chooseSpread(du *due, where []*fit.MachineInfo, z *fit.ZoneConstraint, also func(*fit.MachineInfo) bool) []*fit.MachineInfo {
	j, spec := du.job, &du.job.Spec
	if !r.operator.SpreadServices || spec.Kind != wire.KindService || spec.Spread || spec.SameZone || spec.TaskCount < 2 {
		return r.stock.Allocate(&du.Request, where, z, also)
	}
	wish := fit.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: (spec.TaskCount + 1) / 2}
	for i := range spec.TaskCount {
		if t := r.taskState(j, i); t.State == world.TaskBound && r.cluster.Machines[t.Machine] != nil {
			wish.TasksByZone[r.cluster.Machines[t.Machine].Zone]++
		}
	}
	picks := r.stock.Allocate(&du.Request, where, &wish, also)
	return append(picks, r.stock.Allocate(&du.Request, where, z, also)...)
}

// trusted gives those of some machines whose zones are trusted with services; all of them
// if there is none, as a replica in a zone that may go again is better than none.
func (r *round) trusted(list []*fit.MachineInfo) []*fit.MachineInfo {
	good := slices.DeleteFunc(slices.Clone(list), func(n *fit.MachineInfo) bool { return !r.failureDetector.Zones().Trusted(n.Machine.Zone) })
	if len(good) == 0 {
		return list
	}
	return good
}

// chunk is the record of a job whose tasks are placed in this round: where the
// tasks of each record must be spread, the first in which one waits.
func (r *round) chunk(j *world.Job) int {
	if !j.Spec.Spread {
		return 0
	}
	for k := range j.ChunkCount() {
		if !j.ChunkFullyAssigned(k) {
			return k
		}
	}
	return 0
}

// spill looks elsewhere for room for what the part of a job had none for, then
// at machines that are coming up; the rest is demand for the pool.
func (r *round) spill(du *due, s *fit.Inventory, d *Demand) {
	j, spec := du.job, &du.job.Spec
	if du.Remaining == 0 {
		return
	}
	k := r.chunk(j)
	z := r.zones(j, k)
	up := s.FittingMachines(&du.Request)
	gang := spec.Kind == wire.KindGang
	if !gang {
		if picks := s.Allocate(&du.Request, up, &z, func(n *fit.MachineInfo) bool { return n.Machine.Shard != du.home }); len(picks) > 0 &&
			(du.rank <= wire.PriorityRank(wire.PriorityHigh) || r.waited(du)) {
			r.bindOwn(du, k, picks)
		}
	} else {
		if spec.SameZone && z.PinnedZone == "" {
			z.PinnedZone = s.RoomiestZone(&du.Request, up)
		}
		s.Allocate(&du.Request, up, &z, nil) // kept whole for it
	}
	if du.Remaining == 0 {
		return
	}
	r.waiting(j, "no room", nil)
	if _, ok := r.unplacedSince[spec.ID]; !ok {
		r.unplacedSince[spec.ID] = r.now
	}
	if spec.Kind == wire.KindService {
		r.lastServiceShortage = r.now
	}
	short, open := du.Remaining, z.Clone()
	s.AllocatePending(&du.Request, &z)
	if du.Remaining > 0 && r.counts {
		if du.Need.CPUs >= r.commonNeed.CPUs {
			d.Common = r.commonNeed
		}
		d.Groups = append(d.Groups, Group{Spec: spec, Count: du.Remaining, Zone: z.PinnedZone, Rank: du.rank, Since: j.ReadySince()})
	}
	if (du.assured || du.rank <= wire.PriorityRank(wire.PriorityHigh)) && (!gang || spec.TaskCount == 1) {
		// What stands on machines coming up in the play takes no zone from what is stopped for it
		// meanwhile: services that are spread once waited for boots in the midst of arrays.
		r.countReservedZones(spec.ID, &open)
		for i := range min(short, tuning.PreemptTasks) {
			if !r.preemptFor(du, i, s, &open) {
				break
			}
		}
	}
}

// home is the part that a job is dealt to: where its tasks already are, else
// the first in an order of its own that has room for all of them. All nodes
// find the same without a word; where views differ, the records' guards decide. any
// tells whether there is room for a task of it anywhere.
func (r *round) home(du *due) (part int, any bool) {
	s, best, first := r.stock, -1, r.first(du.job)
	short := r.tight(du)
	for p, n := range du.job.BoundByShard {
		if n > 0 && (best < 0 || n > du.job.BoundByShard[best]) && (short && r.live[p] || s.ShardFits(&du.Request, p)) {
			best = p
		}
	}
	if short {
		// Its part has room again before long, as all parts have a little at any time. In one
		// part all of its tasks have one writer: spread over five, their ends would fail
		// each other's guards and take a change for each.
		if best < 0 {
			best = first
		}
		_, _, any := s.FindShard(&du.Request, false, best)
		return best, any
	}
	if best >= 0 {
		return best, true
	}
	if p, ok, _ := s.FindShard(&du.Request, true, first); ok {
		return p, true
	}
	p, _, any := s.FindShard(&du.Request, false, first)
	return p, any
}

// tight tells whether a job is an array of a priority whose waiting arrays can't all be in time.
func (r *round) tight(du *due) bool {
	return r.capacityShort[du.rank] && du.job.Spec.Kind == wire.KindArray
}

// first is the first part in a job's own order whose owner lives.
func (r *round) first(j *world.Job) int {
	h := world.ShardOf(j.Spec.ID, r.cluster.ShardCount)
	for i := range r.cluster.ShardCount {
		if p := (h + i) % r.cluster.ShardCount; r.live[p] {
			return p
		}
	}
	return h
}

// waited tells whether the owner of the part that a job was dealt to has had
// time to take it: if it does not, whoever has room may.
func (r *round) waited(du *due) bool {
	id, n := du.job.Spec.ID, du.job.PendingCount()
	w, ok := r.ownerWaits[id]
	if !ok || w.pending != n || r.now.Sub(w.lastSeen) > tuning.DealHold {
		w = ownerWait{since: r.now, pending: n} // it moved on, or there was no room in between
	}
	w.lastSeen = r.now
	r.ownerWaits[id] = w
	// The parts take turns: at once, all but one would fail for the record's guard.
	turn := int(r.now.UnixMilli()/tuning.DealHold.Milliseconds()) + r.first(du.job)
	_, mine := r.tokens[turn%r.cluster.ShardCount]
	hold := tuning.DealHold
	if r.tight(du) {
		hold = tuning.DealHoldShort
	}
	return mine && r.now.Sub(w.since) > hold
}

// bindOwn binds waiting tasks of a job to those of the machines that are this
// node's.
func (r *round) bindOwn(du *due, chunk int, picks []*fit.MachineInfo) {
	r.bindTasks(du, chunk, slices.DeleteFunc(picks, func(n *fit.MachineInfo) bool { return !n.Owned }), -1)
}

// bindTasks binds waiting tasks of a job to machines, at the charge of one part
// or, without it, of each machine's own.
func (r *round) bindTasks(du *due, chunk int, picks []*fit.MachineInfo, charge int) {
	j, spec := du.job, &du.job.Spec
	if du.later {
		return
	}
	looked := 0
	start, end := j.TaskRange(chunk)
	if !spec.Spread {
		end = spec.TaskCount
	}
	for i := start; i < end && len(picks) > 0 && looked < tuning.JobSlice; i++ {
		k := j.ChunkOf(i)
		lo, hi := j.TaskRange(k)
		if i == lo && (j.ChunkFullyAssigned(k) || r.keysInFlight[j.ChunkKey(k)]) {
			i = hi - 1 // nothing waits in this record, or it can't be changed now
			continue
		}
		t := r.taskState(j, i)
		if t.State != world.TaskPending || r.paused(j, i) {
			continue
		}
		if r.recordFull(j, k, 1, picks[0].Machine.Name) {
			r.waiting(j, "its record is full", nil)
			i = hi - 1
			continue
		}
		looked++
		n := picks[0]
		part := charge
		if part < 0 {
			part = n.Machine.Shard
		}
		if !r.bind(du, i, t.Attempt+1, n, part) {
			return
		}
		picks = picks[1:]
	}
}

// bind adds a task to the records' changes, if its team's grant of a part
// covers it.
func (r *round) bind(du *due, i int, attempt uint64, n *fit.MachineInfo, charge int) bool {
	j := du.job
	team := j.Spec.Team
	if r.ending[j.Spec.ID] {
		return false // in the same change as its end it would be bound to a job that is over
	}
	if j.HasUnmetDependencies() || j.OffloadedTo != nil || !r.ours(j) {
		// Every way to a machine comes through here: queues may err, this may not.
		r.log.Error("a job that waits for others, or is with another cell, was about to start", "job", j.Spec.ID)
		return false
	}
	if j.Spec.Kind != wire.KindGang && r.bound >= tuning.RoundTasks || !r.quota.Allowed(charge, team, r.usage(charge, team).AddTimes(du.Need, 1)) {
		r.waiting(j, "its team's grant in this part, or the round is full", n)
		return false
	}
	ed := r.editRecord(j, i)
	if ed == nil {
		r.waiting(j, "a change of its record is on its way", nil)
		return false
	}
	session := max(n.Machine.Session, 1)
	if n.Owned {
		session = r.agents.MachineStatus(n.Machine.Name, r.tokens[n.Machine.Shard]).Session
	}
	ref := world.TaskRef{Job: j.Spec.ID, Index: i}
	t := world.Task{Index: i, State: world.TaskBound, Attempt: attempt, Machine: n.Machine.Name, Session: session, Failures: r.taskState(j, i).Failures}
	if charge != n.Machine.Shard {
		t.ChargedShard = charge + 1
	}
	ed.tasks[i] = t
	ed.shards[charge] = true
	ed.shards[n.Machine.Shard] = true
	ed.encodedSize += maxBindingBytes(n.Machine.Name)
	b := pendingBinding{ref, n.Machine.Name, charge, team, du.Need}
	ed.bindings = append(ed.bindings, b)
	r.addInFlight(b)
	r.bound++
	r.took(du, b, attempt)
	delete(r.ownerWaits, j.Spec.ID)
	delete(r.unplacedSince, j.Spec.ID)
	if n.ReservedFor == j.Spec.ID {
		delete(r.reservations, n.Machine.Name)
		r.stock.ReserveFor(n.Machine.Name, "")
	}
	r.log.Debug("task placed", "task", ref, "attempt", attempt, "machine", n.Machine.Name, "image", r.stock.HasImage(j.Spec.Image, n))
	return true
}

// waiting logs now and then why a job waits.
func (r *round) waiting(j *world.Job, why string, n *fit.MachineInfo) {
	if !r.log.Enabled(r.ctx, slog.LevelDebug) || r.now.Sub(r.lastLoggedReason[j.Spec.ID]) < tuning.WhyEvery {
		return
	}
	r.lastLoggedReason[j.Spec.ID] = r.now
	machine := ""
	if n != nil {
		machine = n.Machine.Name
	}
	r.log.Debug("job waits", "job", j.Spec.ID, "why", why, "machine", machine, "pending", j.PendingCount())
}
