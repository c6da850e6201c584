package place

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/learn"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// node is a machine as a round sees it. Every node plays the same round over all
// machines, so that tasks are dealt across parts by free room without a word
// between nodes; it binds only those that fall to its own parts. Where views
// differ, the records' guards decide and the loser looks again.
type node struct {
	m      *world.Machine
	typ    wire.MachineType
	free   world.Amount
	mine   bool
	ready  bool // up and fit for tasks, as far as this node knows
	kept   string
	images map[string]bool
}

// Group is a number of like tasks that found no room.
type Group struct {
	Spec  *wire.Spec
	Count int
	Since time.Time // of the job's submission
}

// Demand is what a round could not place, and what it had no use for.
type Demand struct {
	Groups []Group
	Idle   []string // machines, up or booting, that no task uses or waits for
	Room   float64  // free room of all machines, in machines
	At     time.Time
}

// due is a job in the order of placement.
type due struct {
	job      *world.Job
	rank     int
	deadline time.Time
	assured  bool // within its team's guarantee
	pressing bool // its deadline can still be met, but not for long
	choice   learn.Choice
	scored   bool
}

func (r *round) nodes() []*node {
	var out []*node
	for _, name := range slices.Sorted(maps.Keys(r.world.Machines)) {
		m := r.world.Machines[name]
		typ, ok := r.world.Types[m.Type]
		if m.Gone || m.Drain || !ok {
			continue
		}
		n := &node{m: m, typ: typ, images: map[string]bool{}}
		n.free = world.Capacity(&typ).Plus(m.Used, -1).Plus(r.moveM[name], -1)
		token, mine := r.tokens[m.Part]
		n.mine, n.ready = mine, m.Up
		if mine {
			n.ready = m.Up && r.fleet.Look(name, token).Usable
		}
		for _, b := range m.Bound {
			n.images[b.Job.Spec.Image] = true
		}
		if h, ok := r.held[name]; ok {
			if r.now.After(h.until) {
				delete(r.held, name)
			} else {
				n.kept = h.ref.Job
			}
		}
		out = append(out, n)
	}
	return out
}

