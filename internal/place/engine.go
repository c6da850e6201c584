package place

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/fit"
	"sableusher/internal/fleet"
	"sableusher/internal/floor"
	"sableusher/internal/learn"
	"sableusher/internal/member"
	"sableusher/internal/order"
	"sableusher/internal/quota"
	"sableusher/internal/repeats"
	"sableusher/internal/silence"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Engine runs the placement rounds of this node's parts.
type Engine struct {
	set    *config.Settings
	op     *config.Operator
	world  *world.World
	member *member.Member
	fleet  *fleet.Registry
	commit *store.Committer
	quota  *quota.Keeper
	// repeats paces tasks that failed by themselves.
	repeats repeats.Rules
	log     *slog.Logger

	mu      sync.Mutex
	ctx     context.Context
	busy    map[string]bool // records with a change on its way
	moving  map[uint64]*change
	nextID  uint64
	backoff map[string]retry
	waits   map[string]wait     // jobs that wait though room was seen for them elsewhere
	look    map[string]struct{} // machines whose tasks' fate is to be looked at
	swept   time.Time           // when all machines were last looked at
	forming map[string]time.Time
	told    map[string]time.Time // when the log last said why a job waits
	held    map[string]reserve   // machines on which room is being freed
	owned   map[int]time.Time    // since when a part is ours
	gone    map[string]bool      // machines whose deletion the cloud has confirmed
	buried  map[string]time.Time // the same, for long after their records are gone
	silence silence.Detector
	fenced  map[int]time.Time
	given   time.Time // when arrays were last given room
	// assured holds the waiting jobs within their team's guarantee, as of a time.
	assured   map[string]bool
	assuredAt time.Time
	covered   map[string]bool      // the jobs whose running tasks lie within it
	promised  map[string]bool      // whether a job lay within it when this node first saw it
	short     [wire.Ranks]bool     // not all waiting arrays of a rank can be in time with the room there is
	missed    map[string]bool      // waiting arrays that can be in time for none of their aims
	aimed     map[string]time.Time // the aim that each of the others can meet with the room there is
	aimedAt   time.Time
	lacked    time.Time            // when a service last found no room
	lacks     map[string]time.Time // since when a job finds none for a task
	served    floor.Book           // what arrived lately of classes and teams
	owed      map[floor.Whom]bool  // who of them has had least of what is due
	turns     map[string]time.Time // when time alone next moves a waiting job in line
	turnedAt  time.Time            // when all of them were last put in line anew
	valued    map[string]valued
	seen      *learn.State // what is chosen in, as of a time
	seenAt    time.Time
	news      *world.News
	line      *order.Line[*world.Job]
	queued    []due // of the round before, its memory used again
	room      *fit.Stock
	stale     map[string]struct{} // machines whose workers told something that the stock has not taken in
	demand    Demand
	values    values
	reader    store.Reader
	peers     Peers
	hints     map[string]map[string]bool // the other nodes' machines by image
	hintsAt   time.Time
	again     chan struct{}
	perGPU    world.Amount         // what GPU work takes beside each GPU
	wide      world.Amount         // what a task of the work that asks for most cores takes
	wideAt    time.Time            // when it last did
	refused   map[string]time.Time // records that were refused as malformed, until they are tried again
	moves     map[string]bool      // jobs whose records are to be moved before they are written
	movedAt   time.Time            // when records that nothing asked for were last moved
}

// valued is a job's value as of a time.
type valued struct {
	value float64
	at    time.Time
}

// wait is since when a job waits, with so many tasks, for another part's owner.
type wait struct {
	since   time.Time
	seen    time.Time
	pending int
}

type retry struct {
	until time.Time
	pause time.Duration
}

type reserve struct {
	ref   world.TaskRef
	until time.Time
}

