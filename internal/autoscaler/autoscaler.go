package autoscaler

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

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/learner"
	"sableusher/internal/membership"
	"sableusher/internal/scheduler"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Autoscaler is this node's part in keeping the fleet: every node returns the
// machines of its parts, the leader sizes the fleet.
type Autoscaler struct {
	settings  *config.Settings
	operator  *config.Operator
	state     *clusterstate.State
	members   *membership.Member
	scheduler *scheduler.Engine
	cloud     *Client
	committer *kvstore.Committer
	log       *slog.Logger

	mu                sync.Mutex // guards serial, refused, counts and short, as rentals are asked for at once
	rentalSerial      int
	refusals          map[machineKind]refusal   // of kinds that the cloud had none of
	machineCounts     map[machineKind]int       // of the deployment's machines, as of the last look
	insufficientUntil map[machineKind]time.Time // until when a kind is believed to have less than a gang needs
	lastScaleOut      time.Time                 // when machines were last rented
	unavailableZones  []string                  // zones that are cut off: what is rented there could not report
	idleSince         map[string]time.Time
	unknownSince      map[string]time.Time
	missedListings    map[string]int // lists in a row that lacked a machine which has long been listed
	lastListing       time.Time
	arrivals          map[string]arrival

	pendingDecision int64 // the size's decision, to be paid
	decidedAt       time.Time
	chosenFraction  float64
}

// arrival is a job that came lately and the room it takes.
type arrival struct {
	arrivedAt     time.Time
	machines      float64
	spot          bool
	fillsMachines bool // its tasks take most of a machine each
}

// machineKind is what a rental asks for.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// refusal is what is kept of a kind that the cloud had none of, or too few.
type refusal struct {
	until        time.Time // when it may be asked for again
	backoff      time.Duration
	machinesHeld int // machines of the kind that the deployment had before
}

// New makes a pool.
func New(set *config.Settings, op *config.Operator, w *clusterstate.State, m *membership.Member, e *scheduler.Engine, c *Client, commit *kvstore.Committer, log *slog.Logger) *Autoscaler {
	return &Autoscaler{settings: set, operator: op, state: w, members: m, scheduler: e, cloud: c, committer: commit, log: log,
		refusals: map[machineKind]refusal{}, insufficientUntil: map[machineKind]time.Time{}, idleSince: map[string]time.Time{}, unknownSince: map[string]time.Time{}, missedListings: map[string]int{}, arrivals: map[string]arrival{}}
}

// Run keeps the fleet until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runEvery(ctx, tuning.PoolTick, a.returnMachines) })
	g.Go(func() error { return runEvery(ctx, tuning.PoolTick, a.resize) })
	g.Go(func() error { return runEvery(ctx, tuning.PoolTick, a.catalogRefresher()) })
	return g.Wait()
}

