package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/config"
	"sableusher/internal/learn"
	"sableusher/internal/member"
	"sableusher/internal/place"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Pool is this node's part in keeping the fleet: every node returns the
// machines of its parts, the leader sizes the fleet.
type Pool struct {
	set    *config.Settings
	op     *config.Operator
	world  *world.World
	member *member.Member
	engine *place.Engine
	cloud  *Cloud
	commit *store.Committer
	log    *slog.Logger

	mu      sync.Mutex // guards serial, refused, counts and short, as rentals are asked for at once
	serial  int
	refused map[kind]refusal   // of kinds that the cloud had none of
	counts  map[kind]int       // of the deployment's machines, as of the last look
	short   map[kind]time.Time // until when a kind is believed to have less than a gang needs
	rented  time.Time          // when machines were last rented
	cut     []string           // zones that are cut off: what is rented there could not report
	idle    map[string]time.Time
	unknown map[string]time.Time
	missing map[string]int // lists in a row that lacked a machine which has long been listed
	listed  time.Time
	arrived map[string]arrival

	chosen   int64 // the size's decision, to be paid
	choseAt  time.Time
	fraction float64
}

// arrival is a job that came lately and the room it takes.
type arrival struct {
	at    time.Time
	room  float64
	spot  bool
	whole bool // its tasks take most of a machine each
}

// kind is what a rental asks for.
type kind struct {
	typ, zone string
	spot      bool
}

// refusal is what is kept of a kind that the cloud had none of, or too few.
type refusal struct {
	until time.Time // when it may be asked for again
	pause time.Duration
	held  int // machines of the kind that the deployment had before
}

// New makes a pool.
func New(set *config.Settings, op *config.Operator, w *world.World, m *member.Member, e *place.Engine, c *Cloud, commit *store.Committer, log *slog.Logger) *Pool {
	return &Pool{set: set, op: op, world: w, member: m, engine: e, cloud: c, commit: commit, log: log,
		refused: map[kind]refusal{}, short: map[kind]time.Time{}, idle: map[string]time.Time{}, unknown: map[string]time.Time{}, missing: map[string]int{}, arrived: map[string]arrival{}}
}

// Run keeps the fleet until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return every(ctx, tuning.PoolTick, p.returns) })
	g.Go(func() error { return every(ctx, tuning.PoolTick, p.size) })
	g.Go(func() error { return every(ctx, tuning.PoolTick, p.catalog()) })
	return g.Wait()
}

func every(ctx context.Context, d time.Duration, f func(context.Context)) error {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// catalog keeps the machine types in the state service, so that a node that
// starts while the cloud is away knows them.
func (p *Pool) catalog() func(context.Context) {
	var last time.Time
	return func(ctx context.Context) {
		p.world.RLock()
		known, stamp := len(p.world.Types) > 0, p.world.CatStamp
		lead, leads := p.leads()
		p.world.RUnlock()
		if known && (!leads || time.Since(last) < tuning.CatalogEvery) || !leads && time.Since(last) < 5*time.Second {
			return
		}
		last = time.Now()
		cat, err := p.cloud.Catalog(ctx)
		if err != nil || len(cat.Types) == 0 {
			p.log.Info("catalog not read", "err", err)
			return
		}
		guards := []wire.Guard{{Key: world.CatalogKey, Stamp: stamp}}
		if leads {
			guards = append(guards, lead)
		}
		for _, ops := range p.catalogOps(cat) {
			if _, err := p.do(ctx, store.Item{Guards: guards, Ops: ops}); err != nil {
				p.log.Debug("catalog not written", "err", err)
			}
		}
	}
}

// catalogOps are the changes that record a catalog, by transaction: one record,
// or where that would be too long, one for each type. Once it is kept by type it
// stays so, as those records count first.
func (p *Pool) catalogOps(cat wire.Catalog) [][]wire.Op {
	whole := store.Set(world.CatalogKey, cat)
	p.world.RLock()
	level, byType := p.world.Level, p.world.ByType()
	p.world.RUnlock()
	if level < tuning.LevelPipelines || !byType && wire.JSONSize(whole.Value) <= p.commit.Room() {
		return [][]wire.Op{{whole}}
	}
	var ops []wire.Op
	for _, t := range cat.Types {
		ops = append(ops, store.Set(world.TypeKey(t.Name), t))
	}
	return slices.Collect(slices.Chunk(ops, p.commit.TxnOps()))
}

func (p *Pool) do(ctx context.Context, it store.Item) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	return p.commit.Do(ctx, it)
}

