package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/sync/semaphore"

	"sableusher/internal/config"
	"sableusher/internal/member"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

var dropped = promauto.NewCounterVec(prometheus.CounterOpts{Name: "sableusher_reports_dropped_total",
	Help: "Workers' reports that told nothing any more, by reason: of an earlier session, out of order, twice."}, []string{"reason"})

// Fleet is this node's workers.
type Fleet struct {
	set    *config.Settings
	world  *world.World
	member *member.Member
	fresh  func() time.Time
	log    *slog.Logger
	http   *http.Client
	lanes  *semaphore.Weighted

	mu       sync.Mutex
	machines map[string]*machine
	wishes   map[key]Wish
	bounced  map[string]time.Time // workers sent to a part's owner
	marks    map[string]mark      // the newest report of each worker, whoever was its owner
	changed  chan struct{}
	kicks    chan string
	adopt    map[string]wire.Report
	news     map[string]struct{} // machines whose reports told something new
	reached  func(node string) time.Time
	pulse    time.Time         // when this process was last seen to run
	thaw     time.Time         // when it last went on after it had stood still
	started  time.Time         // when this process was
	tokens   map[string]uint64 // those that workers had when they first reported to a process without a view
}

// New makes the fleet; fresh tells as of when the view is complete.
func New(set *config.Settings, w *world.World, mem *member.Member, fresh func() time.Time, log *slog.Logger, rt http.RoundTripper) *Fleet {
	if rt == nil {
		rt = wire.Transport(tuning.OrderTimeout, 1, max(1, int(tuning.OrderSockets*float64(set.Deployment.Limits.MaxSockets))))
	}
	return &Fleet{
		set: set, world: w, member: mem, fresh: fresh, log: log,
		http: &http.Client{Transport: rt}, lanes: semaphore.NewWeighted(tuning.OrderLanes),
		machines: map[string]*machine{}, wishes: map[key]Wish{}, bounced: map[string]time.Time{}, marks: map[string]mark{},
		changed: make(chan struct{}, 1), kicks: make(chan string, tuning.KickQueue), adopt: map[string]wire.Report{},
		news: map[string]struct{}{}, started: time.Now(), tokens: map[string]uint64{},
	}
}

// News takes the machines whose reports told something new since the last
// call, which one caller makes: what follows from reports costs as much as
// they change, not as much as there are machines.
func (f *Fleet) News() map[string]struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.news
	f.news = map[string]struct{}{}
	return out
}

// learned notes that a machine's report told something new. Callers hold the lock.
func (f *Fleet) learned(name string) {
	f.news[name] = struct{}{}
	f.poke()
}

// Changed is poked after reports that may free room or move tasks.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

func (f *Fleet) poke() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// staleLimit is the age of the view up to which leases are renewed: a
// cancellation that the view has not seen must still end with the lease in time.
func (f *Fleet) staleLimit() time.Duration {
	free := f.set.Cancel() - f.set.Lease()
	return time.Duration(float64(free)*(1-2*tuning.ClockDrift)) - tuning.LeaseMargin
}

// Reach tells the fleet how to learn when another node last answered this one.
func (f *Fleet) Reach(reached func(node string) time.Time) { f.reached = reached }

// keeps tells whether leases may be renewed on a view of some time. Where a
// cancellation is told once no task is left, a lease that is renewed without knowing of
// one breaks no promise, and a zone that is cut off works on. Otherwise it must end in
// time. A process that stood still believes nothing until its view is confirmed. Callers
// hold both locks.
func (f *Fleet) keeps(now, fresh time.Time) bool {
	f.beats(now)
	if fresh.IsZero() || f.thaw.After(fresh) {
		return false
	}
	return f.world.Level >= tuning.LevelCertain || now.Sub(fresh) <= f.staleLimit()
}

// caretake renews the lease of a worker whose owner is out of reach, as is this node's
// own way to the state service: both are cut off together. It starts nothing. The worker
// takes an answer with the token it has seen; one that has seen a higher one has a
// newer owner. Callers hold both locks.
func (f *Fleet) caretake(r *wire.Report, part int, now, fresh time.Time) (wire.Orders, bool) {
	p, known := f.world.Parts[part]
	rec := f.world.Machines[r.Machine]
	if !known || r.Token > p.Token || rec == nil || rec.Gone || now.Sub(fresh) < tuning.SessionTTL || !f.keeps(now, fresh) ||
		f.reached == nil || now.Sub(f.reached(p.Owner)) < tuning.OwnerLost {
		return wire.Orders{}, false
	}
	return f.stops(r, rec, p.Token), true
}