func runEvery(ctx context.Context, d time.Duration, f func(context.Context)) error {
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

// catalogRefresher keeps the machine types in the state service, so that a node that
// starts while the cloud is away knows them.
func (a *Autoscaler) catalogRefresher() func(context.Context) {
	var last time.Time
	return func(ctx context.Context) {
		a.state.RLock()
		known, stamp := len(a.state.Types) > 0, a.state.CatalogModRevision
		lead, leads := a.leadership()
		a.state.RUnlock()
		if known && (!leads || time.Since(last) < tuning.CatalogEvery) || !leads && time.Since(last) < 5*time.Second {
			return
		}
		last = time.Now()
		cat, err := a.cloud.Catalog(ctx)
		if err != nil || len(cat.Types) == 0 {
			a.log.Info("catalog not read", "err", err)
			return
		}
		guards := []wire.Condition{{Key: clusterstate.CatalogKey, ModRevision: stamp}}
		if leads {
			guards = append(guards, lead)
		}
		for _, ops := range a.catalogOps(cat) {
			if _, err := a.commit(ctx, kvstore.Transaction{Conditions: guards, Ops: ops}); err != nil {
				a.log.Debug("catalog not written", "err", err)
			}
		}
	}
}

// catalogOps are the changes that record a catalog, by transaction: one record,
// or where that would be too long, one for each type. Once it is kept by type it
// stays so, as those records count first.
func (a *Autoscaler) catalogOps(cat wire.Catalog) [][]wire.Op {
	whole := kvstore.PutOp(clusterstate.CatalogKey, cat)
	a.state.RLock()
	level, byType := a.state.SchemaVersion, a.state.CatalogByType()
	a.state.RUnlock()
	if level < tuning.LevelPipelines || !byType && wire.JSONSize(whole.Value) <= a.committer.MaxRecordBytes() {
		return [][]wire.Op{{whole}}
	}
	var ops []wire.Op
	for _, t := range cat.Types {
		ops = append(ops, kvstore.PutOp(clusterstate.MachineTypeKey(t.Name), t))
	}
	return slices.Collect(slices.Chunk(ops, a.committer.MaxTransactionOps()))
}

func (a *Autoscaler) commit(ctx context.Context, it kvstore.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	return a.committer.Commit(ctx, it)
}

// leadership tells whether this node leads, with the guard of what a leader writes.
// Callers hold the world's lock.
func (a *Autoscaler) leadership() (wire.Condition, bool) {
	ownership, ok := a.members.Ownership(clusterstate.LeaderShard)
	return wire.Condition{Key: clusterstate.ShardKey(clusterstate.LeaderShard), ModRevision: ownership.ModRevision}, ok
}

// returnMachines deletes machines marked for it, of this node's parts. Those whose tasks wait for it
// go at once; the others wait until a call is left over. Of few calls a second the return of
// one idle machine after the other once took all, and a dead machine's replicas waited for
// 3 s in the median.
func (a *Autoscaler) returnMachines(ctx context.Context) {
	names, waited := a.scheduler.MachinesToDelete()
	if len(names) == 0 || !waited && !a.cloud.HasSpareCall() {
		return
	}
	if err := a.cloud.Return(ctx, names); err != nil {
		a.log.Info("machines not returned", "count", len(names), "err", err)
		return
	}
	a.log.Info("machines returned", "machines", names)
	a.scheduler.ConfirmDeleted(names)
}

// plannedMachine is a machine to be rented.
type plannedMachine struct {
	machineKind
	free     clusterstate.Resources
	required bool // for work of high priority, or for the minimum
}

// limitByLearner lets the learner choose how many of the machines that could be rented
// are. The least is what work of high priority and the minimum need, the most
// the booked room and the step; between them a choice holds for a while and is
// then paid by what it led to.
func (a *Autoscaler) limitByLearner(planned []plannedMachine) []plannedMachine {
	l := a.scheduler.Learner()
	if !a.operator.Learn || !l.Warm() {
		return planned
	}
	least := 0
	for i, b := range planned {
		if b.required {
			least = i + 1 // bins stand in order of priority
		}
	}
	if least == len(planned) {
		return planned
	}
	now := time.Now()
	if now.Sub(a.decidedAt) >= config.Seconds(a.operator.PoolHoldS) {
		if a.pendingDecision != 0 {
			l.Pay(a.pendingDecision, a.scheduler.ProvisioningReward())
		}
		a.state.RLock()
		have := len(a.state.Machines)
		a.state.RUnlock()
		s := a.scheduler.ProvisioningState()
		var choices []learner.Choice
		best := 0
		for i, f := range tuning.SizeFractions {
			size := float64(have+least) + f*float64(len(planned)-least)
			choices = append(choices, l.Score(&s, &learner.Action{Size: true, Fraction: f, Machines: size}))
			if choices[i].Value >= choices[best].Value {
				best = i
			}
		}
		if i, ok := l.Explore(len(choices)); ok {
			best = i
		}
		a.pendingDecision, a.decidedAt, a.chosenFraction = l.Take(choices[best]), now, tuning.SizeFractions[best]
		a.log.Debug("size chosen", "machines", have, "least", least, "most", len(planned), "fraction", a.chosenFraction, "value", choices[best].Value)
	}
	keep := least + int(math.Ceil(a.chosenFraction*float64(len(planned)-least)))
	return planned[:keep]
}

// resize is one look of the leader at the fleet's size.
func (a *Autoscaler) resize(ctx context.Context) {
	if a.operator.OwnedFleet {
		return
	}
	a.state.RLock()
	leader, isLeader := a.leadership()
	a.state.RUnlock()
	a.cloud.SetLeader(isLeader)
	if !isLeader {
		clear(a.idleSince)
		return
	}
	a.countMachines()
	a.reconcileListing(ctx, leader)
	if a.resumeRentals(ctx, leader) {
		return
	}
	demand := a.scheduler.Demand()
	a.unavailableZones = a.scheduler.PartitionedZones()
	if time.Since(demand.ComputedAt) > tuning.DemandStale || demand.ComputedAt.Before(a.lastScaleOut) {
		return // what was rented since is not counted in it
	}
	planned := a.limitByLearner(a.planScaleOut(demand))
	if len(planned) > 0 {
		a.rentAll(ctx, leader, planned)
		a.lastScaleOut = time.Now()
	}
	a.scaleIn(ctx, leader, demand, planned)
}

// planScaleOut packs what found no room into machines to be rented, and adds the step
// and the minimum.
func (a *Autoscaler) planScaleOut(demand scheduler.UnmetDemand) []plannedMachine {
	a.state.RLock()
	defer a.state.RUnlock()
	machinesInZone := map[string]int{}
	total := 0
	for _, m := range a.state.Machines {
		if !m.Deleting {
			machinesInZone[m.Zone]++
			total++
		}
	}
	now := time.Now()
	var out []plannedMachine
	rank := wire.PriorityCount
	late := false // the work at hand has waited so long that its room is no choice any more
	openMachine := func(s *wire.JobSpec, zone string, allowed func(machineKind) bool) *plannedMachine {
		k, ok := a.cheapestKind(s, zone, machinesInZone, now, allowed)
		if !ok {
			return nil
		}
		t := a.state.Types[k.machineType]
		out = append(out, plannedMachine{k, clusterstate.Capacity(&t), rank <= wire.PriorityHigh.Rank() || late})
		machinesInZone[k.zone]++
		return &out[len(out)-1]
	}
	for _, g := range demand.Groups {
		s, need := g.Spec, clusterstate.TaskResources(g.Spec)
		late, rank = now.Sub(g.SubmittedAt) > tuning.StarveAfter, g.Rank
		zone, count := s.Zone, g.Count
		perZone := map[string]int{}
		allowed := func(k machineKind) bool { return !s.Spread || perZone[k.zone] < (count+1)/2 }
		if zone == "" && s.SameZone {
			if zone, count = a.chooseGangZone(g, machinesInZone, now); count == 0 {
				continue
			}
		}
		at := 0 // the tasks of a group are alike: what does not fit one fits none of them
		for range count {
			var b *plannedMachine
			for ; at < len(out); at++ {
				if o := &out[at]; need.FitsIn(o.free) && (zone == "" || o.zone == zone) && (s.AllowSpot || !o.spot) &&
					(len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, o.machineType)) && allowed(o.machineKind) {
					b = o
					break
				}
			}
			if b == nil {
				b = openMachine(s, zone, allowed)
			}
			if b == nil {
				break
			}
			b.free = b.free.AddTimes(need, -1)
			perZone[b.zone]++
			if s.SameZone {
				zone = b.zone
			}
		}
	}
	late, rank = false, wire.PriorityCount
	step := a.headroomTarget(now)
	short := a.operator.PoolMin - total - len(out)
	spare := max(short, int(math.Ceil(step.onDemand-demand.SpareOnDemand.Machines-0.5)), int(math.Ceil(step.unusedMachines-float64(demand.SpareOnDemand.UnusedMachines)-0.5)))
	for i := range spare {
		b := openMachine(&wire.JobSpec{}, "", anyKind)
		if b == nil {
			break
		}
		b.required = i < short
	}
	reserve := a.zoneReserve()
	for _, z := range slices.Sorted(maps.Keys(reserve)) {
		for range int(math.Ceil(reserve[z] - demand.SpareOnDemand.MachinesByZone[z])) {
			if openMachine(&wire.JobSpec{}, z, anyKind) == nil {
				break
			}
		}
	}
	for range int(math.Ceil(step.spot - demand.SpareSpot.Machines - 0.5)) {
		if openMachine(&wire.JobSpec{AllowSpot: true}, "", anyKind) == nil {
			break
		}
	}
	return out
}

