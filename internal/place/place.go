package place

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/order"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Group is a number of like tasks that found no room.
type Group struct {
	Spec  *wire.Spec
	Count int
	Zone  string    // where the rest of its tasks have room, if they must be together
	Rank  int       // its priority, or that of a job that needs it
	Since time.Time // of the job's submission
}

// Spare is the room that is left once all that waits has been given its own.
type Spare struct {
	Room  float64 // in machines
	Whole int     // machines that nothing uses
}

// Demand is what a round could not place, and what it had no use for.
type Demand struct {
	Groups []Group
	Idle   []string // machines, up or booting, that no task uses or waits for
	Spare  Spare    // of ordinary machines
	Spot   Spare    // of spot machines
	At     time.Time
}

// due is a job in the order of placement.
type due struct {
	job      *world.Job
	need     world.Amount
	rank     int
	assured  bool // within its team's guarantee
	pressing bool // its deadline can still be met, but not for long
	key      order.Key
	value    float64
	home     int  // the part it is dealt to
	left     int  // tasks that have no place yet in this round
	later    bool // nothing of it is bound in this round
}

// guarantees finds the jobs that lie within their team's guarantee, together
// with the team's earlier unfinished jobs.
func (r *round) guarantees() {
	r.assuredAt, r.assured = r.now, map[string]bool{}
	teams := map[string][]*world.Job{}
	for _, j := range r.world.Jobs {
		if _, ok := r.quota.Guarantee(j.Spec.Team); ok && j.Startable() {
			teams[j.Spec.Team] = append(teams[j.Spec.Team], j)
		}
	}
	for team, jobs := range teams {
		slices.SortFunc(jobs, func(a, b *world.Job) int {
			return cmp.Or(cmp.Compare(a.SinceMs(), b.SinceMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		limit, _ := r.quota.Guarantee(team)
		var sum world.Amount
		for _, j := range jobs {
			sum = sum.Plus(world.Need(&j.Spec), float64(j.Spec.Tasks-j.Done))
			if sum.Mem = 0; !sum.Within(limit) {
				break
			}
			r.assured[j.Spec.ID] = true
		}
	}
}

// queue gives the jobs that wait, in the order of placement. The line is kept: jobs of
// which something changed are put where they belong, and as time moves deadlines and
// guarantees, all of them now and then.
func (r *round) queue(room bool) []due {
	news := r.news.Jobs()
	if r.now.Sub(r.assuredAt) >= tuning.AssuredEvery && (r.line.Len() > 0 || len(news) > 0) {
		r.guarantees()
		r.line.Each(func(k order.Key, _ *world.Job) bool {
			news[k.ID] = struct{}{}
			return true
		})
	}
	for id := range news {
		r.enter(id)
	}
	out := r.queued[:0]
	r.line.Each(func(k order.Key, j *world.Job) bool {
		if b, ok := r.backoff[k.ID]; !ok || !r.now.Before(b.until) {
			out = append(out, due{job: j, need: world.Need(&j.Spec), assured: k.Assured, rank: k.Rank, pressing: k.Pressing, key: k, home: -1})
		}
		return true
	})
	r.queued = out
	r.byValue(out, room)
	return out
}

// enter puts a job in line, where it belongs now, or takes it out.
func (r *round) enter(id string) {
	j := r.world.Jobs[id]
	if j == nil || !j.Startable() || j.Pending() == 0 {
		r.line.Drop(id)
		return
	}
	deadline, pressing := r.deadline(j)
	r.line.Put(order.Key{Rank: r.rank(j), Assured: r.assured[id], Pressing: pressing, Deadline: deadline.UnixNano(), Since: j.SinceMs(), ID: id}, j)
}

// besides finds what work on GPUs takes of the rest of a machine for each: the
// most that a gang or a service takes, and what arrays take on average.
func (r *round) besides() {
	var most, sum world.Amount
	for _, j := range r.world.Jobs {
		need := world.Need(&j.Spec)
		switch {
		case !j.Known || j.Cancelled() || need.GPUs == 0:
		case j.Spec.Kind == wire.KindArray:
			sum = sum.Plus(need, 1)
		default:
			most.CPUs, most.Mem = max(most.CPUs, need.CPUs/need.GPUs), max(most.Mem, need.Mem/need.GPUs)
		}
	}
	if sum.GPUs > 0 {
		most.CPUs, most.Mem = max(most.CPUs, sum.CPUs/sum.GPUs), max(most.Mem, sum.Mem/sum.GPUs)
	}
	r.perGPU = most
}

// sweep forgets what is kept of jobs that are over.
func (r *round) sweep() {
	r.besides()
	maps.DeleteFunc(r.refused, func(_ string, until time.Time) bool { return r.now.After(until) })
	over := func(id string) bool { return r.world.Jobs[id] == nil }
	maps.DeleteFunc(r.valued, func(id string, _ valued) bool { return over(id) })
	maps.DeleteFunc(r.backoff, func(id string, _ retry) bool { return over(id) })
	maps.DeleteFunc(r.waits, func(id string, _ wait) bool { return over(id) })
	maps.DeleteFunc(r.told, func(id string, _ time.Time) bool { return over(id) })
	maps.DeleteFunc(r.forming, func(id string, _ time.Time) bool { return over(id) })
	maps.DeleteFunc(r.buried, func(_ string, at time.Time) bool { return r.now.Sub(at) > tuning.BuriedFor })
	maps.DeleteFunc(r.held, func(_ string, h reserve) bool { return r.now.After(h.until) })
}

// run is how long a task of a job is expected to run.
func (r *round) run(j *world.Job) time.Duration {
	return config.Seconds(r.values.runs.RunS(j.Spec.Class, j.Spec.EstimateS))
}

// cutoffs are a job's own deadline and the multiples of it that its class's aims
// name, counted from its submission; none without a deadline.
func (r *round) cutoffs(j *world.Job) []time.Time {
	if j.Spec.DeadlineS <= 0 {
		return nil
	}
	after := func(times float64) time.Time {
		return time.UnixMilli(j.AtMs).Add(config.Seconds(j.Spec.DeadlineS * times))
	}
	out := []time.Time{after(1)}
	for _, o := range r.set.Deployment.Objectives {
		if o.Class == j.Spec.Class && o.Kind == "deadline" && o.Times > 0 {
			out = append(out, after(o.Times))
		}
	}
	return out
}

// reachable gives the first of some times by which a run can still be over, else
// the last, and the slack that is left.
func (r *round) reachable(aims []time.Time, run time.Duration) (at time.Time, slack time.Duration) {
	slices.SortFunc(aims, time.Time.Compare)
	for _, at = range aims {
		if slack = at.Sub(r.now) - run; slack >= 0 {
			break
		}
	}
	return at, slack
}

// deadline is when a job should be over by what its user or its class's aims
// say: the next such time that can still be met, else the last. It is pressing
// when little slack is left.
func (r *round) deadline(j *world.Job) (time.Time, bool) {
	// A deadline counts from the submission, all else from when the job could start.
	at, run, aims := j.Since(), r.run(j), r.cutoffs(j)
	for _, o := range r.set.Deployment.Objectives {
		switch {
		case o.Class != j.Spec.Class || o.WithinS <= 0:
		case o.Kind == "deadline" && j.Spec.DeadlineS > 0 && o.Times > 0: // one of the cutoffs
		case o.Kind == "wait":
			aims = append(aims, at.Add(config.Seconds(o.WithinS)+run))
		default:
			aims = append(aims, at.Add(config.Seconds(o.WithinS)))
		}
	}
	if by := r.pulled(j.Spec.ID).by; !by.IsZero() {
		aims = append(aims, by)
	}
	if len(aims) == 0 {
		return at.Add(tuning.NoDeadline), false
	}
	by, slack := r.reachable(aims, run)
	return by, slack >= 0 && slack < max(tuning.DeadlineGuardMin, time.Duration(tuning.DeadlineGuard*float64(run)))
}

// zones is where the tasks of one record of a job stand, and what the rules
// leave open.
type zones struct {
	count map[string]int
	pin   string
	limit int
	known bool
}

func (r *round) zones(j *world.Job, k int) zones {
	z := zones{count: map[string]int{}, known: true, limit: math.MaxInt}
	if j.Spec.Spread {
		lo, hi := j.Span(k)
		z.limit = (hi - lo + 1) / 2
	}
	if !j.Spec.Spread && !j.Spec.OneZone {
		return z
	}
	for i := range j.Spec.Tasks {
		t := r.task(j, i)
		if t.State != world.Bound {
			continue
		}
		m := r.world.Machines[t.Machine]
		if m == nil {
			z.known = false
			return z
		}
		if j.Spec.OneZone {
			z.pin = m.Zone
		}
		if j.RecordOf(i) == k {
			z.count[m.Zone]++
		}
	}
	return z
}

func (z *zones) open(zone string) bool {
	return z.known && (z.pin == "" || z.pin == zone) && z.count[zone] < z.limit
}

func (z *zones) add(j *world.Job, zone string) {
	z.count[zone]++
	if j.Spec.OneZone {
		z.pin = zone
	}
}

// place plays the round. Priorities come one after the other; within one, each
// job first finds room in the part it is dealt to, and what is left over goes
// wherever room is left.
func (r *round) place() {
	s := r.newStock()
	r.stock = s
	if r.commit.Waiting() < tuning.PressedItems || r.now.Sub(r.given) > tuning.PressedGap {
		r.given = r.now
	} else {
		r.pressed = true
	}
	_, _, leads := r.member.Owns(world.Leader)
	r.counts = leads && r.now.Sub(r.demand.At) >= tuning.DemandEvery
	queue := r.queue(s.hasRoom())
	s.narrow(queue)
	d := Demand{At: r.now}
	if len(queue) > 0 {
		s.gather()
		total := map[string]world.Amount{}
		for p := range r.world.Size {
			for team, a := range r.world.Usage[p] {
				total[team] = total[team].Plus(a, 1)
			}
			for team, a := range r.moveP[p] {
				total[team] = total[team].Plus(a, 1)
			}
		}
		for len(queue) > 0 {
			n := 1
			for n < len(queue) && queue[n].rank == queue[0].rank {
				n++
			}
			// Of work that is in no hurry, first comes what finds its image where
			// there is room: to fetch it would take the machine's time.
			for i := range queue[:n] {
				if du := &queue[i]; r.admit(du, total) && du.rank > wire.Rank(wire.PriorityHigh) && !du.pressing {
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
		s.spare(&d)
		r.demand = d
	}
}

// admit finds how many tasks of a job wait that its team's limit allows.
func (r *round) admit(du *due, total map[string]world.Amount) bool {
	j, spec := du.job, &du.job.Spec
	du.left = max(0, j.Pending()-r.moveJ[spec.ID])
	du.later = r.pressed && du.rank > wire.Rank(wire.PriorityHigh)
	if limit, ok := r.quota.Limit(spec.Team); ok {
		open := limit.Plus(total[spec.Team], -1)
		open.Mem = tuning.MaxAmount * tuning.MaxTasks
		n := fits(du.need, open)
		if n < du.left {
			r.waiting(j, "team's limit", nil)
			du.left = n
			if spec.Kind == wire.KindGang {
				du.left = 0
				if r.now.Sub(j.Since()) > tuning.StarveAfter {
					total[spec.Team] = limit // narrower ones would keep a wide one out for ever
				}
			}
		}
	}
	total[spec.Team] = total[spec.Team].Plus(du.need, float64(du.left))
	return du.left > 0 // none: not a want of machines
}

// deal gives a job's tasks room in the part that the job is dealt to, so that
// its record has one writer as a rule; with held only where its image is. A gang
// is placed whole over all parts.
func (r *round) deal(du *due, s *stock, held bool) {
	j, spec := du.job, &du.job.Spec
	if du.left == 0 || held && spec.Kind == wire.KindGang {
		return
	}
	if spec.Kind == wire.KindGang {
		r.placeGang(du, s)
		return
	}
	if s.without(du) {
		return
	}
	var where []*node
	var also func(*node) bool
	if spec.Kind == wire.KindService {
		// Its tasks go wherever the image is; the owner of one part places them all.
		du.home = r.first(j)
		where, also = s.fitting(du), certain
	} else {
		any := false
		if du.home, any = r.home(du); !any {
			s.fail(du)
			return
		}
		where = s.open[du.home]
		if held {
			where = s.holders(spec.Image)[du.home]
		}
	}
	if len(where) == 0 {
		return
	}
	k := r.chunk(j)
	z := r.zones(j, k)
	picks := r.choose(du, where, &z, also)
	if _, mine := r.tokens[du.home]; !mine && !held && len(picks) > 0 && r.waited(du) {
		// Its owner has not taken it though there is room.
		r.give(du, picks)
		z = r.zones(j, k)
		picks = r.choose(du, s.fitting(du), &z, func(n *node) bool { return n.mine })
	} else if mine && spec.Kind == wire.KindService {
		r.bindTasks(du, k, picks, du.home)
		return
	}
	r.bindOwn(du, k, picks)
}

// certain tells whether a machine's worker and its session are known.
func certain(n *node) bool { return n.mine || n.m.Up }

// chunk is the record of a job whose tasks are placed in this round: where the
// tasks of each record must be spread, the first in which one waits.
func (r *round) chunk(j *world.Job) int {
	if !j.Spec.Spread {
		return 0
	}
	for k := range j.Records() {
		if !j.Settled(k) {
			return k
		}
	}
	return 0
}

// give takes back room that was taken for a job.
func (r *round) give(du *due, picks []*node) {
	for _, n := range picks {
		r.stock.take(n, du.need, -1)
	}
	du.left += len(picks)
}

// spill looks elsewhere for room for what the part of a job had none for, then
// at machines that are coming up; the rest is demand for the pool.
func (r *round) spill(du *due, s *stock, d *Demand) {
	j, spec := du.job, &du.job.Spec
	if du.left == 0 {
		return
	}
	k := r.chunk(j)
	z := r.zones(j, k)
	up := s.fitting(du)
	gang := spec.Kind == wire.KindGang
	if !gang {
		if picks := r.choose(du, up, &z, func(n *node) bool { return n.m.Part != du.home }); len(picks) > 0 &&
			(du.rank <= wire.Rank(wire.PriorityHigh) || r.waited(du)) {
			r.bindOwn(du, k, picks)
		}
	} else {
		if spec.OneZone && z.pin == "" {
			z.pin = r.roomiest(du, up)
		}
		r.choose(du, up, &z, nil) // kept whole for it
	}
	if du.left == 0 {
		return
	}
	r.waiting(j, "no room", nil)
	short := du.left
	s.expect(du, &z)
	if du.left > 0 && r.counts {
		d.Groups = append(d.Groups, Group{Spec: spec, Count: du.left, Zone: z.pin, Rank: du.rank, Since: j.Since()})
	}
	if (du.assured || du.rank <= wire.Rank(wire.PriorityHigh)) && (!gang || spec.Tasks == 1) {
		for i := range min(short, tuning.PreemptTasks) {
			r.preempt(du, i, s, &z)
		}
	}
}

// roomiest is the zone with the most room for tasks of a gang, on machines that are up
// and those coming up.
func (r *round) roomiest(du *due, up []*node) string {
	room := map[string]int{}
	best := ""
	for _, n := range up {
		if n.kept == "" || n.kept == du.job.Spec.ID {
			room[n.m.Zone] += fits(du.need, n.free)
		}
	}
	for _, b := range r.stock.bins {
		if allowed(&du.job.Spec, b.like.m) {
			room[b.like.m.Zone] += len(b.nodes) * fits(du.need, b.free)
		}
	}
	for zone, c := range room {
		if best == "" || c > room[best] || c == room[best] && zone < best {
			best = zone
		}
	}
	return best
}

// home is the part that a job is dealt to: where its tasks already are, else
// the first in an order of its own that has room for all of them. All nodes
// find the same without a word; where views differ, the records' guards decide. any
// tells whether there is room for a task of it anywhere.
func (r *round) home(du *due) (part int, any bool) {
	s, best := r.stock, -1
	for p, n := range du.job.Where {
		if n > 0 && (best < 0 || n > du.job.Where[best]) && takes(du, s.open[p]) {
			best = p
		}
	}
	if best >= 0 {
		return best, true
	}
	first := r.first(du.job)
	if p, ok, _ := s.rooms(du, s.holders(du.job.Spec.Image), first); ok {
		return p, true
	}
	p, _, any := s.rooms(du, s.open, first)
	return p, any
}

// first is the first part in a job's own order whose owner lives.
func (r *round) first(j *world.Job) int {
	h := world.PartOf(j.Spec.ID, r.world.Size)
	for i := range r.world.Size {
		if p := (h + i) % r.world.Size; r.live[p] {
			return p
		}
	}
	return h
}

// waited tells whether the owner of the part that a job was dealt to has had
// time to take it: if it does not, whoever has room may.
func (r *round) waited(du *due) bool {
	id, n := du.job.Spec.ID, du.job.Pending()
	w, ok := r.waits[id]
	if !ok || w.pending != n || r.now.Sub(w.seen) > tuning.DealHold {
		w = wait{since: r.now, pending: n} // it moved on, or there was no room in between
	}
	w.seen = r.now
	r.waits[id] = w
	// The parts take turns: at once, all but one would fail for the record's guard.
	turn := int(r.now.UnixMilli()/tuning.DealHold.Milliseconds()) + r.first(du.job)
	_, mine := r.tokens[turn%r.world.Size]
	return mine && r.now.Sub(w.since) > tuning.DealHold
}

// choose takes room for a job's tasks on machines, the preferred ones first:
// room that was freed for it, spot machines, those that hold its image, and
// those in use, so that others stay whole. Tasks without GPUs go beside GPU work.
func (r *round) choose(du *due, fit []*node, z *zones, also func(*node) bool) []*node {
	spec := &du.job.Spec
	var tiers [32][]*node
	for _, n := range fit {
		if n.kept != "" && n.kept != spec.ID || also != nil && !also(n) || !du.need.Within(n.free) || !allowed(spec, n.m) || !z.open(n.m.Zone) {
			continue
		}
		t := 0
		if n.kept == "" {
			t |= 16
		}
		fetches := n.state != ready || !r.stock.holds(spec.Image, n)
		if besides := du.need.GPUs == 0 && n.capacity.GPUs > 0; besides {
			// A machine is there anyway, so the cheap kind saves nothing; one that is
			// taken back takes the task's run time with it.
			t |= bit(!r.beside(du.need, n), 8) | bit(n.free.GPUs == n.capacity.GPUs, 4) | bit(n.m.Spot, 2) | bit(fetches, 1)
		} else {
			t |= bit(!n.m.Spot, 4) | bit(fetches, 2) | bit(n.free == n.capacity, 1)
		}
		tiers[t] = append(tiers[t], n)
	}
	var picks []*node
	for _, tier := range tiers {
		for _, n := range tier {
			for du.left > 0 && du.need.Within(n.free) && z.open(n.m.Zone) {
				r.stock.take(n, du.need, 1)
				z.add(du.job, n.m.Zone)
				picks = append(picks, n)
				du.left--
			}
			if du.left == 0 {
				return picks
			}
		}
	}
	return picks
}

func bit(set bool, b int) int {
	if set {
		return b
	}
	return 0
}

// beside tells whether a task without GPUs leaves a machine what its free GPUs
// need: whatever stands there now could stand beside it, and a gang that takes
// whole machines still finds this one whole.
func (r *round) beside(need world.Amount, n *node) bool {
	keep := world.Amount{CPUs: r.perGPU.CPUs * n.free.GPUs, Mem: r.perGPU.Mem * n.free.GPUs}
	return need.Within(n.free.Plus(keep, -1))
}

// bindOwn binds waiting tasks of a job to those of the machines that are this
// node's.
func (r *round) bindOwn(du *due, chunk int, picks []*node) {
	r.bindTasks(du, chunk, slices.DeleteFunc(picks, func(n *node) bool { return !n.mine }), -1)
}

// bindTasks binds waiting tasks of a job to machines, at the charge of one part
// or, without it, of each machine's own.
func (r *round) bindTasks(du *due, chunk int, picks []*node, charge int) {
	j, spec := du.job, &du.job.Spec
	if du.later {
		return
	}
	looked := 0
	start, end := j.Span(chunk)
	if !spec.Spread {
		end = spec.Tasks
	}
	for i := start; i < end && len(picks) > 0 && looked < tuning.JobSlice; i++ {
		k := j.RecordOf(i)
		lo, hi := j.Span(k)
		if i == lo && (j.Settled(k) || r.busy[j.Key(k)]) {
			i = hi - 1 // nothing waits in this record, or it can't be changed now
			continue
		}
		t := r.task(j, i)
		if t.State != world.Idle {
			continue
		}
		if r.full(j, k, 1, picks[0].m.Name) {
			r.waiting(j, "its record is full", nil)
			i = hi - 1
			continue
		}
		looked++
		n := picks[0]
		part := charge
		if part < 0 {
			part = n.m.Part
		}
		if !r.bind(du, i, t.Attempt+1, n, part) {
			return
		}
		picks = picks[1:]
	}
}

// bind adds a task to the records' changes, if its team's grant of a part
// covers it.
func (r *round) bind(du *due, i int, attempt uint64, n *node, charge int) bool {
	j := du.job
	team := j.Spec.Team
	if j.Waits() {
		// Every way to a machine comes through here: queues may err, this may not.
		r.log.Error("a job that waits for others was about to start", "job", j.Spec.ID)
		return false
	}
	if j.Spec.Kind != wire.KindGang && r.bound >= tuning.RoundTasks || !r.quota.Allowed(charge, team, r.use(charge, team).Plus(du.need, 1)) {
		r.waiting(j, "its team's grant in this part, or the round is full", n)
		return false
	}
	ed := r.edit(j, i)
	if ed == nil {
		r.waiting(j, "a change of its record is on its way", nil)
		return false
	}
	session := max(n.m.Session, 1)
	if n.mine {
		session = r.fleet.Look(n.m.Name, r.tokens[n.m.Part]).Session
	}
	ref := world.TaskRef{Job: j.Spec.ID, Index: i}
	t := world.Task{Index: i, State: world.Bound, Attempt: attempt, Machine: n.m.Name, Session: session}
	if charge != n.m.Part {
		t.Charge = charge + 1
	}
	ed.tasks[i] = t
	ed.parts[charge] = true
	ed.parts[n.m.Part] = true
	ed.size += bindBytes(n.m.Name)
	b := bind{ref, n.m.Name, charge, team, du.need}
	ed.binds = append(ed.binds, b)
	r.move(b)
	r.bound++
	r.took(du, b, attempt)
	delete(r.waits, j.Spec.ID)
	if n.kept == j.Spec.ID {
		delete(r.held, n.m.Name)
		r.stock.use(n)
		n.kept = ""
	}
	r.log.Debug("task placed", "task", ref, "attempt", attempt, "machine", n.m.Name, "image", r.stock.holds(j.Spec.Image, n))
	return true
}

// placeGang gives a gang room for all its tasks or none. One node does so for
// each gang, over the machines of all parts, in one transaction: the owner of
// the part that the gang is dealt to, whose grant it uses. The owners of its
// machines start the tasks as they see them bound. Where an owner has used the
// room meanwhile, its worker refuses and the gang is placed anew.
func (r *round) placeGang(du *due, s *stock) {
	j, spec := du.job, &du.job.Spec
	var attempt uint64
	var idle []int
	forming := false
	for i := range spec.Tasks {
		t := r.task(j, i)
		attempt = max(attempt, t.Attempt)
		if t.State == world.Idle {
			idle = append(idle, i)
		} else {
			forming = true
		}
	}
	du.left = len(idle)
	if r.busy[world.JobKey(spec.ID)] || r.outgrown(j) || forming && slices.ContainsFunc(idle, func(i int) bool { return r.task(j, i).Attempt >= attempt }) {
		r.waiting(j, "its last attempt has not left yet, or a change is on its way", nil)
		du.left = 0
		return
	}
	if !forming { // else one too long for a transaction is completed
		attempt++
	}
	// One that finds its image at once goes first, then one that has room in its
	// own part, where no other node places.
	du.home = r.first(j)
	z := r.zones(j, 0)
	fit := s.fitting(du)
	inPart := func(n *node) bool { return n.m.Part == du.home }
	held := func(n *node) bool { return r.stock.holds(spec.Image, n) }
	var picks []*node
	for _, also := range []func(*node) bool{
		func(n *node) bool { return inPart(n) && held(n) },
		func(n *node) bool { return certain(n) && held(n) },
		inPart, certain,
	} {
		if picks = r.chooseZone(du, fit, z, also); picks != nil {
			break
		}
	}
	if picks == nil {
		r.waiting(j, "no room for all its tasks", nil)
		return
	}
	du.left = 0
	_, mine := r.tokens[du.home]
	if !mine || r.bound+len(picks) > tuning.RoundTasks && r.bound > 0 {
		return
	}
	// All or nothing: the grant must cover it whole, and its records must hold it.
	adds := map[int]int{} // tasks by record
	for _, i := range idle {
		adds[j.RecordOf(i)]++
	}
	for k, n := range adds {
		if r.full(j, k, n, picks[0].m.Name) {
			r.waiting(j, "its records are full", nil)
			return
		}
	}
	if !r.quota.Allowed(du.home, spec.Team, r.use(du.home, spec.Team).Plus(du.need, float64(len(picks)))) {
		r.waiting(j, "its team's grant in this part", nil)
		return
	}
	for x, n := range picks {
		r.bind(du, idle[x], attempt, n, du.home)
	}
}

// chooseZone takes room for all of a gang's tasks, in one zone if it must; nil
// and no room taken if there is none.
func (r *round) chooseZone(du *due, fit []*node, z zones, also func(*node) bool) []*node {
	zones := []string{""}
	if du.job.Spec.OneZone && z.pin == "" {
		room, images := map[string]int{}, map[string]int{}
		zones = nil
		for _, n := range fit {
			if n.kept != "" && n.kept != du.job.Spec.ID || also != nil && !also(n) {
				continue
			}
			if room[n.m.Zone] == 0 {
				zones = append(zones, n.m.Zone)
			}
			c := fits(du.need, n.free)
			room[n.m.Zone] += c
			if r.stock.holds(du.job.Spec.Image, n) {
				images[n.m.Zone] += c
			}
		}
		zones = slices.DeleteFunc(zones, func(zone string) bool { return room[zone] < du.left })
		slices.SortFunc(zones, func(a, b string) int {
			return cmp.Or(-cmp.Compare(min(images[a], du.left), min(images[b], du.left)), cmp.Compare(a, b))
		})
	}
	for _, zone := range zones {
		try := z
		try.count = maps.Clone(z.count)
		if zone != "" {
			try.pin = zone
		}
		picks := r.choose(du, fit, &try, also)
		if du.left == 0 {
			return picks
		}
		r.give(du, picks)
	}
	return nil
}

// preempt frees room for a task of higher priority on the machine of this
// node's parts where the least work is lost. All nodes play this round, but only
// an owner knows what its tasks would lose: the part is chosen by what all know,
// the machine by its owner.
func (r *round) preempt(du *due, i int, s *stock, z *zones) {
	ref := world.TaskRef{Job: du.job.Spec.ID, Index: i}
	for _, h := range r.held {
		if h.ref == ref {
			return // room is being freed for it already
		}
	}
	if r.stops >= tuning.RoundStops {
		return
	}
	byPart := make([][]*node, r.world.Size)
	for _, n := range s.ready {
		if n.kept != "" || !allowed(&du.job.Spec, n.m) || !z.open(n.m.Zone) {
			continue
		}
		free := n.free
		for rank := du.rank; rank < len(n.m.Yield); rank++ {
			free = free.Plus(n.m.Yield[rank], 1)
		}
		if need := du.need; need.Within(free) && !need.Within(n.free) {
			byPart[n.m.Part] = append(byPart[n.m.Part], n)
		}
	}
	first := (r.first(du.job) + i) % r.world.Size
	part := -1
	for k := range byPart {
		if p := (first + k) % r.world.Size; len(byPart[p]) > 0 {
			part = p
			break
		}
	}
	if part < 0 {
		return
	}
	if _, mine := r.tokens[part]; !mine {
		return
	}
	var best *node
	var victims []world.Binding
	bestCost := math.Inf(1)
	for _, n := range byPart[part][:min(len(byPart[part]), tuning.PreemptLook)] {
		free, cost := n.free, 0.0
		var take []world.Binding
		for _, b := range r.victims(n, du) {
			if du.need.Within(free) {
				break
			}
			free = free.Plus(world.Need(&b.Job.Spec), 1)
			cost += r.cost(b, n)
			take = append(take, b)
		}
		if du.need.Within(free) && cost < bestCost {
			best, victims, bestCost = n, take, cost
		}
	}
	if best != nil {
		r.stop(best, du, ref, victims)
	}
}

// victims gives the tasks on a machine that may be stopped for a job, those that
// lose least first.
func (r *round) victims(n *node, du *due) []world.Binding {
	var list []world.Binding
	for _, b := range n.m.Bound {
		if r.yields(b.Job, du) && !b.Job.Cancelled() && world.Yields(&b.Job.Spec) && !r.fleet.Stopping(b) {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b world.Binding) int {
		return cmp.Or(-cmp.Compare(r.rank(a.Job), r.rank(b.Job)),
			cmp.Compare(r.cost(a, n), r.cost(b, n)), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	return list
}

// stop stops tasks on a machine until another has room there, and keeps the room.
func (r *round) stop(n *node, du *due, ref world.TaskRef, victims []world.Binding) {
	r.stops++
	free := n.free
	r.stock.use(n)
	n.kept, n.free = ref.Job, world.Amount{}
	r.held[n.m.Name] = reserve{ref, r.now.Add(tuning.PreemptHold)}
	for _, b := range victims {
		if du.need.Within(free) {
			break
		}
		free = free.Plus(world.Need(&b.Job.Spec), 1)
		grace := 0.0
		if du.rank > 0 && b.Job.Spec.CheckpointS > 0 {
			grace = graced(&b.Job.Spec)
		}
		r.log.Debug("stopping a task for one of higher priority", "task", b.Ref, "for", ref, "machine", n.m.Name)
		r.fleet.Stop(b, n.m.Name, grace)
	}
}

// waiting logs now and then why a job waits.
func (r *round) waiting(j *world.Job, why string, n *node) {
	if !r.log.Enabled(r.ctx, slog.LevelDebug) || r.now.Sub(r.told[j.Spec.ID]) < tuning.WhyEvery {
		return
	}
	r.told[j.Spec.ID] = r.now
	machine := ""
	if n != nil {
		machine = n.m.Name
	}
	r.log.Debug("job waits", "job", j.Spec.ID, "why", why, "machine", machine, "pending", j.Pending())
}

// yields tells whether a task may be stopped for a waiting job: it has a lower
// priority, or another team borrows with it what the job's team is guaranteed.
func (r *round) yields(j *world.Job, du *due) bool {
	s, rank := &j.Spec, r.rank(j)
	_, guaranteed := r.quota.Guarantee(s.Team)
	borrowed := guaranteed && !r.assured[s.ID] && s.Team != du.job.Spec.Team
	if rank > du.rank {
		return !r.assured[s.ID] || du.rank <= wire.Rank(wire.PriorityHigh)
	}
	return du.assured && borrowed && rank >= du.rank
}

// cost is the work lost when a task is stopped, in machine seconds.
func (r *round) cost(b world.Binding, n *node) float64 {
	t := r.fleet.Fate(b, n.m.Name, r.tokens[n.m.Part])
	ran := 0.0
	if t.State == wire.TaskRunning {
		ran = r.now.Sub(t.Since).Seconds()
	}
	if c := b.Job.Spec.CheckpointS; c > 0 {
		ran = min(ran, c)
	}
	return 1 + ran
}