// New makes an engine.
func New(set *config.Settings, op *config.Operator, w *world.World, m *member.Member, f *fleet.Registry, c *store.Committer, reader store.Reader, peers Peers, log *slog.Logger) *Engine {
	return &Engine{
		set: set, op: op, world: w, member: m, fleet: f, commit: c, quota: quota.New(set.Deployment.Teams, w), repeats: repeats.New(op.Classes), log: log,
		busy: map[string]bool{}, moving: map[uint64]*change{}, backoff: map[string]retry{}, waits: map[string]wait{}, lacks: map[string]time.Time{}, look: map[string]struct{}{}, valued: map[string]valued{},
		forming: map[string]time.Time{}, told: map[string]time.Time{}, held: map[string]reserve{}, owned: map[int]time.Time{}, gone: map[string]bool{}, buried: map[string]time.Time{},
		turns: map[string]time.Time{}, moves: map[string]bool{}, refused: map[string]time.Time{}, fenced: map[int]time.Time{}, reader: reader, peers: peers,
		silence: silence.Detector{Timing: silence.Timing{HeartbeatInterval: set.Report(), LeaseDuration: set.Lease()}},
		values: values{
			learner: learn.New(op.LearnRate, op.Discount, op.Exploration, op.ColdPayoffs, m.Inc, log),
			runs:    learn.NewEstimates(), open: map[attempt]int64{}, began: map[attempt]time.Time{}, recent: 0.5,
		},
		again: make(chan struct{}, 1), news: w.Follow(), line: order.NewLine[*world.Job](), stale: map[string]struct{}{},
	}
}

// Run holds rounds after changes, and now and then without, until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	e.ctx = ctx
	changed := e.world.Subscribe()
	took := time.Duration(0)
	idle := time.NewTimer(tuning.PlaceIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-e.fleet.Changed():
		case <-e.again:
		case <-idle.C:
		}
		start := time.Now()
		e.Round(start, &wg)
		took = time.Since(start)
		idle.Reset(tuning.PlaceIdle)
		select {
		case <-ctx.Done():
			return ctx.Err()
		// Rounds that cost much come less often, so that reports, polls and
		// sessions keep their share of the processor.
		case <-time.After(max(e.gap(), tuning.PlaceRest*took)):
		}
	}
}

// gap is the shortest time between two rounds. A round costs what the fleet is large, so
// that beyond some size they come less often instead of costing more a second.
func (e *Engine) gap() time.Duration {
	e.world.RLock()
	n := len(e.world.Machines)
	e.world.RUnlock()
	return min(max(tuning.PlaceGap, tuning.PlaceGap*time.Duration(n)/tuning.PlaceGapMachines), tuning.PlaceGapMax)
}

// Hints keeps in mind which images the other nodes' machines hold, until ctx ends.
// Where peers don't answer, what they last said stands: it is only a hint.
func (e *Engine) Hints(ctx context.Context) error {
	tick := time.NewTicker(tuning.ImagesEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if hints := e.peers.Images(ctx); len(hints) > 0 {
			e.mu.Lock()
			e.hints, e.hintsAt = hints, time.Now()
			e.mu.Unlock()
		}
	}
}

func (e *Engine) poke() {
	select {
	case e.again <- struct{}{}:
	default:
	}
}

// change is one change of records on its way.
type change struct {
	what  string
	item  store.Item
	keys  []string
	parts []int
	binds []bind
	late  bool // harmless if it is applied late: its own record's guard decides
	done  func(ok bool)
}

// bind is a task on its way to a machine.
type bind struct {
	ref     world.TaskRef
	machine string
	part    int // whose grant it uses
	team    string
	need    world.Amount
}

// Round takes in what the workers told and places what can be placed.
func (e *Engine) Round(now time.Time, wg *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	news := e.fleet.TakeUpdatedMachines()
	maps.Copy(e.look, news)
	maps.Copy(e.stale, news)
	e.world.RLock()
	touched := e.news.Machines()
	maps.Copy(e.look, touched)
	maps.Copy(e.stale, touched)
	r := e.newRound(now)
	r.adopt()
	if now.Sub(e.swept) >= tuning.SweepEvery {
		e.swept = now
		r.clock()
		r.sweep()
		r.machinesDue()
		for p := range r.tokens {
			for _, m := range r.world.ByPart[p] {
				e.look[m.Name] = struct{}{}
			}
		}
	}
	r.settle()
	r.place()
	r.flush()
	r.moveRecords()
	r.doom()
	for _, q := range e.quota.Review(now, r.stamps, r.use) {
		c := &change{what: "grant", item: q.Item, parts: []int{q.Part}, done: func(bool) { q.Done() }}
		r.out = append(r.out, c)
	}
	e.world.RUnlock()
	for _, c := range r.out {
		id := e.nextID
		e.nextID++
		e.moving[id] = c
		for _, k := range c.keys {
			e.busy[k] = true
		}
		wg.Go(func() { e.carry(id, c) })
	}
}