func anyKind(machineKind) bool { return true }

// chooseGangZone chooses the zone in which room for a gang that must be together is rented, and
// for how many of its tasks: the rest where some of its room is; all of it elsewhere
// while that zone refuses, if another is not known to have less than the whole. It is
// none if every zone is short: asking one after the other would get a machine here and
// one there, return each as idle, and never make up a gang.
func (a *Autoscaler) chooseGangZone(group scheduler.UnplacedGroup, machinesInZone map[string]int, now time.Time) (zone string, count int) {
	ample := func(k machineKind) bool { return !now.Before(a.insufficientUntil[k]) }
	s := group.Spec
	if group.Zone != "" {
		if _, ok := a.cheapestKind(s, group.Zone, machinesInZone, now, anyKind); ok {
			return group.Zone, group.Count
		}
	}
	if k, ok := a.cheapestKind(s, "", machinesInZone, now, ample); ok {
		if first, _ := a.cheapestKind(s, "", machinesInZone, now, anyKind); first == k {
			return "", s.TaskCount // as for any job, so that machines rented for others are shared
		}
		return k.zone, s.TaskCount
	}
	if group.Zone != "" && !slices.Contains(a.unavailableZones, group.Zone) {
		return "", 0 // more is asked for there once it may be
	}
	return "", group.Count
}