// leads tells whether this node leads, with the guard of what a leader writes.
// Callers hold the world's lock.
func (p *Pool) leads() (wire.Guard, bool) {
	_, stamp, ok := p.member.Owns(world.Leader)
	return wire.Guard{Key: world.PartKey(world.Leader), Stamp: stamp}, ok
}

// returns deletes machines marked for it, of this node's parts. Those whose tasks wait for it
// go at once; the others wait until a call is left over. Of few calls a second the return of
// one idle machine after the other once took all, and a dead machine's replicas waited for
// 3 s in the median.
func (p *Pool) returns(ctx context.Context) {
	names, waited := p.engine.MachinesToDelete()
	if len(names) == 0 || !waited && !p.cloud.Spare() {
		return
	}
	if err := p.cloud.Return(ctx, names); err != nil {
		p.log.Info("machines not returned", "count", len(names), "err", err)
		return
	}
	p.log.Info("machines returned", "machines", names)
	p.engine.ConfirmDeleted(names)
}

// bin is a machine to be rented.
type bin struct {
	kind
	free world.Amount
	must bool // for work of high priority, or for the minimum
}

// learned lets the learner choose how many of the machines that could be rented
// are. The least is what work of high priority and the minimum need, the most
// the booked room and the step; between them a choice holds for a while and is
// then paid by what it led to.
func (p *Pool) learned(bins []bin) []bin {
	l := p.engine.Learner()
	if !p.op.Learn || !l.Warm() {
		return bins
	}
	least := 0
	for i, b := range bins {
		if b.must {
			least = i + 1 // bins stand in order of priority
		}
	}
	if least == len(bins) {
		return bins
	}
	now := time.Now()
	if now.Sub(p.choseAt) >= config.Seconds(p.op.PoolHoldS) {
		if p.chosen != 0 {
			l.Pay(p.chosen, p.engine.SizePayoff())
		}
		p.world.RLock()
		have := len(p.world.Machines)
		p.world.RUnlock()
		s := p.engine.SizeState()
		var choices []learn.Choice
		best := 0
		for i, f := range tuning.SizeFractions {
			size := float64(have+least) + f*float64(len(bins)-least)
			choices = append(choices, l.Score(&s, &learn.Action{Size: true, Fraction: f, Machines: size}))
			if choices[i].Value >= choices[best].Value {
				best = i
			}
		}
		if i, ok := l.Explore(len(choices)); ok {
			best = i
		}
		p.chosen, p.choseAt, p.fraction = l.Take(choices[best]), now, tuning.SizeFractions[best]
		p.log.Debug("size chosen", "machines", have, "least", least, "most", len(bins), "fraction", p.fraction, "value", choices[best].Value)
	}
	keep := least + int(math.Ceil(p.fraction*float64(len(bins)-least)))
	return bins[:keep]
}

// size is one look of the leader at the fleet's size.
func (p *Pool) size(ctx context.Context) {
	if p.op.OwnedFleet {
		return
	}
	p.world.RLock()
	lead, leads := p.leads()
	p.world.RUnlock()
	p.cloud.Lead(leads)
	if !leads {
		clear(p.idle)
		return
	}
	p.count()
	p.list(ctx, lead)
	if p.resume(ctx, lead) {
		return
	}
	d := p.engine.Demand()
	p.cut = p.engine.PartitionedZones()
	if time.Since(d.At) > tuning.DemandStale || d.At.Before(p.rented) {
		return // what was rented since is not counted in it
	}
	bins := p.learned(p.bins(d))
	if len(bins) > 0 {
		p.rentAll(ctx, lead, bins)
		p.rented = time.Now()
	}
	p.shrink(ctx, lead, d, bins)
}