// guarantees finds the jobs that lie within their team's guarantee, together
// with the team's earlier unfinished jobs.
func (r *round) guarantees() {
	r.assured = map[string]bool{}
	teams := map[string][]*world.Job{}
	for _, j := range r.world.Jobs {
		if _, ok := r.quota.Guarantee(j.Spec.Team); ok && j.Known && !j.Cancelled() {
			teams[j.Spec.Team] = append(teams[j.Spec.Team], j)
		}
	}
	for team, jobs := range teams {
		slices.SortFunc(jobs, func(a, b *world.Job) int {
			return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Spec.ID, b.Spec.ID))
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

func (r *round) queue() []due {
	r.guarantees()
	var out []due
	for id, j := range r.world.Jobs {
		if !j.Known || j.Cancelled() || j.Pending() == 0 {
			continue
		}
		if b, ok := r.backoff[id]; ok && r.now.Before(b.until) {
			continue
		}
		deadline, pressing := r.deadline(j)
		out = append(out, due{job: j, assured: r.assured[id], rank: wire.Rank(j.Spec.Priority), deadline: deadline, pressing: pressing})
	}
	r.order(out)
	if len(r.backoff) > 0 {
		for id := range r.backoff {
			if r.world.Jobs[id] == nil {
				delete(r.backoff, id)
			}
		}
	}
	for ref := range r.waits {
		if r.world.Jobs[ref.Job] == nil {
			delete(r.waits, ref)
		}
	}
	for id := range r.told {
		if r.world.Jobs[id] == nil {
			delete(r.told, id)
		}
	}
	for id := range r.forming {
		if r.world.Jobs[id] == nil {
			delete(r.forming, id)
		}
	}
	return out
}

// deadline is when a job should be over by what its user or its class's aims
// say: the next such time that can still be met, else the last. It is pressing
// when little slack is left.
func (r *round) deadline(j *world.Job) (time.Time, bool) {
	at := time.UnixMilli(j.AtMs)
	run := config.Seconds(r.values.runs.RunS(j.Spec.Class, j.Spec.EstimateS))
	var aims []time.Time
	if j.Spec.DeadlineS > 0 {
		aims = append(aims, at.Add(config.Seconds(j.Spec.DeadlineS)))
	}
	for _, o := range r.set.Deployment.Objectives {
		switch {
		case o.Class != j.Spec.Class:
		case o.Kind == "deadline" && j.Spec.DeadlineS > 0 && o.Times > 0:
			aims = append(aims, at.Add(config.Seconds(j.Spec.DeadlineS*o.Times)))
		case o.Kind == "wait" && o.WithinS > 0:
			aims = append(aims, at.Add(config.Seconds(o.WithinS)+run))
		case o.WithinS > 0:
			aims = append(aims, at.Add(config.Seconds(o.WithinS)))
		}
	}
	if len(aims) == 0 {
		return at.Add(tuning.NoDeadline), false
	}
	slices.SortFunc(aims, time.Time.Compare)
	for _, d := range aims {
		if slack := d.Sub(r.now) - run; slack >= 0 {
			return d, slack < max(tuning.DeadlineGuardMin, time.Duration(tuning.DeadlineGuard*float64(run)))
		}
	}
	return aims[len(aims)-1], false
}

// allowed tells whether a job may use a machine at all.
func allowed(s *wire.Spec, m *world.Machine) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, m.Type)) &&
		(s.Zone == "" || s.Zone == m.Zone) && (s.Spot || !m.Spot)
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
		n := min(tuning.ChunkTasks, j.Spec.Tasks-k*tuning.ChunkTasks)
		z.limit = (n + 1) / 2
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
		if i/tuning.ChunkTasks == k {
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

// place plays the round: jobs in order, each task first-fit in the part with
// the most room, machines that hold the image first.
func (r *round) place() {
	nodes := r.nodes()
	total := map[string]world.Amount{}
	for p := range r.world.Size {
		for team, a := range r.world.Usage[p] {
			total[team] = total[team].Plus(a, 1)
		}
		for team, a := range r.moveP[p] {
			total[team] = total[team].Plus(a, 1)
		}
	}
	d := Demand{At: r.now}
	queue := r.queue()
	for i := range queue[:min(len(queue), tuning.RoundJobs)] {
		r.placeJob(&queue[i], nodes, total, &d)
	}
	for _, n := range nodes {
		d.Room += share(n.free, world.Capacity(&n.typ))
		if len(n.m.Bound) == 0 && n.kept == "" && n.free == world.Capacity(&n.typ) {
			d.Idle = append(d.Idle, n.m.Name)
		}
	}
	r.demand = d
}

func (r *round) placeJob(du *due, nodes []*node, total map[string]world.Amount, d *Demand) {
	j, spec := du.job, &du.job.Spec
	need := world.Need(spec)
	if r.busy[world.JobKey(spec.ID)] {
		r.waiting(j, "a change of its record is on its way", nil)
		return
	}
	limit, limited := r.quota.Limit(spec.Team)
	if spec.Kind == wire.KindGang {
		r.placeGang(du, nodes, total, d)
		return
	}
	rooms := r.rooms(spec, need, nodes)
	missing, looked := 0, 0
	var z zones
	chunk := -1
	for i := 0; i < spec.Tasks && looked < tuning.JobSlice; i++ {
		if i%tuning.ChunkTasks == 0 && j.Settled(i/tuning.ChunkTasks) {
			i += tuning.ChunkTasks - 1 // nothing waits in this record
			continue
		}
		if r.task(j, i).State != world.Idle {
			continue
		}
		looked++
		if k := i / tuning.ChunkTasks; k != chunk {
			chunk, z = k, r.zones(j, k)
		}
		if limited && !total[spec.Team].Plus(need, 1).Within(limit) {
			r.waiting(j, "team's limit", nil)
			break // not a want of machines
		}
		total[spec.Team] = total[spec.Team].Plus(need, 1)
		n := r.pick(j, need, nodes, rooms, &z, nil)
		ref := world.TaskRef{Job: spec.ID, Index: i}
		if n != nil && !n.mine {
			// Its part's owner should take it; if it does not, whoever has room may.
			if since, ok := r.waits[ref]; !ok {
				r.waits[ref] = r.now
			} else if r.now.Sub(since) > tuning.DealHold {
				if own := r.pick(j, need, nodes, rooms, &z, func(n *node) bool { return n.mine }); own != nil {
					n = own
				}
			}
		}
		if n != nil && !n.mine {
			r.waiting(j, "dealt to another node's machine", n)
		}
		if n == nil {
			r.waiting(j, "no room", nil)
			n = r.booting(j, need, nodes, &z)
			if n == nil {
				missing++
			}
			if du.assured || du.rank <= wire.Rank(wire.PriorityHigh) {
				r.preempt(du, ref, need, nodes, &z)
			}
			if n != nil {
				n.free = n.free.Plus(need, -1)
				z.add(j, n.m.Zone)
			}
			continue
		}
		n.free = n.free.Plus(need, -1)
		n.images[spec.Image] = true
		rooms[n.m.Part]--
		z.add(j, n.m.Zone)
		if n.mine {
			r.bind(du, i, r.task(j, i).Attempt+1, n, need)
		}
	}
	if missing > 0 {
		missing += max(0, j.Pending()-looked)
		d.Groups = append(d.Groups, Group{spec, missing, time.UnixMilli(j.AtMs)})
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

// rooms counts how many tasks of a kind each part could take.
func (r *round) rooms(s *wire.Spec, need world.Amount, nodes []*node) map[int]int {
	out := map[int]int{}
	for _, n := range nodes {
		if n.ready && allowed(s, n.m) {
			out[n.m.Part] += fits(need, n.free)
		}
	}
	return out
}

// share is the scarcest part of a machine that is free.
func share(free, capacity world.Amount) float64 {
	s := 1.0
	for _, d := range [][2]float64{{free.CPUs, capacity.CPUs}, {free.GPUs, capacity.GPUs}, {free.Mem, capacity.Mem}} {
		if d[1] > 0 {
			s = min(s, d[0]/d[1])
		}
	}
	return max(s, 0)
}

// fits is how many times need goes into free.
func fits(need, free world.Amount) int {
	c := math.MaxInt32
	for _, d := range [][2]float64{{need.CPUs, free.CPUs}, {need.GPUs, free.GPUs}, {need.Mem, free.Mem}} {
		if d[0] > 0 {
			c = min(c, int((d[1]+1e-6)/d[0]))
		}
	}
	return max(c, 0)
}

// pick chooses a machine: the image at hand first, then the part with the most
// room, then the first that fits.
func (r *round) pick(j *world.Job, need world.Amount, nodes []*node, rooms map[int]int, z *zones, also func(*node) bool) *node {
	var best *node
	var bestImage, bestKept bool
	for _, n := range nodes {
		if !n.ready || !need.Within(n.free) || !allowed(&j.Spec, n.m) || !z.open(n.m.Zone) {
			continue
		}
		if n.kept != "" && n.kept != j.Spec.ID || also != nil && !also(n) {
			continue
		}
		image := n.images[j.Spec.Image] || n.mine && r.fleet.HasImage(n.m.Name, j.Spec.Image)
		kept := n.kept == j.Spec.ID
		if best == nil || kept && !bestKept || kept == bestKept && (image && !bestImage ||
			image == bestImage && (n.m.Spot && !best.m.Spot || n.m.Spot == best.m.Spot && rooms[n.m.Part] > rooms[best.m.Part])) {
			best, bestImage, bestKept = n, image, kept
		}
	}
	return best
}

// booting finds a machine that is still coming up, or not usable just now, for
// a task that has to wait: no other need be rented for it.
func (r *round) booting(j *world.Job, need world.Amount, nodes []*node, z *zones) *node {
	for _, n := range nodes {
		if !n.ready && need.Within(n.free) && allowed(&j.Spec, n.m) && z.open(n.m.Zone) {
			return n
		}
	}
	return nil
}

// bind adds a task to the records' changes, if its team's grant covers it.
func (r *round) bind(du *due, i int, attempt uint64, n *node, need world.Amount) bool {
	j := du.job
	team := j.Spec.Team
	if r.bound >= tuning.RoundTasks || !r.quota.Allowed(n.m.Part, team, r.use(n.m.Part, team).Plus(need, 1)) {
		r.waiting(j, "its team's grant in this part, or the round is full", n)
		return false
	}
	ed := r.edit(j, i)
	if ed == nil {
		r.waiting(j, "a change of its record is on its way", nil)
		return false
	}
	session := r.fleet.Look(n.m.Name, r.tokens[n.m.Part]).Session
	ref := world.TaskRef{Job: j.Spec.ID, Index: i}
	ed.tasks[i] = world.Task{Index: i, State: world.Bound, Attempt: attempt, Machine: n.m.Name, Session: session}
	ed.parts[n.m.Part] = true
	b := bind{ref, n.m.Name, n.m.Part, team, need}
	ed.binds = append(ed.binds, b)
	r.move(b)
	r.bound++
	r.took(du, b, attempt)
	delete(r.waits, ref)
	if n.kept == j.Spec.ID {
		delete(r.held, n.m.Name)
		n.kept = ""
	}
	r.log.Debug("task placed", "task", ref, "attempt", attempt, "machine", n.m.Name)
	return true
}

// placeGang places all tasks of a gang or none. A gang that is partly bound by
// another node is completed with the same attempt.
func (r *round) placeGang(du *due, nodes []*node, total map[string]world.Amount, d *Demand) {
	j, spec := du.job, &du.job.Spec
	need := world.Need(spec)
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
	if forming {
		for _, i := range idle {
			if r.task(j, i).Attempt >= attempt {
				r.waiting(j, "its last attempt has not left yet", nil)
				return
			}
		}
	} else {
		attempt++
	}
	if limit, ok := r.quota.Limit(spec.Team); ok && !total[spec.Team].Plus(need, float64(len(idle))).Within(limit) {
		r.waiting(j, "team's limit", nil)
		return
	}
	total[spec.Team] = total[spec.Team].Plus(need, float64(len(idle)))
	pinned := r.zones(j, 0)
	choices := []string{""}
	if spec.OneZone && pinned.pin == "" {
		seen := map[string]bool{}
		choices = nil
		for _, n := range nodes {
			if !seen[n.m.Zone] {
				seen[n.m.Zone] = true
				choices = append(choices, n.m.Zone)
			}
		}
	}
	rooms := r.rooms(spec, need, nodes)
	var best []*node
	bestScore := -1
	for _, zone := range choices {
		z := pinned
		z.count = maps.Clone(pinned.count)
		if zone != "" {
			z.pin = zone
		}
		var picks []*node
		score := 0
		for range idle {
			n := r.pick(j, need, nodes, rooms, &z, nil)
			if n == nil {
				break
			}
			picks = append(picks, n)
			n.free = n.free.Plus(need, -1)
			z.add(j, n.m.Zone)
			if n.images[spec.Image] {
				score++
			}
		}
		for _, n := range picks {
			n.free = n.free.Plus(need, 1)
		}
		if len(picks) == len(idle) && score > bestScore {
			best, bestScore = picks, score
		}
	}
	if best == nil {
		r.waiting(j, "no room for all its tasks", nil)
		missing := 0
		z := pinned
		z.count = maps.Clone(pinned.count)
		for range idle {
			n := r.pick(j, need, nodes, rooms, &z, nil)
			if n == nil {
				n = r.booting(j, need, nodes, &z)
			}
			if n == nil {
				missing++
				continue
			}
			n.free = n.free.Plus(need, -1) // kept whole for it
			z.add(j, n.m.Zone)
		}
		if missing > 0 {
			d.Groups = append(d.Groups, Group{spec, missing, time.UnixMilli(j.AtMs)})
		}
		if spec.Tasks == 1 {
			z := pinned
			r.preempt(du, world.TaskRef{Job: spec.ID, Index: 0}, need, nodes, &z)
		}
		return
	}
	for x, i := range idle {
		n := best[x]
		n.free = n.free.Plus(need, -1)
		n.images[spec.Image] = true
		if n.mine {
			r.bind(du, i, attempt, n, need)
		}
	}
}

// preempt frees room for a task of higher priority on the machine of this
// node's parts where the least work is lost.
func (r *round) preempt(du *due, ref world.TaskRef, need world.Amount, nodes []*node, z *zones) {
	for _, h := range r.held {
		if h.ref == ref {
			return // room is being freed for it already
		}
	}
	// All nodes play this round, but only an owner knows what its tasks would
	// lose: the part is chosen by what all know, the machine by its owner.
	type choice struct {
		n    *node
		list []world.Binding
	}
	byPart := map[int][]choice{}
	for _, n := range nodes {
		if !n.ready || n.kept != "" || !allowed(&du.job.Spec, n.m) || !z.open(n.m.Zone) {
			continue
		}
		var list []world.Binding
		for _, b := range n.m.Bound {
			if r.yields(&b.Job.Spec, du) && b.Job.Spec.Kind != wire.KindService &&
				(b.Job.Spec.Kind != wire.KindGang || b.Job.Spec.Tasks == 1) && !b.Job.Cancelled() {
				list = append(list, b)
			}
		}
		free := n.free
		for _, b := range list {
			free = free.Plus(world.Need(&b.Job.Spec), 1)
		}
		if len(list) > 0 && need.Within(free) {
			byPart[n.m.Part] = append(byPart[n.m.Part], choice{n, list})
		}
	}
	part, most := -1, 0
	for p := range r.world.Size {
		if p := (p + ref.Index) % r.world.Size; len(byPart[p]) > most {
			part, most = p, len(byPart[p])
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
	for _, c := range byPart[part] {
		slices.SortFunc(c.list, func(a, b world.Binding) int {
			return cmp.Or(-cmp.Compare(wire.Rank(a.Job.Spec.Priority), wire.Rank(b.Job.Spec.Priority)),
				cmp.Compare(r.cost(a, c.n), r.cost(b, c.n)), cmp.Compare(a.Ref.String(), b.Ref.String()))
		})
		free, cost := c.n.free, 0.0
		var take []world.Binding
		for _, b := range c.list {
			if need.Within(free) {
				break
			}
			free = free.Plus(world.Need(&b.Job.Spec), 1)
			cost += r.cost(b, c.n)
			take = append(take, b)
		}
		if cost < bestCost {
			best, victims, bestCost = c.n, take, cost
		}
	}
	if best == nil {
		return
	}
	best.kept = ref.Job
	best.free = world.Amount{}
	r.held[best.m.Name] = reserve{ref, r.now.Add(tuning.PreemptHold)}
	for _, b := range victims {
		grace := 0.0
		if du.rank > 0 && b.Job.Spec.CheckpointS > 0 {
			grace = graced(&b.Job.Spec)
		}
		r.log.Debug("stopping a task for one of higher priority", "task", b.Ref, "for", ref, "machine", best.m.Name)
		r.fleet.Stop(b, best.m.Name, grace)
	}
}

// yields tells whether a task may be stopped for a waiting job: it has a lower
// priority, or another team borrows with it what the job's team is guaranteed.
func (r *round) yields(s *wire.Spec, du *due) bool {
	rank := wire.Rank(s.Priority)
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