// headroom is the room to keep above what is booked, in machines.
type headroom struct {
	onDemand       float64 // of ordinary machines
	unusedMachines float64 // of these in machines that nothing uses
	spot           float64 // of spot machines
}

// headroomTarget is what arrives in one boot time more than usually: its standard
// deviation, seen over a window of past arrivals. Work that may use spot
// machines, work that may not, and tasks that take a machine each are counted
// apart, as none can use the room kept for another. Callers hold the world's lock.
func (a *Autoscaler) headroomTarget(now time.Time) headroom {
	for id, j := range a.state.Jobs {
		if _, ok := a.arrivals[id]; ok || !j.HasRecord || j.HasUnmetDependencies() {
			continue
		}
		at := j.ReadySince()
		if now.Sub(at) > tuning.ArrivalWindow {
			continue
		}
		if a.fitsBesideGPUWork(&j.Spec) {
			continue
		}
		room := a.machineEquivalents(&j.Spec)
		a.arrivals[id] = arrival{at, room, j.Spec.AllowSpot, room > tuning.WholeShare*float64(j.Spec.TaskCount)}
	}
	var room, whole, spot float64
	for id, recent := range a.arrivals {
		square := recent.machines * recent.machines
		switch {
		case now.Sub(recent.arrivedAt) > tuning.ArrivalWindow:
			delete(a.arrivals, id)
		case recent.spot:
			spot += square
		default:
			room += square
			if recent.fillsMachines {
				whole += square
			}
		}
	}
	boot := 0.0
	for _, t := range a.state.Types {
		boot = max(boot, t.BootSeconds)
	}
	deviation := func(square float64) float64 {
		return tuning.StepDeviations * math.Sqrt(square*boot/tuning.ArrivalWindow.Seconds())
	}
	return headroom{max(float64(a.operator.PoolStep), deviation(room)), deviation(whole), deviation(spot)}
}