// blind renews the lease of a worker though this process has no view at all: it was started
// in a zone that is cut off, where its predecessor kept the leases. No view is the oldest
// there can be: it starts nothing and stops nothing. That cancellations are told late,
// which makes it safe, the worker's own token says. Another node that can be reached
// may know more, so there must be none; and a worker whose token rises meanwhile has an
// owner that reaches it, to whom it must not be lost. Callers hold the lock.
func (f *Fleet) blind(r *wire.Report, now, fresh time.Time) (wire.Orders, bool) {
	f.beats(now)
	if !fresh.IsZero() {
		clear(f.tokens)
	}
	if !fresh.IsZero() || !f.thaw.IsZero() || r.Token < tuning.CertainToken || f.reached == nil || now.Sub(f.started) < tuning.OwnerLost {
		return wire.Orders{}, false
	}
	for _, s := range f.set.Siblings {
		if now.Sub(f.reached(s.Node)) < tuning.OwnerLost {
			return wire.Orders{}, false
		}
	}
	first, ok := f.tokens[r.Machine]
	if !ok {
		first = r.Token
		f.tokens[r.Machine] = first
	}
	return wire.Orders{Token: r.Token, Orders: []wire.Order{}}, r.Token == first
}

// stops are the orders on a view that may be old: nothing starts, but what it knows to be
// cancelled ends. Callers hold both locks.
func (f *Fleet) stops(r *wire.Report, rec *world.Machine, token uint64) wire.Orders {
	out := wire.Orders{Token: token, Orders: []wire.Order{}}
	if rec == nil {
		return out
	}
	for _, t := range r.Tasks {
		ref, ok := world.ParseRef(t.Task)
		b, bound := rec.Bound[ref]
		if ok && bound && b.Attempt == t.Attempt && b.Job.Cancelled() && t.State != wire.TaskExited && len(out.Orders) < tuning.OrdersMax {
			grace := 0.0
			out.Orders = append(out.Orders, wire.Order{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &grace})
		}
	}
	return out
}

// mark names the newest report of a worker that came to this node. It outlives what is known of its
// machine, which goes with the machine's part: a copy that the network delivers later must neither
// count as word of a machine that may be dead, nor bring back what is over.
type mark struct {
	session, seq uint64
	at           time.Time
}

// outdated says why a report tells nothing any more, and keeps it in mind if it does; empty:
// it is the newest. Callers hold both locks.
func (f *Fleet) outdated(r *wire.Report, now time.Time) string {
	k := f.marks[r.Machine]
	switch {
	case r.Session < k.session:
		return "session"
	case r.Session == k.session && r.Seq == k.seq:
		return "twice"
	case r.Session == k.session && r.Seq < k.seq:
		return "order"
	}
	// The records tell of sessions that this process has not heard of.
	if rec := f.world.Machines[r.Machine]; rec != nil && r.Session < rec.Session {
		return "session"
	}
	f.marks[r.Machine] = mark{r.Session, r.Seq, now}
	return ""
}

// Beat answers a worker's report.
func (f *Fleet) Beat(r *wire.Report) (int, any) {
	now := time.Now()
	f.world.RLock()
	defer f.world.RUnlock()
	part := world.PartOf(r.Machine, f.world.Size)
	token, entitled := f.member.Entitled(part)
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.fresh()
	if why := f.outdated(r, now); why != "" {
		dropped.WithLabelValues(why).Inc()
		f.log.Debug("report dropped", "machine", r.Machine, "why", why, "session", r.Session, "seq", r.Seq)
		return http.StatusServiceUnavailable, nil
	}
	if out, ok := f.blind(r, now, fresh); ok {
		return http.StatusOK, out
	}
	if !entitled {
		if out, ok := f.caretake(r, part, now, fresh); ok {
			return http.StatusOK, out
		}
		owner, live := f.member.OwnerOf(part)
		last := f.bounced[r.Machine]
		f.bounced[r.Machine] = now
		// A worker that comes back at once did not get through to the owner:
		// naming it again would make a loop.
		if !live || now.Sub(last) < 2*time.Second {
			owner = ""
		}
		delete(f.machines, r.Machine)
		return http.StatusMisdirectedRequest, wire.Redirect{ReportTo: owner}
	}
	if r.Token > token {
		// It has a newer owner, of whom this node does not know yet. It would drop our
		// answer and stay here all the same, until its lease has run out.
		return http.StatusMisdirectedRequest, wire.Redirect{}
	}
	if !f.keeps(now, fresh) {
		return http.StatusServiceUnavailable, nil
	}
	rec := f.world.Machines[r.Machine]
	if rec != nil && rec.Gone {
		return http.StatusServiceUnavailable, nil
	}
	m := f.machines[r.Machine]
	if m == nil {
		m = newMachine(r.Machine)
		f.machines[r.Machine] = m
	}
	// That it has seen this owner's token shows as well that it heard it once.
	if len(f.set.Siblings) > 0 && m.stays(r) || m.obeyed.IsZero() && m.directAt.IsZero() && r.Token == token {
		m.obeyed = now
	}
	newer, changed := m.observe(r, true, now)
	if !newer { // the answer to a command overtook it
		dropped.WithLabelValues("order").Inc()
		return http.StatusServiceUnavailable, nil
	}
	if m.deaf() {
		f.kick(r.Machine) // it is asked until it answers
	}
	if changed {
		f.learned(r.Machine)
	}
	out := wire.Orders{Token: token, Orders: []wire.Order{}}
	if now.Sub(fresh) > f.staleLimit() {
		return http.StatusOK, f.stops(r, rec, token) // the tasks it has go on
	}
	// One that was up and is recorded as not has to be known to hear this owner.
	if rec == nil || !rec.Up && (rec.Address == "" || m.hears()) || rec.Address != r.Address || max(rec.Session, 1) != r.Session {
		f.adopt[r.Machine] = *r
		f.poke()
	}
	if _, _, owns := f.member.Owns(part); rec != nil && owns {
		out.Orders = append(out.Orders, m.orders(rec.Bound, f.known, f.wish, token, r.Seq, now)...)
	}
	return http.StatusOK, out
}