// bins packs what found no room into machines to be rented, and adds the step
// and the minimum.
func (p *Pool) bins(d place.Demand) []bin {
	p.world.RLock()
	defer p.world.RUnlock()
	held := map[string]int{}
	total := 0
	for _, m := range p.world.Machines {
		if !m.Gone {
			held[m.Zone]++
			total++
		}
	}
	now := time.Now()
	var out []bin
	rank := wire.Ranks
	late := false // the work at hand has waited so long that its room is no choice any more
	open := func(s *wire.Spec, zone string, also func(kind) bool) *bin {
		k, ok := p.choose(s, zone, held, now, also)
		if !ok {
			return nil
		}
		t := p.world.Types[k.typ]
		out = append(out, bin{k, world.Capacity(&t), rank <= wire.Rank(wire.PriorityHigh) || late})
		held[k.zone]++
		return &out[len(out)-1]
	}
	for _, g := range d.Groups {
		s, need := g.Spec, world.Need(g.Spec)
		late, rank = now.Sub(g.Since) > tuning.StarveAfter, g.Rank
		zone, count := s.Zone, g.Count
		perZone := map[string]int{}
		also := func(k kind) bool { return !s.Spread || perZone[k.zone] < (count+1)/2 }
		if zone == "" && s.OneZone {
			if zone, count = p.collect(g, held, now); count == 0 {
				continue
			}
		}
		at := 0 // the tasks of a group are alike: what does not fit one fits none of them
		for range count {
			var b *bin
			for ; at < len(out); at++ {
				if o := &out[at]; need.Within(o.free) && (zone == "" || o.zone == zone) && (s.Spot || !o.spot) &&
					(len(s.Types) == 0 || slices.Contains(s.Types, o.typ)) && also(o.kind) {
					b = o
					break
				}
			}
			if b == nil {
				b = open(s, zone, also)
			}
			if b == nil {
				break
			}
			b.free = b.free.Plus(need, -1)
			perZone[b.zone]++
			if s.OneZone {
				zone = b.zone
			}
		}
	}
	late, rank = false, wire.Ranks
	step := p.step(now)
	short := p.op.PoolMin - total - len(out)
	spare := max(short, int(math.Ceil(step.room-d.Spare.Machines-0.5)), int(math.Ceil(step.whole-float64(d.Spare.UnusedMachines)-0.5)))
	for i := range spare {
		b := open(&wire.Spec{}, "", anyKind)
		if b == nil {
			break
		}
		b.must = i < short
	}
	reserve := p.reserve()
	for _, z := range slices.Sorted(maps.Keys(reserve)) {
		for range int(math.Ceil(reserve[z] - d.Spare.MachinesByZone[z])) {
			if open(&wire.Spec{}, z, anyKind) == nil {
				break
			}
		}
	}
	for range int(math.Ceil(step.spot - d.Spot.Machines - 0.5)) {
		if open(&wire.Spec{Spot: true}, "", anyKind) == nil {
			break
		}
	}
	return out
}

func anyKind(kind) bool { return true }

// collect chooses the zone in which room for a gang that must be together is rented, and
// for how many of its tasks: the rest where some of its room is; all of it elsewhere
// while that zone refuses, if another is not known to have less than the whole. It is
// none if every zone is short: asking one after the other would get a machine here and
// one there, return each as idle, and never make up a gang.
func (p *Pool) collect(g place.Group, held map[string]int, now time.Time) (zone string, count int) {
	ample := func(k kind) bool { return !now.Before(p.short[k]) }
	s := g.Spec
	if g.Zone != "" {
		if _, ok := p.choose(s, g.Zone, held, now, anyKind); ok {
			return g.Zone, g.Count
		}
	}
	if k, ok := p.choose(s, "", held, now, ample); ok {
		if first, _ := p.choose(s, "", held, now, anyKind); first == k {
			return "", s.Tasks // as for any job, so that machines rented for others are shared
		}
		return k.zone, s.Tasks
	}
	if g.Zone != "" && !slices.Contains(p.cut, g.Zone) {
		return "", 0 // more is asked for there once it may be
	}
	return "", g.Count
}

// step is the room to keep above what is booked, in machines.
type step struct {
	room  float64 // of ordinary machines
	whole float64 // of these in machines that nothing uses
	spot  float64 // of spot machines
}