// zoneReserve is the room to keep in each zone for the loss of another, in machines: so that what
// the zone with most services holds of them, times the set share, has room in the others
// together. While a zone is out it is there to be used. Callers hold the world's lock.
func (a *Autoscaler) zoneReserve() map[string]float64 {
	out := map[string]float64{}
	if a.operator.ZoneReserve == 0 || len(a.unavailableZones) > 0 {
		return out
	}
	held, most := map[string]float64{}, 0.0
	for _, m := range a.state.Machines {
		for _, b := range m.Bindings {
			if s := &b.Job.Spec; s.Kind == wire.KindService && s.Zone == "" {
				held[m.Zone] += a.machineEquivalents(s) / float64(s.TaskCount)
				most = max(most, held[m.Zone])
			}
		}
	}
	for _, t := range a.state.Types {
		for _, z := range t.Zones {
			out[z] = most * a.operator.ZoneReserve
		}
	}
	for z := range out {
		out[z] /= float64(max(len(out)-1, 1))
	}
	return out
}

// fitsBesideGPUWork tells whether a job takes no GPU though machines have them: it finds
// its room beside other work as a rule, and no machine is kept for it.
func (a *Autoscaler) fitsBesideGPUWork(spec *wire.JobSpec) bool {
	for _, t := range a.state.Types {
		if t.GPUs == 0 {
			return false
		}
	}
	return spec.GPUs == 0
}

// machineEquivalents is what a job takes, in machines of the largest type.
func (a *Autoscaler) machineEquivalents(spec *wire.JobSpec) float64 {
	best := math.Inf(1)
	for _, t := range a.state.Types {
		r := 0.0
		for _, d := range [][2]float64{{spec.CPUs, t.CPUs}, {spec.GPUs, t.GPUs}, {spec.MemoryGB, t.MemoryGB}} {
			if d[1] > 0 {
				r = max(r, d[0]/d[1])
			}
		}
		best = min(best, r)
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best * float64(spec.TaskCount)
}

// cheapestKind picks the cheapest kind for a task, in the allowed zone with the
// fewest machines, leaving out what was refused lately and zones that are cut off.
func (a *Autoscaler) cheapestKind(spec *wire.JobSpec, zone string, machinesInZone map[string]int, now time.Time, allowed func(machineKind) bool) (machineKind, bool) {
	need := clusterstate.TaskResources(spec)
	var cheapest machineKind
	lowestPrice, found := 0.0, false
	for _, name := range slices.Sorted(maps.Keys(a.state.Types)) {
		t := a.state.Types[name]
		if len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, name) || !need.FitsIn(clusterstate.Capacity(&t)) {
			continue
		}
		for _, z := range t.Zones {
			if zone != "" && z != zone || slices.Contains(a.unavailableZones, z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				k := machineKind{name, z, spot}
				if spot && !spec.AllowSpot || a.isRefused(k, now) || !allowed(k) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if !found || price < lowestPrice || price == lowestPrice && machinesInZone[z] < machinesInZone[cheapest.zone] {
					cheapest, lowestPrice, found = k, price, true
				}
			}
		}
	}
	return cheapest, found
}

// rentAll rents the machines, most needed kinds first, several requests at once.
func (a *Autoscaler) rentAll(ctx context.Context, leader wire.Condition, planned []plannedMachine) {
	count := map[machineKind]int{}
	var kinds []machineKind // in the order of need
	for _, b := range planned {
		if count[b.machineKind] == 0 {
			kinds = append(kinds, b.machineKind)
		}
		count[b.machineKind]++
	}
	var g errgroup.Group
	g.SetLimit(tuning.RentLanes)
	for _, k := range kinds {
		most := a.maxMachinesPerRental()
		for n := count[k]; n > 0; n -= most {
			g.Go(func() error {
				a.rent(ctx, leader, k, min(n, most))
				return nil
			})
		}
	}
	_ = g.Wait()
}

// maxMachinesPerRental is how many machines one request may ask for: their names go into the
// rental's record.
func (a *Autoscaler) maxMachinesPerRental() int {
	a.state.RLock()
	defer a.state.RUnlock()
	longest := max(tuning.NameBytes, a.state.LongestMachineName())
	return max(1, min(tuning.RentMax, (a.committer.MaxRecordBytes()-tuning.RentalBytes)/(longest+len(`"",`))))
}