// known tells whether the records have reached this attempt of the task: it is
// bound elsewhere, was given up, or its job is over. Otherwise the view is
// older than the report. Callers hold both locks.
func (f *Fleet) known(ref world.TaskRef, attempt uint64) bool {
	j := f.world.Jobs[ref.Job]
	if j == nil {
		return true // starts follow durable bindings, so the job was there and is over
	}
	if !j.Known || ref.Index >= j.Spec.Tasks {
		return false
	}
	t := j.Task(ref.Index)
	return t.Attempt > attempt || t.Attempt == attempt && t.State != world.Bound
}

// wish tells whether a bound task is to stop. Callers hold both locks.
func (f *Fleet) wish(b world.Binding) (Wish, bool) {
	if b.Job.Cancelled() {
		return Wish{}, true
	}
	w, ok := f.wishes[key{b.Ref, b.Attempt}]
	return w, ok
}

// Stop asks for a bound task to be stopped with a grace.
func (f *Fleet) Stop(b world.Binding, machine string, graceS float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := key{b.Ref, b.Attempt}
	if w, ok := f.wishes[k]; ok && w.GraceS <= graceS {
		return
	}
	f.wishes[k] = Wish{GraceS: graceS, At: time.Now()}
	f.kick(machine)
}

// Stopping tells whether a stop was asked for.
func (f *Fleet) Stopping(b world.Binding) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.wish(b)
	return ok
}

// Kick asks for direct orders to a machine, ahead of its next report.
func (f *Fleet) Kick(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kick(name)
}

func (f *Fleet) kick(name string) {
	select {
	case f.kicks <- name:
	default: // its next report brings the orders
	}
}

// Run sends direct orders until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(f.set.Report())
	defer tick.Stop()
	pulse := time.NewTicker(tuning.PulseEvery)
	defer pulse.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pulse.C:
			f.mu.Lock()
			f.beats(time.Now())
			f.mu.Unlock()
		case name := <-f.kicks:
			if f.lanes.Acquire(ctx, 1) != nil {
				return ctx.Err()
			}
			wg.Go(func() {
				defer f.lanes.Release(1)
				f.send(ctx, name)
			})
		case <-tick.C:
			f.sweep()
		}
	}
}

// beats notes that this process runs, and whether it stood still before. Callers hold
// the fleet's lock.
func (f *Fleet) beats(now time.Time) {
	if !f.pulse.IsZero() && now.Sub(f.pulse) > tuning.FreezeGap {
		f.thaw = now
	}
	f.pulse = now
}

// sweep forgets what no record and no report needs any more.
func (f *Fleet) sweep() {
	f.world.RLock()
	defer f.world.RUnlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for k, w := range f.wishes {
		j := f.world.Jobs[k.ref.Job]
		if j == nil || !j.Known {
			delete(f.wishes, k)
			continue
		}
		if t := j.Task(k.ref.Index); t.State != world.Bound || t.Attempt != k.attempt {
			if now.Sub(w.At) > time.Second {
				delete(f.wishes, k)
			}
		}
	}
	for n, at := range f.bounced {
		if now.Sub(at) > time.Minute {
			delete(f.bounced, n)
		}
	}
	for n, k := range f.marks {
		if now.Sub(k.at) > tuning.MarkLeases*f.set.Lease() {
			delete(f.marks, n)
		}
	}
	for n, m := range f.machines {
		_, owned := f.member.Entitled(world.PartOf(n, f.world.Size))
		if f.world.Machines[n] == nil && now.Sub(m.heard) > f.set.Lease() || !owned {
			delete(f.machines, n)
			delete(f.adopt, n)
		}
	}
}