// step is what arrives in one boot time more than usually: its standard
// deviation, seen over a window of past arrivals. Work that may use spot
// machines, work that may not, and tasks that take a machine each are counted
// apart, as none can use the room kept for another. Callers hold the world's lock.
func (p *Pool) step(now time.Time) step {
	for id, j := range p.world.Jobs {
		if _, ok := p.arrived[id]; ok || !j.Known || j.Waits() {
			continue
		}
		at := j.Since()
		if now.Sub(at) > tuning.ArrivalWindow {
			continue
		}
		if p.besides(&j.Spec) {
			continue
		}
		room := p.roomOf(&j.Spec)
		p.arrived[id] = arrival{at, room, j.Spec.Spot, room > tuning.WholeShare*float64(j.Spec.Tasks)}
	}
	var room, whole, spot float64
	for id, a := range p.arrived {
		square := a.room * a.room
		switch {
		case now.Sub(a.at) > tuning.ArrivalWindow:
			delete(p.arrived, id)
		case a.spot:
			spot += square
		default:
			room += square
			if a.whole {
				whole += square
			}
		}
	}
	boot := 0.0
	for _, t := range p.world.Types {
		boot = max(boot, t.BootS)
	}
	deviation := func(square float64) float64 {
		return tuning.StepDeviations * math.Sqrt(square*boot/tuning.ArrivalWindow.Seconds())
	}
	return step{max(float64(p.op.PoolStep), deviation(room)), deviation(whole), deviation(spot)}
}

// reserve is the room to keep in each zone for the loss of another, in machines: so that what
// the zone with most services holds of them, times the set share, has room in the others
// together. While a zone is out it is there to be used. Callers hold the world's lock.
func (p *Pool) reserve() map[string]float64 {
	out := map[string]float64{}
	if p.op.ZoneReserve == 0 || len(p.cut) > 0 {
		return out
	}
	held, most := map[string]float64{}, 0.0
	for _, m := range p.world.Machines {
		for _, b := range m.Bound {
			if s := &b.Job.Spec; s.Kind == wire.KindService && s.Zone == "" {
				held[m.Zone] += p.roomOf(s) / float64(s.Tasks)
				most = max(most, held[m.Zone])
			}
		}
	}
	for _, t := range p.world.Types {
		for _, z := range t.Zones {
			out[z] = most * p.op.ZoneReserve
		}
	}
	for z := range out {
		out[z] /= float64(max(len(out)-1, 1))
	}
	return out
}

// besides tells whether a job takes no GPU though machines have them: it finds
// its room beside other work as a rule, and no machine is kept for it.
func (p *Pool) besides(s *wire.Spec) bool {
	for _, t := range p.world.Types {
		if t.GPUs == 0 {
			return false
		}
	}
	return s.GPUs == 0
}