// rent writes a request's name, asks the cloud, and records the machines.
func (a *Autoscaler) rent(ctx context.Context, leader wire.Condition, kind machineKind, count int) {
	a.mu.Lock()
	refused := a.isRefused(kind, time.Now())
	a.rentalSerial++
	name := fmt.Sprintf("r-%s-%x-%d", a.members.NodeName, a.members.Incarnation, a.rentalSerial)
	a.mu.Unlock()
	if refused {
		return // meanwhile
	}
	rec := clusterstate.RentalRecord{Type: kind.machineType, Zone: kind.zone, Spot: kind.spot, Count: count, RequestedAtMs: time.Now().UnixMilli()}
	key := clusterstate.RentalKey(name)
	rev, err := a.commit(ctx, kvstore.Transaction{
		Conditions: []wire.Condition{{Key: key, ModRevision: 0}, leader}, Ops: []wire.Op{kvstore.PutOp(key, rec)},
	})
	if err != nil {
		a.log.Info("rental not recorded", "err", err)
		return
	}
	_ = a.requestMachines(ctx, name, rec, rev)
}

// resumeRentals asks again for rentals whose answer is not known, and drops those whose
// machines all have records of their own.
func (a *Autoscaler) resumeRentals(ctx context.Context, leader wire.Condition) bool {
	a.state.RLock()
	open := map[string]clusterstate.Rental{}
	var done []kvstore.Transaction
	for name, r := range a.state.Rentals {
		if len(r.Machines) == 0 {
			open[name] = r
			continue
		}
		if !slices.ContainsFunc(r.Machines, func(n string) bool { m := a.state.Machines[n]; return m != nil && m.ModRevision == 0 }) {
			key := clusterstate.RentalKey(name)
			done = append(done, kvstore.Transaction{Conditions: []wire.Condition{leader, {Key: key, ModRevision: r.ModRevision}}, Ops: []wire.Op{kvstore.DeleteOp(key)}})
		}
	}
	a.state.RUnlock()
	a.commitAll(ctx, done, "rental record stays")
	for _, name := range slices.Sorted(maps.Keys(open)) {
		if a.requestMachines(ctx, name, open[name].RentalRecord, open[name].ModRevision) != nil {
			break // the cloud is away: the others wait as well
		}
	}
	return len(open) > 0
}

// commitAll makes changes that don't depend on each other, in few transactions.
func (a *Autoscaler) commitAll(ctx context.Context, items []kvstore.Transaction, failed string) {
	var wg sync.WaitGroup
	for _, it := range items {
		wg.Go(func() {
			if _, err := a.commit(ctx, it); err != nil {
				a.log.Debug(failed, "err", err)
			}
		})
	}
	wg.Wait()
}

func (a *Autoscaler) requestMachines(ctx context.Context, name string, rec clusterstate.RentalRecord, stamp uint64) error {
	k := machineKind{rec.Type, rec.Zone, rec.Spot}
	names, err := a.cloud.Rent(ctx, wire.RentalRequest{Name: name, MachineType: rec.Type, Zone: rec.Zone, Spot: rec.Spot, Count: rec.Count})
	switch {
	case errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrMalformedRequest):
		a.log.Info("rental refused", "type", k.machineType, "zone", k.zone, "spot", k.spot, "count", rec.Count, "err", err)
		a.recordRefusal(k)
	case err != nil:
		a.log.Info("rental not answered", "rental", name, "err", err)
		return err
	default:
		a.log.Info("machines rented", "type", k.machineType, "zone", k.zone, "spot", k.spot, "asked", rec.Count, "got", names)
		if len(names) < rec.Count {
			a.recordRefusal(k)
		}
	}
	// A change that fails is tried again later: the same name gives the same machines.
	key := clusterstate.RentalKey(name)
	op := kvstore.DeleteOp(key)
	if rec.Machines = names; len(names) > 0 {
		op = kvstore.PutOp(key, rec)
	}
	if _, err := a.commit(ctx, kvstore.Transaction{Conditions: []wire.Condition{{Key: key, ModRevision: stamp}}, Ops: []wire.Op{op}}); err != nil {
		a.log.Debug("rental record stays", "rental", name, "err", err)
	}
	return nil
}