// carry commits one change. If no answer comes, the parts concerned are fenced
// first, so that the change is either in the view or can never be applied.
func (e *Engine) carry(id uint64, c *change) {
	ctx, cancel := context.WithTimeout(e.ctx, tuning.CommitTimeout)
	rev, err := e.commit.Do(ctx, c.item)
	cancel()
	if errors.Is(err, store.ErrRefused) {
		e.log.Error("change refused as malformed", "what", c.what, "err", err)
	} else if err != nil && !errors.Is(err, store.ErrGuard) && !errors.Is(err, store.ErrUnavailable) && !c.late {
		e.log.Info("change without an answer", "what", c.what, "err", err)
		for _, p := range c.parts {
			e.member.Fence(e.ctx, p, false)
		}
	}
	e.mu.Lock()
	delete(e.moving, id)
	for _, k := range c.keys {
		delete(e.busy, k)
		if errors.Is(err, store.ErrRefused) {
			// Not applied, and it would not be now either: at each round anew it would
			// only take the budget from others.
			e.refused[k] = time.Now().Add(tuning.RefusedPause)
		}
	}
	e.mu.Unlock()
	if err != nil {
		e.log.Debug("change not made", "what", c.what, "err", err)
	} else {
		e.log.Debug("change made", "what", c.what, "revision", rev)
	}
	for _, b := range c.binds {
		if err == nil {
			e.fleet.RequestDispatch(b.machine)
		}
	}
	if c.done != nil {
		c.done(err == nil)
	}
	e.poke()
}

// Gone tells that the cloud has confirmed a machine's deletion.
func (e *Engine) Gone(names []string) {
	e.mu.Lock()
	for _, n := range names {
		e.gone[n] = true
		e.buried[n] = time.Now()
		e.look[n] = struct{}{}
	}
	e.mu.Unlock()
	e.poke()
}

// Returns lists machines to be deleted at the cloud, first those on which tasks are still bound:
// they start elsewhere once the deletion is confirmed. waited tells whether there are any.
func (e *Engine) Returns() (names []string, waited bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.RLock()
	defer e.world.RUnlock()
	var urgent, idle []string
	add := func(to *[]string, name string) {
		if _, _, ok := e.member.Owns(world.PartOf(name, e.world.Size)); ok && !e.gone[name] && len(*to) < tuning.ReturnMax {
			*to = append(*to, name)
		}
	}
	moving := map[string]bool{}
	for _, c := range e.moving {
		for _, b := range c.binds {
			moving[b.machine] = true
		}
	}
	for name, m := range e.world.Machines {
		switch {
		case m.Gone && len(m.Bound) > 0:
			add(&urgent, name)
		// Nothing is placed on a drained machine any more: once it is empty it can go.
		case m.Gone || m.Drain && len(m.Bound) == 0 && !moving[name]:
			add(&idle, name)
		}
	}
	for name := range e.world.Orphans {
		add(&urgent, name)
	}
	names = append(urgent, idle...)
	return names[:min(len(names), tuning.ReturnMax)], len(urgent) > 0
}

// Demand is what could not be placed, for the pool.
func (e *Engine) Demand() Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand
}

// Backoff keeps a job's tasks from being placed for a growing while.
func (e *Engine) fail(job string, now time.Time) {
	b := e.backoff[job]
	b.pause = min(max(2*b.pause, tuning.JobBackoff), tuning.JobBackoffMax)
	b.until = now.Add(b.pause)
	e.backoff[job] = b
}

// Graced is the slack a task needs to save.
func graced(s *wire.Spec) float64 { return s.SaveS + tuning.StopMargin.Seconds() }