// roomOf is what a job takes, in machines of the largest type.
func (p *Pool) roomOf(s *wire.Spec) float64 {
	best := math.Inf(1)
	for _, t := range p.world.Types {
		r := 0.0
		for _, d := range [][2]float64{{s.CPUs, t.CPUs}, {s.GPUs, t.GPUs}, {s.MemoryGB, t.MemoryGB}} {
			if d[1] > 0 {
				r = max(r, d[0]/d[1])
			}
		}
		best = min(best, r)
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best * float64(s.Tasks)
}

// choose picks the cheapest kind for a task, in the allowed zone with the
// fewest machines, leaving out what was refused lately and zones that are cut off.
func (p *Pool) choose(s *wire.Spec, zone string, held map[string]int, now time.Time, also func(kind) bool) (kind, bool) {
	need := world.Need(s)
	var best kind
	bestPrice, found := 0.0, false
	for _, name := range slices.Sorted(maps.Keys(p.world.Types)) {
		t := p.world.Types[name]
		if len(s.Types) > 0 && !slices.Contains(s.Types, name) || !need.Within(world.Capacity(&t)) {
			continue
		}
		for _, z := range t.Zones {
			if zone != "" && z != zone || slices.Contains(p.cut, z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				k := kind{name, z, spot}
				if spot && !s.Spot || p.refuses(k, now) || !also(k) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if !found || price < bestPrice || price == bestPrice && held[z] < held[best.zone] {
					best, bestPrice, found = k, price, true
				}
			}
		}
	}
	return best, found
}

// rentAll rents the machines, most needed kinds first, several requests at once.
func (p *Pool) rentAll(ctx context.Context, lead wire.Guard, bins []bin) {
	count := map[kind]int{}
	var kinds []kind // in the order of need
	for _, b := range bins {
		if count[b.kind] == 0 {
			kinds = append(kinds, b.kind)
		}
		count[b.kind]++
	}
	var g errgroup.Group
	g.SetLimit(tuning.RentLanes)
	for _, k := range kinds {
		most := p.rentMax()
		for n := count[k]; n > 0; n -= most {
			g.Go(func() error {
				p.rent(ctx, lead, k, min(n, most))
				return nil
			})
		}
	}
	_ = g.Wait()
}

// rentMax is how many machines one request may ask for: their names go into the
// rental's record.
func (p *Pool) rentMax() int {
	p.world.RLock()
	defer p.world.RUnlock()
	longest := max(tuning.NameBytes, p.world.LongestName())
	return max(1, min(tuning.RentMax, (p.commit.Room()-tuning.RentalBytes)/(longest+len(`"",`))))
}

// rent writes a request's name, asks the cloud, and records the machines.
func (p *Pool) rent(ctx context.Context, lead wire.Guard, k kind, count int) {
	p.mu.Lock()
	refused := p.refuses(k, time.Now())
	p.serial++
	name := fmt.Sprintf("r-%s-%x-%d", p.member.Self, p.member.Inc, p.serial)
	p.mu.Unlock()
	if refused {
		return // meanwhile
	}
	rec := world.RentalRecord{Type: k.typ, Zone: k.zone, Spot: k.spot, Count: count, AtMs: time.Now().UnixMilli()}
	key := world.RentalKey(name)
	rev, err := p.do(ctx, store.Item{
		Guards: []wire.Guard{{Key: key, Stamp: 0}, lead}, Ops: []wire.Op{store.Set(key, rec)},
	})
	if err != nil {
		p.log.Info("rental not recorded", "err", err)
		return
	}
	_ = p.ask(ctx, name, rec, rev)
}

// resume asks again for rentals whose answer is not known, and drops those whose
// machines all have records of their own.
func (p *Pool) resume(ctx context.Context, lead wire.Guard) bool {
	p.world.RLock()
	open := map[string]world.Rental{}
	var done []store.Item
	for name, r := range p.world.Rentals {
		if len(r.Machines) == 0 {
			open[name] = r
			continue
		}
		if !slices.ContainsFunc(r.Machines, func(n string) bool { m := p.world.Machines[n]; return m != nil && m.Stamp == 0 }) {
			key := world.RentalKey(name)
			done = append(done, store.Item{Guards: []wire.Guard{lead, {Key: key, Stamp: r.Stamp}}, Ops: []wire.Op{store.Drop(key)}})
		}
	}
	p.world.RUnlock()
	p.doAll(ctx, done, "rental record stays")
	for _, name := range slices.Sorted(maps.Keys(open)) {
		if p.ask(ctx, name, open[name].RentalRecord, open[name].Stamp) != nil {
			break // the cloud is away: the others wait as well
		}
	}
	return len(open) > 0
}

// doAll makes changes that don't depend on each other, in few transactions.
func (p *Pool) doAll(ctx context.Context, items []store.Item, failed string) {
	var wg sync.WaitGroup
	for _, it := range items {
		wg.Go(func() {
			if _, err := p.do(ctx, it); err != nil {
				p.log.Debug(failed, "err", err)
			}
		})
	}
	wg.Wait()
}

func (p *Pool) ask(ctx context.Context, name string, rec world.RentalRecord, stamp uint64) error {
	k := kind{rec.Type, rec.Zone, rec.Spot}
	names, err := p.cloud.Rent(ctx, wire.Rental{Name: name, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, Count: rec.Count})
	switch {
	case errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrMalformed):
		p.log.Info("rental refused", "type", k.typ, "zone", k.zone, "spot", k.spot, "count", rec.Count, "err", err)
		p.refuse(k)
	case err != nil:
		p.log.Info("rental not answered", "rental", name, "err", err)
		return err
	default:
		p.log.Info("machines rented", "type", k.typ, "zone", k.zone, "spot", k.spot, "asked", rec.Count, "got", names)
		if len(names) < rec.Count {
			p.refuse(k)
		}
	}
	// A change that fails is tried again later: the same name gives the same machines.
	key := world.RentalKey(name)
	op := store.Drop(key)
	if rec.Machines = names; len(names) > 0 {
		op = store.Set(key, rec)
	}
	if _, err := p.do(ctx, store.Item{Guards: []wire.Guard{{Key: key, Stamp: stamp}}, Ops: []wire.Op{op}}); err != nil {
		p.log.Debug("rental record stays", "rental", name, "err", err)
	}
	return nil
}