// recordRefusal remembers that the cloud has none of a kind. The pause grows with each refusal in a
// row: where all kinds are refused, as after the loss of a zone, asking each of them every few
// seconds took the calls that the lost machines' deletions waited for.
func (a *Autoscaler) recordRefusal(kind machineKind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, old := time.Now(), a.refusals[kind]
	pause := tuning.RefusedHold
	if now.Sub(old.until) < tuning.RefusedHold {
		pause = min(2*old.backoff, tuning.RefusedHoldMax)
	}
	a.refusals[kind] = refusal{until: now.Add(pause), backoff: pause, machinesHeld: a.machineCounts[kind]}
	a.insufficientUntil[kind] = now.Add(tuning.ShortHold)
}

// isRefused tells whether a kind was refused lately.
func (a *Autoscaler) isRefused(kind machineKind, now time.Time) bool {
	return now.Before(a.refusals[kind].until)
}

// countMachines counts the deployment's machines by kind, and lets those kinds be asked for again of
// which it holds fewer than when they were refused: what it has given back is to be had.
func (a *Autoscaler) countMachines() {
	machineCounts := map[machineKind]int{}
	a.state.RLock()
	for _, m := range a.state.Machines {
		if !m.Deleting {
			machineCounts[machineKind{m.Type, m.Zone, m.Spot}]++
		}
	}
	a.state.RUnlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machineCounts = machineCounts
	maps.DeleteFunc(a.refusals, func(k machineKind, r refusal) bool { return machineCounts[k] < r.machinesHeld })
}

// scaleIn marks machines that stood idle for the hold, beyond step and minimum.
func (a *Autoscaler) scaleIn(ctx context.Context, leader wire.Condition, demand scheduler.UnmetDemand, planned []plannedMachine) {
	now := time.Now()
	idle := map[string]bool{}
	for _, n := range demand.IdleMachines {
		idle[n] = true
		if _, ok := a.idleSince[n]; !ok {
			a.idleSince[n] = now
		}
	}
	for n := range a.idleSince {
		if !idle[n] {
			delete(a.idleSince, n)
		}
	}
	names := slices.SortedFunc(maps.Keys(a.idleSince), func(first, second string) int {
		return cmp.Or(a.idleSince[first].Compare(a.idleSince[second]), cmp.Compare(first, second))
	})
	wanted := map[machineKind]bool{} // whether more of a kind is being rented
	for _, second := range planned {
		wanted[second.machineKind] = true
	}
	a.state.RLock()
	total := 0
	for _, m := range a.state.Machines {
		if !m.Deleting && !m.Draining {
			total++
		}
	}
	var items []kvstore.Transaction
	step := a.headroomTarget(now)
	reserve, zones := a.zoneReserve(), map[string]float64{}
	maps.Copy(zones, demand.SpareOnDemand.MachinesByZone)
	left := map[bool]float64{true: demand.SpareSpot.Machines - step.spot, false: min(demand.SpareOnDemand.Machines-step.onDemand, float64(demand.SpareOnDemand.UnusedMachines)-step.unusedMachines)}
	for _, n := range names {
		m := a.state.Machines[n]
		if total <= a.operator.PoolMin {
			break
		}
		if m == nil || !m.Up || m.Draining || wanted[machineKind{m.Type, m.Zone, m.Spot}] || left[m.Spot] < 1 || !m.Spot && reserve[m.Zone] > 0 && zones[m.Zone]-1 < reserve[m.Zone] || now.Sub(a.idleSince[n]) < config.Seconds(a.operator.PoolHoldS) {
			continue
		}
		if t := a.state.Types[m.Type]; demand.CommonTask.CPUs > t.CPUs {
			continue // small tasks on it leave common ones theirs
		}
		rec := m.MachineRecord
		rec.Draining = true
		items = append(items, kvstore.Transaction{
			Conditions: []wire.Condition{leader, {Key: clusterstate.MachineKey(n), ModRevision: m.ModRevision}},
			Ops:        []wire.Op{kvstore.PutOp(clusterstate.MachineKey(n), rec)},
		})
		left[m.Spot]--
		if !m.Spot {
			zones[m.Zone]--
		}
		total--
	}
	a.state.RUnlock()
	a.commitAll(ctx, items, "machine not drained")
}