// send gives a machine its orders directly. One command is on its way at a time.
func (f *Fleet) send(ctx context.Context, name string) {
	f.world.RLock()
	rec := f.world.Machines[name]
	token, _, owns := f.member.Owns(world.PartOf(name, f.world.Size))
	if rec == nil || rec.Gone || !owns || time.Since(f.fresh()) > f.staleLimit() {
		f.world.RUnlock()
		return
	}
	f.mu.Lock()
	m := f.machines[name]
	if m == nil {
		m = newMachine(name)
		f.machines[name] = m
	}
	if m.address == "" {
		m.address = rec.Address
	}
	// After a failure the next report is awaited. One that is overdue is asked over and over until
	// it is given up, so that what was out of reach for a moment is heard before; no orders
	// go with it, as each would be a start in doubt more.
	silent := time.Since(m.heard)
	overdue, failed := silent > f.reports(tuning.ProbeAfter), m.directAt.After(m.heard)
	pause := f.set.Report()
	if overdue && silent < f.reports(tuning.DeadAfter) {
		pause = tuning.ProbePause
	}
	if m.direct || m.address == "" || failed && time.Since(m.directAt) < pause {
		f.mu.Unlock()
		f.world.RUnlock()
		return
	}
	cmd := wire.DirectOrders{Token: token, Session: max(m.session, 1), Orders: []wire.Order{}}
	deaf := m.deaf()
	if m.session != 0 && !(overdue && failed) && !deaf {
		cmd.Orders = append(cmd.Orders, m.orders(rec.Bound, f.known, f.wish, token, 0, time.Now())...)
	}
	// A worker that is overdue is asked whether it is there at all.
	if len(cmd.Orders) == 0 && m.token == token && !overdue && !deaf {
		f.mu.Unlock()
		f.world.RUnlock()
		return
	}
	m.direct = true
	address, limit := m.address, tuning.OrderTimeout
	if (overdue || deaf) && len(cmd.Orders) == 0 {
		limit = tuning.ProbeTimeout
	}
	f.mu.Unlock()
	f.world.RUnlock()

	rep, status, err := f.post(ctx, address, cmd, limit)
	f.world.RLock()
	defer f.world.RUnlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.direct = false
	m.answered(cmd.Orders, cmd.Session, token, err == nil)
	if err != nil {
		m.unheard(time.Now())
		f.log.Debug("orders unanswered", "machine", name, "err", err)
		return
	}
	if m.answers(time.Now()); deaf {
		f.kick(name) // orders can follow
		f.learned(name)
	}
	if rep != nil && rep.Machine == name {
		old := m.session
		if newer, changed := m.observe(rep, false, time.Now()); newer {
			if changed {
				f.learned(name)
			}
			// A mute worker tells of a new session here alone. Others bind gangs and services to the one
			// on record, which this node ends at once, and both over and over. Where a report follows it tells
			// of it: a zone's sessions, recorded at once as it came back, kept its replicas waiting.
			_, mute := f.mute(m, time.Now())
			if rec := f.world.Machines[name]; mute && rec != nil && max(rec.Session, 1) != m.session {
				f.adopt[name] = *rep
				f.poke()
			}
			if m.session != old || m.token < token {
				f.kick(name) // a new session, or the first word: orders can follow now
			}
		}
	}
	if status != http.StatusOK {
		f.log.Debug("orders refused", "machine", name, "status", status)
	}
}

// reports is the time of so many report intervals.
func (f *Fleet) reports(n float64) time.Duration { return time.Duration(n * float64(f.set.Report())) }