// refuse remembers that the cloud has none of a kind. The pause grows with each refusal in a
// row: where all kinds are refused, as after the loss of a zone, asking each of them every few
// seconds took the calls that the lost machines' deletions waited for.
func (p *Pool) refuse(k kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, old := time.Now(), p.refused[k]
	pause := tuning.RefusedHold
	if now.Sub(old.until) < tuning.RefusedHold {
		pause = min(2*old.pause, tuning.RefusedHoldMax)
	}
	p.refused[k] = refusal{until: now.Add(pause), pause: pause, held: p.counts[k]}
	p.short[k] = now.Add(tuning.ShortHold)
}

// refuses tells whether a kind was refused lately.
func (p *Pool) refuses(k kind, now time.Time) bool { return now.Before(p.refused[k].until) }

// count counts the deployment's machines by kind, and lets those kinds be asked for again of
// which it holds fewer than when they were refused: what it has given back is to be had.
func (p *Pool) count() {
	counts := map[kind]int{}
	p.world.RLock()
	for _, m := range p.world.Machines {
		if !m.Gone {
			counts[kind{m.Type, m.Zone, m.Spot}]++
		}
	}
	p.world.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts = counts
	maps.DeleteFunc(p.refused, func(k kind, r refusal) bool { return counts[k] < r.held })
}

// shrink marks machines that stood idle for the hold, beyond step and minimum.
func (p *Pool) shrink(ctx context.Context, lead wire.Guard, d place.Demand, bins []bin) {
	now := time.Now()
	idle := map[string]bool{}
	for _, n := range d.Idle {
		idle[n] = true
		if _, ok := p.idle[n]; !ok {
			p.idle[n] = now
		}
	}
	for n := range p.idle {
		if !idle[n] {
			delete(p.idle, n)
		}
	}
	names := slices.SortedFunc(maps.Keys(p.idle), func(a, b string) int {
		return cmp.Or(p.idle[a].Compare(p.idle[b]), cmp.Compare(a, b))
	})
	wanted := map[kind]bool{} // whether more of a kind is being rented
	for _, b := range bins {
		wanted[b.kind] = true
	}
	p.world.RLock()
	total := 0
	for _, m := range p.world.Machines {
		if !m.Gone && !m.Drain {
			total++
		}
	}
	var items []store.Item
	step := p.step(now)
	reserve, zones := p.reserve(), map[string]float64{}
	maps.Copy(zones, d.Spare.MachinesByZone)
	left := map[bool]float64{true: d.Spot.Machines - step.spot, false: min(d.Spare.Machines-step.room, float64(d.Spare.UnusedMachines)-step.whole)}
	for _, n := range names {
		m := p.world.Machines[n]
		if total <= p.op.PoolMin {
			break
		}
		if m == nil || !m.Up || m.Drain || wanted[kind{m.Type, m.Zone, m.Spot}] || left[m.Spot] < 1 || !m.Spot && reserve[m.Zone] > 0 && zones[m.Zone]-1 < reserve[m.Zone] || now.Sub(p.idle[n]) < config.Seconds(p.op.PoolHoldS) {
			continue
		}
		if t := p.world.Types[m.Type]; d.Common.CPUs > t.CPUs {
			continue // small tasks on it leave common ones theirs
		}
		rec := m.MachineRecord
		rec.Drain = true
		items = append(items, store.Item{
			Guards: []wire.Guard{lead, {Key: world.MachineKey(n), Stamp: m.Stamp}},
			Ops:    []wire.Op{store.Set(world.MachineKey(n), rec)},
		})
		left[m.Spot]--
		if !m.Spot {
			zones[m.Zone]--
		}
		total--
	}
	p.world.RUnlock()
	p.doAll(ctx, items, "machine not drained")
}