// reconcileListing compares the cloud's list with the records: machines that stopped, or that are not
// there any more, are deleted, machines that nobody knows are recorded, to be used or returned.
func (a *Autoscaler) reconcileListing(ctx context.Context, leader wire.Condition) {
	if time.Since(a.lastListing) < tuning.ListEvery {
		return
	}
	a.lastListing = time.Now()
	listing, err := a.cloud.List(ctx)
	if err != nil {
		a.log.Info("machines not listed", "err", err)
		return
	}
	now := time.Now()
	seen := map[string]bool{}
	var items []kvstore.Transaction
	a.state.RLock()
	for _, l := range listing {
		key := clusterstate.MachineKey(l.ID)
		m := a.state.Machines[l.ID]
		switch {
		case m != nil && l.State == wire.MachineFailed && !m.Deleting:
			rec := m.MachineRecord
			rec.Deleting = true
			a.log.Info("machine failed", "machine", l.ID)
			items = append(items, kvstore.Transaction{Conditions: []wire.Condition{leader, {Key: key, ModRevision: m.ModRevision}}, Ops: []wire.Op{kvstore.PutOp(key, rec)}})
		case m == nil:
			seen[l.ID] = true
			if _, ok := a.unknownSince[l.ID]; !ok {
				a.unknownSince[l.ID] = now
			}
			// Lists lag: only one that stays unknown is a stray.
			if now.Sub(a.unknownSince[l.ID]) > config.Seconds(2*a.settings.Deployment.Cloud.ListLagS)+tuning.ListEvery {
				a.log.Info("recording an unknown machine", "machine", l.ID)
				rec := clusterstate.MachineRecord{Type: l.MachineType, Zone: l.Zone, Spot: l.Spot, Address: l.Address,
					CreatedAtMs: now.Add(-config.Seconds(l.AgeSeconds)).UnixMilli(), Deleting: l.State == wire.MachineFailed}
				items = append(items, kvstore.Transaction{Conditions: []wire.Condition{leader, {Key: key, ModRevision: 0}}, Ops: []wire.Op{kvstore.PutOp(key, rec)}})
			}
		}
	}
	items = append(items, a.deleteUnlisted(leader, listing, now)...)
	a.state.RUnlock()
	maps.DeleteFunc(a.unknownSince, func(n string, _ time.Time) bool { return !seen[n] })
	a.commitAll(ctx, items, "machine not recorded")
}

// deleteUnlisted gives up machines that the cloud has ceased to list: once listed a machine stays
// listed until it is gone. Silence alone can't tell the loss of all machines at once from a cut of
// our own, and gave up none for ever. That they are gone is proved by their deletion, as
// ever. Callers hold the world's lock.
func (a *Autoscaler) deleteUnlisted(leader wire.Condition, listing []wire.CloudMachine, now time.Time) (items []kvstore.Transaction) {
	listed := make(map[string]bool, len(listing))
	for _, l := range listing {
		listed[l.ID] = true
	}
	listedBefore := config.Seconds(2*a.settings.Deployment.Cloud.ListLagS) + tuning.ListMissing*tuning.ListEvery
	for name, m := range a.state.Machines {
		if listed[name] || m.Deleting || m.ModRevision == 0 || now.Sub(time.UnixMilli(m.CreatedAtMs)) < listedBefore {
			delete(a.missedListings, name)
			continue
		}
		if a.missedListings[name]++; a.missedListings[name] < tuning.ListMissing {
			continue
		}
		rec, key := m.MachineRecord, clusterstate.MachineKey(name)
		rec.Deleting = true
		a.log.Info("machine is not listed any more", "machine", name, "tasks", len(m.Bindings))
		items = append(items, kvstore.Transaction{Conditions: []wire.Condition{leader, {Key: key, ModRevision: m.ModRevision}}, Ops: []wire.Op{kvstore.PutOp(key, rec)}})
	}
	maps.DeleteFunc(a.missedListings, func(n string, _ int) bool { return a.state.Machines[n] == nil })
	return items
}