func (f *Fleet) post(ctx context.Context, address string, cmd wire.DirectOrders, limit time.Duration) (*wire.Report, int, error) {
	b, err := wire.Encode(cmd)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(b))
	if err != nil {
		return nil, 0, fmt.Errorf("orders: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("orders: %w", err)
	}
	defer resp.Body.Close()
	body, err := wire.ReadBody(resp.Body, tuning.StateBody)
	if err != nil {
		return nil, 0, fmt.Errorf("orders: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, resp.StatusCode, fmt.Errorf("orders: status %d", resp.StatusCode)
	}
	var rep wire.Report
	if err := wire.Decode(body, &rep); err != nil {
		return nil, resp.StatusCode, err
	}
	return &rep, resp.StatusCode, nil
}

// State is what placement needs to know of a machine.
type State struct {
	Heard      time.Time
	Session    uint64
	Usable     bool // heard lately, answers, under our token, no notice, no refusal
	Recall     time.Time
	Doubt      bool // a direct start without an answer is left
	Unanswered bool // a direct question since the last report got no answer
	Deaf       bool // its reports arrive, while for some time commands to it did not
	Hears      bool // it is known to hear this node
	Mute       bool // it answers commands, while for some time no report of it came here
	// Lapse is when the lease of a machine ends if no report of it comes any more.
	Lapse time.Time
	// OneWay is since when it has been deaf or mute.
	OneWay time.Time
	Errors int
}

// mute tells whether a machine answers commands while its reports have been due for some time, and from when
// on they are awaited. Callers hold the lock.
func (f *Fleet) mute(m *machine, now time.Time) (from time.Time, is bool) {
	from, find := m.awaited()
	silent := f.reports(tuning.SilentAfter)
	return from, m.hears() && now.Sub(from) > silent+find && m.obeyed.After(from) && now.Sub(m.heard) < silent
}

// Look gives a machine's state under a token.
func (f *Fleet) Look(name string, token uint64) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	if m == nil {
		return State{}
	}
	now := time.Now()
	s := State{Heard: m.heard, Session: m.session, Recall: m.recall, Errors: len(m.errors), Doubt: m.doubt(token), Unanswered: m.directAt.After(m.heard)}
	s.Hears = m.hears()
	s.Deaf = m.deaf() && m.heard.After(m.deafFrom) && now.Sub(m.deafFrom) > tuning.DeafAfter
	if s.Deaf {
		s.OneWay = m.deafFrom
	}
	silent := f.reports(tuning.SilentAfter)
	from, mute := f.mute(m, now)
	s.Mute, s.Lapse = mute, from.Add(f.set.Lease())
	if mute {
		s.OneWay = from
	}
	s.Usable = m.session != 0 && m.token == token && m.recall.IsZero() && now.Sub(m.heard) < silent && !s.Unanswered && !m.deaf() && !s.Mute &&
		now.Sub(m.refused) > tuning.RefuseHold && len(m.errors) < tuning.MachineErrors
	return s
}

// Task is a bound task's fate with what was reported.
type Task struct {
	Fate  Fate
	State string
	Cause string
	Saved bool
	Since time.Time
}

// Fate tells what became of a binding.
func (f *Fleet) Fate(b world.Binding, name string, token uint64) Task {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	if m == nil {
		return Task{}
	}
	fate, s := m.fate(b, token)
	return Task{fate, s.State, s.Cause, s.Saved, s.since}
}

// Images gives the machines of this node by the images that they are believed
// to hold, for placement here and on the other nodes.
func (f *Fleet) Images() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for name, m := range f.machines {
		for image := range m.images {
			out[image] = append(out[image], name)
		}
	}
	return out
}

// NoteImage records that a machine has just used an image; its cache keeps the
// ones used last.
func (f *Fleet) NoteImage(name, image string, gb, cacheGB float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		m.cache(image, gb, cacheGB, time.Now())
	}
}

// NoteRefused keeps a machine out of placement for a while.
func (f *Fleet) NoteRefused(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		m.refused = time.Now()
	}
}

// NoteError records that a job's task failed on a machine.
func (f *Fleet) NoteError(name, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		m.errors[job] = time.Now()
	}
}

// Adoptions takes the machines whose records are missing or behind.
func (f *Fleet) Adoptions() map[string]wire.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.adopt
	f.adopt = map[string]wire.Report{}
	return out
}

// HeardOf gives those machines whose workers have reported to this node lately,
// though it may not own them: they came because their owner did not answer.
func (f *Fleet) HeardOf(machines []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A worker that lost its way to one node tries the next after seconds.
	limit := f.reports(tuning.HeardLately)
	var out []string
	for _, n := range machines {
		at := f.bounced[n]
		if m := f.machines[n]; m != nil && m.heard.After(at) {
			at = m.heard
		}
		if !at.IsZero() && time.Since(at) < limit {
			out = append(out, n)
		}
	}
	return out
}

// FreshView tells whether this node's view is fresh enough to take parts.
func (f *Fleet) FreshView() bool {
	fresh := f.fresh()
	return !fresh.IsZero() && time.Since(fresh) < tuning.ReadyStale
}