// list compares the cloud's list with the records: machines that stopped, or that are not
// there any more, are deleted, machines that nobody knows are recorded, to be used or returned.
func (p *Pool) list(ctx context.Context, lead wire.Guard) {
	if time.Since(p.listed) < tuning.ListEvery {
		return
	}
	p.listed = time.Now()
	all, err := p.cloud.List(ctx)
	if err != nil {
		p.log.Info("machines not listed", "err", err)
		return
	}
	now := time.Now()
	seen := map[string]bool{}
	var items []store.Item
	p.world.RLock()
	for _, l := range all {
		key := world.MachineKey(l.ID)
		m := p.world.Machines[l.ID]
		switch {
		case m != nil && l.State == wire.MachineFailed && !m.Gone:
			rec := m.MachineRecord
			rec.Gone = true
			p.log.Info("machine failed", "machine", l.ID)
			items = append(items, store.Item{Guards: []wire.Guard{lead, {Key: key, Stamp: m.Stamp}}, Ops: []wire.Op{store.Set(key, rec)}})
		case m == nil:
			seen[l.ID] = true
			if _, ok := p.unknown[l.ID]; !ok {
				p.unknown[l.ID] = now
			}
			// Lists lag: only one that stays unknown is a stray.
			if now.Sub(p.unknown[l.ID]) > config.Seconds(2*p.set.Deployment.Cloud.ListLagS)+tuning.ListEvery {
				p.log.Info("recording an unknown machine", "machine", l.ID)
				rec := world.MachineRecord{Type: l.Type, Zone: l.Zone, Spot: l.Spot, Address: l.Address,
					AtMs: now.Add(-config.Seconds(l.AgeS)).UnixMilli(), Gone: l.State == wire.MachineFailed}
				items = append(items, store.Item{Guards: []wire.Guard{lead, {Key: key, Stamp: 0}}, Ops: []wire.Op{store.Set(key, rec)}})
			}
		}
	}
	items = append(items, p.vanished(lead, all, now)...)
	p.world.RUnlock()
	maps.DeleteFunc(p.unknown, func(n string, _ time.Time) bool { return !seen[n] })
	p.doAll(ctx, items, "machine not recorded")
}

// vanished gives up machines that the cloud has ceased to list: once listed a machine stays
// listed until it is gone. Silence alone can't tell the loss of all machines at once from a cut of
// our own, and gave up none for ever. That they are gone is proved by their deletion, as
// ever. Callers hold the world's lock.
func (p *Pool) vanished(lead wire.Guard, all []wire.Listed, now time.Time) (items []store.Item) {
	listed := make(map[string]bool, len(all))
	for _, l := range all {
		listed[l.ID] = true
	}
	old := config.Seconds(2*p.set.Deployment.Cloud.ListLagS) + tuning.ListMissing*tuning.ListEvery
	for name, m := range p.world.Machines {
		if listed[name] || m.Gone || m.Stamp == 0 || now.Sub(time.UnixMilli(m.AtMs)) < old {
			delete(p.missing, name)
			continue
		}
		if p.missing[name]++; p.missing[name] < tuning.ListMissing {
			continue
		}
		rec, key := m.MachineRecord, world.MachineKey(name)
		rec.Gone = true
		p.log.Info("machine is not listed any more", "machine", name, "tasks", len(m.Bound))
		items = append(items, store.Item{Guards: []wire.Guard{lead, {Key: key, Stamp: m.Stamp}}, Ops: []wire.Op{store.Set(key, rec)}})
	}
	maps.DeleteFunc(p.missing, func(n string, _ int) bool { return p.world.Machines[n] == nil })
	return items
}
