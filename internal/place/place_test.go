package place

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/fleet"
	"sableusher/internal/member"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

const testParts = 5

var (
	testZones = []string{"east", "west", "north"}
	testType  = wire.MachineType{Name: "m", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 50, BootS: 30, Zones: testZones}
	testNow   = time.Now()
)

// field is a view of a region that several nodes share, each with an engine.
type field struct {
	world   *world.World
	engines []*Engine
	fleets  []*fleet.Registry
	rev     uint64
}

func newField(tb testing.TB) *field {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := &field{world: world.New(testParts, log)}
	op, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	var nodes []string
	for i := range testParts {
		nodes = append(nodes, fmt.Sprintf("node-%d", i))
	}
	f.put("s/catalog", wire.Catalog{Types: []wire.MachineType{testType}})
	for i, n := range nodes {
		f.world.Nodes[n] = world.Node{NodeRecord: world.NodeRecord{Inc: 1}}
		f.world.Parts[i] = world.Part{PartRecord: world.PartRecord{Owner: n, Inc: 1, Token: 7}}
	}
	f.world.Parts[world.Leader] = world.Part{PartRecord: world.PartRecord{Owner: nodes[0], Inc: 1, Token: 7}}
	for _, n := range nodes {
		set := &config.Settings{Node: n}
		d := &set.Deployment
		d.Size = testParts
		d.Teams = []config.Team{{Name: "t"}}
		d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 8, 45, 65
		d.State.TxnOps = 32
		client := store.NewClient("127.0.0.1:1", store.Limits{RPS: 1, WriteRPS: 1, ValueKB: 16, TxnOps: 32}, nil)
		commit := store.NewCommitter(client, func([]wire.Op, uint64) {})
		cache := store.NewCache(client, world.Root, f.world, log)
		m := member.New(n, 1, nodes, tuning.Level, client, commit, cache, f.world, log)
		fl := fleet.New(set, f.world, m, func() time.Time { return testNow }, log, nil)
		f.fleets = append(f.fleets, fl)
		e := New(set, op, f.world, m, fl, commit, client, nil, log)
		e.ctx = context.Background()
		f.engines = append(f.engines, e)
	}
	return f
}

func (f *field) put(key string, v any) {
	f.rev++
	f.world.Begin()
	f.world.Put(key, wire.MustEncode(v), f.rev)
	f.world.Flush()
}

// machine adds a machine that is up and has reported to its part's owner.
func (f *field) machine(i int, spot bool) string {
	name := fmt.Sprintf("vm-%06d", i)
	rec := world.MachineRecord{Type: "m", Zone: testZones[i%len(testZones)], Spot: spot, Address: "10.1.0.1:9000", AtMs: 1, Up: true}
	f.put(world.MachineKey(name), rec)
	f.fleets[world.PartOf(name, testParts)].HandleHeartbeat(&wire.Report{Machine: name, Address: rec.Address, Type: "m", Zone: rec.Zone, Spot: spot, Session: 1, Seq: 1, Token: 7})
	return name
}

func (f *field) job(s wire.Spec, tasks ...world.Task) {
	s.Team, s.Class = "t", "c"
	f.put(world.JobKey(s.ID), world.JobRecord{Spec: s, AtMs: testNow.UnixMilli(), Tasks: tasks})
}

// round plays one node's placement and gives what it bound.
func (f *field) round(i int) (*round, []bind) {
	f.world.RLock()
	defer f.world.RUnlock()
	r := f.engines[i].newRound(testNow)
	r.place()
	r.flush()
	var out []bind
	for _, c := range r.out {
		out = append(out, c.binds...)
	}
	return r, out
}

func array(id, tasks int) wire.Spec {
	return wire.Spec{ID: fmt.Sprintf("run-%d", id), Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 6, GPUs: 1, MemoryGB: 48, Spot: true, Image: "i"}
}

func gang(id, tasks int) wire.Spec {
	return wire.Spec{ID: fmt.Sprintf("run-%d", id), Kind: wire.KindGang, Priority: wire.PriorityHigh, Tasks: tasks, CPUs: 28, GPUs: 4, MemoryGB: 200, OneZone: true, Image: "g"}
}

// TestLongQueueBehindFullFleet: hundreds of jobs of different shapes behind a
// fleet without room must not each be held against each machine.
func TestLongQueueBehindFullFleet(t *testing.T) {
	f := newField(t)
	const machines, jobs = 1500, 500
	var tasks []world.Task
	for i := range machines {
		name := f.machine(i, false)
		tasks = append(tasks, world.Task{Index: i % 100, State: world.Bound, Attempt: 1, Machine: name, Session: 1})
		if len(tasks) == 100 {
			s := gang(100000+i, 100)
			s.OneZone = false
			f.job(s, tasks...)
			tasks = nil
		}
	}
	for i := range jobs {
		s := array(i, 40)
		s.CPUs += float64(i%7) / 10
		f.job(s)
	}
	r, bound := f.round(0)
	if len(bound) != 0 {
		t.Fatalf("%d tasks bound without room", len(bound))
	}
	if r.stock.Looks() > 2*machines {
		t.Errorf("%d machines examined for %d jobs on %d machines", r.stock.Looks(), jobs, machines)
	}
	if n := len(r.demand.Groups); n != jobs {
		t.Errorf("demand names %d of %d jobs", n, jobs)
	}
}

// TestJobIsDealtToOnePart: with room everywhere, one node binds all of an
// array's tasks, in its own part and in one change; the others leave it alone.
// Several writers of one record fail each other's guards and use up the state
// service's budget.
func TestJobIsDealtToOnePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newField(nil)
		for i := range rapid.IntRange(60, 120).Draw(t, "machines") {
			f.machine(i, i%2 == 0)
		}
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		f.job(array(rapid.IntRange(1, 1000).Draw(t, "id"), n))
		writers, total := 0, 0
		for i := range testParts {
			r, bound := f.round(i)
			if len(bound) > 0 {
				writers++
				if len(r.out) != 1 {
					t.Errorf("%d changes", len(r.out))
				}
			}
			for _, b := range bound {
				if world.PartOf(b.machine, testParts) != i {
					t.Errorf("node %d binds %s", i, b.machine)
				}
			}
			total += len(bound)
		}
		if writers != 1 || total != n {
			t.Errorf("%d nodes bound %d of %d tasks", writers, total, n)
		}
	})
}

// TestGangIsPlacedWhole: one node binds all tasks of a gang in one change, in
// one zone, on machines with room for them, guarded by every part concerned; or
// none binds any.
func TestGangIsPlacedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newField(nil)
		free := map[string]int{}
		zone := map[string]string{}
		for i := range rapid.IntRange(1, 90).Draw(t, "machines") {
			name := f.machine(i, false)
			zone[name] = testZones[i%len(testZones)]
			if rapid.IntRange(0, 2).Draw(t, "used") == 0 {
				s := array(5000+i, 1)
				f.job(s, world.Task{State: world.Bound, Attempt: 1, Machine: name, Session: 1})
			} else {
				free[zone[name]]++
			}
		}
		n := rapid.SampledFrom([]int{1, 2, 4, 8, 16, 32}).Draw(t, "tasks")
		f.job(gang(1, n))
		fits := false
		for _, c := range free {
			fits = fits || c >= n
		}
		total := 0
		for i := range testParts {
			r, bound := f.round(i)
			if len(bound) == 0 {
				continue
			}
			total += len(bound)
			seen := map[string]bool{}
			guards := map[string]bool{}
			for _, g := range r.out[0].item.Guards {
				guards[g.Key] = true
			}
			for _, b := range bound {
				if seen[b.machine] || zone[b.machine] != zone[bound[0].machine] {
					t.Errorf("%s twice or in another zone", b.machine)
				}
				seen[b.machine] = true
				if !guards[world.PartKey(world.PartOf(b.machine, testParts))] || !guards[world.PartKey(b.part)] {
					t.Errorf("no guard for the parts of %v: %v", b, guards)
				}
				if b.part != i {
					t.Errorf("node %d charges part %d", i, b.part)
				}
			}
		}
		if want := map[bool]int{true: n}[fits]; total != want {
			t.Errorf("%d tasks bound, want %d", total, want)
		}
	})
}

// TestSettledMachinesAreLeftAlone: a round looks only at machines of which
// something new is known.
func TestSettledMachinesAreLeftAlone(t *testing.T) {
	f := newField(t)
	for i := range 50 {
		f.machine(i, false)
	}
	e := f.engines[0]
	e.look = e.news.Machines()
	f.world.RLock()
	r := e.newRound(testNow)
	r.settle()
	f.world.RUnlock()
	if len(e.look) != 0 || len(r.out) != 0 {
		t.Errorf("%d machines are still looked at, %d changes", len(e.look), len(r.out))
	}
}

// TestNewOwnerSparesRunningMachines: whether a machine came up may not stand in
// its record yet when its part changes owner; the new owner must give its worker
// time to report before it deletes what "never came up". It once deleted
// hundreds of running machines after two controllers had ended.
func TestNewOwnerSparesRunningMachines(t *testing.T) {
	f := newField(t)
	for i := range 40 {
		f.put(world.MachineKey(fmt.Sprintf("vm-%06d", i)), world.MachineRecord{Type: "m", Zone: "east", AtMs: 1})
	}
	for _, owned := range []time.Duration{time.Second, time.Hour} {
		deleted := 0
		for _, e := range f.engines {
			f.world.RLock()
			r := e.newRound(testNow)
			for p := range r.tokens {
				e.owned[p] = testNow.Add(-owned)
			}
			r.machinesDue()
			f.world.RUnlock()
			deleted += len(r.out)
		}
		if want := map[time.Duration]int{time.Hour: 40}[owned]; deleted != want {
			t.Errorf("owned for %v: %d machines deleted, want %d", owned, deleted, want)
		}
	}
}

// BenchmarkRound is one round of a large region with some room and a queue.
func BenchmarkRound(b *testing.B) {
	f := newField(b)
	for i := range 1500 {
		name := f.machine(i, i%2 == 0)
		if i%5 != 0 {
			s := gang(100000+i, 1)
			f.job(s, world.Task{State: world.Bound, Attempt: 1, Machine: name, Session: 1})
		}
	}
	for i := range 200 {
		f.job(array(i, 40))
	}
	b.ReportAllocs()
	for b.Loop() {
		f.round(0)
	}
}

// TestDeletedMachineIsNotAdopted: a report that a cut has held back and delivers after
// its machine was deleted must not make a record of it. Some seventy such machines once
// counted as room, and tasks were bound to them.
func TestDeletedMachineIsNotAdopted(t *testing.T) {
	f := newField(t)
	deleted, unknown := "vm-000001", "vm-000002"
	for _, name := range []string{deleted, unknown} {
		i := world.PartOf(name, testParts)
		f.engines[i].Gone([]string{deleted})
		f.fleets[i].HandleHeartbeat(&wire.Report{Machine: name, Address: "10.1.0.1:9000", Type: "m", Zone: "east", Session: 1, Seq: 1, Token: 7})
		f.world.RLock()
		r := f.engines[i].newRound(testNow)
		r.adopt()
		f.world.RUnlock()
		if got, want := len(r.out), map[string]int{deleted: 0, unknown: 1}[name]; got != want {
			t.Errorf("%s: %d records written, want %d", name, got, want)
		}
	}
}

// TestNewSessionIsRecordedFirst: other nodes bind gangs and services to the session on
// record. A worker's new one goes before all else; that a machine is up can wait. Else
// binding and ending such tasks, which are urgent, would leave no budget for the
// records that would end it.
func TestNewSessionIsRecordedFirst(t *testing.T) {
	f := newField(t)
	name := f.machine(1, false)
	i := world.PartOf(name, testParts)
	beat := func(session uint64, up bool) store.Item {
		f.put(world.MachineKey(name), world.MachineRecord{Type: "m", Zone: "east", Address: "10.1.0.1:9000", AtMs: 1, Up: up})
		f.engines[i].fleet.TakeAdoptions()
		f.fleets[i].HandleHeartbeat(&wire.Report{Machine: name, Address: "10.1.0.1:9000", Type: "m", Zone: "east", Session: session, Seq: 2, Token: 7})
		f.world.RLock()
		defer f.world.RUnlock()
		r := f.engines[i].newRound(testNow)
		if r.adopt(); len(r.out) != 1 {
			t.Fatalf("%d records written", len(r.out))
		}
		return r.out[0].item
	}
	if it := beat(1, false); it.Urgent || !it.Lazy {
		t.Errorf("up: %+v", it)
	}
	if it := beat(2, true); !it.Urgent || it.Lazy {
		t.Errorf("a new session: %+v", it)
	}
}

// TestGangIsDoneWithOneOfItsTasks: where one task's worker has lost its session after the
// gang had completed, the other's report tells it of both. The job once waited for ever.
func TestGangIsDoneWithOneOfItsTasks(t *testing.T) {
	f := newField(t)
	f.job(gang(1, 2), world.Task{Index: 0, State: world.Done, Attempt: 1}, world.Task{Index: 1, Attempt: 1})
	ended := 0
	for i := range testParts {
		f.world.RLock()
		r := f.engines[i].newRound(testNow)
		r.settle()
		r.flush()
		f.world.RUnlock()
		for _, c := range r.out {
			if op := c.item.Ops[0]; op.Set == world.FinalKey("run-1") {
				ended++
				var rec world.FinalRecord
				if err := wire.Decode(op.Value, &rec); err != nil || rec.Status != wire.JobDone || rec.Done != 2 {
					t.Errorf("%+v, %v", rec, err)
				}
			}
		}
	}
	if ended != 1 {
		t.Errorf("ended by %d nodes", ended)
	}
}

// TestStartsGoWhereTheImageIs: of machines with room, those that hold the image
// are taken, also in other nodes' parts, of which hints tell.
func TestStartsGoWhereTheImageIs(t *testing.T) {
	f := newField(t)
	held := map[string]map[string]bool{"g": {}}
	for i := range 60 {
		if name := f.machine(i, false); i < 9 {
			held["g"][name] = true
			f.fleets[world.PartOf(name, testParts)].RecordImageUse(name, "g", 4, 50)
		}
	}
	f.job(gang(1, 3))
	total := 0
	for i, e := range f.engines {
		e.hints, e.hintsAt = held, testNow
		_, bound := f.round(i)
		total += len(bound)
		for _, b := range bound {
			if !held["g"][b.machine] {
				t.Errorf("%s does not hold the image", b.machine)
			}
		}
	}
	if total != 3 {
		t.Errorf("%d of 3 tasks bound", total)
	}
}

// TestServiceMakesRoomBesideBoots: a service that is spread over two zones has arrays stopped at
// once in both, though machines that come up would hold all of it: it once waited for their
// boot, since what it expected there counted against its zones.
func TestServiceMakesRoomBesideBoots(t *testing.T) {
	f := newField(t)
	busy := array(1, 40)
	busy.Priority = wire.PriorityNormal
	busy.CPUs, busy.GPUs = 28, 4
	var on []world.Task
	for i := range 60 {
		if i%3 == 2 {
			continue // of three zones two are used
		}
		on = append(on, world.Task{Index: len(on), State: world.Bound, Attempt: 1, Machine: f.machine(i, false), Session: 1})
	}
	f.job(busy, on...)
	for i := range 30 {
		if i%3 != 2 {
			f.put(world.MachineKey(fmt.Sprintf("vm-1%05d", i)), world.MachineRecord{Type: "m", Zone: testZones[i%3], AtMs: testNow.UnixMilli()})
		}
	}
	service := wire.Spec{ID: "run-000002", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 4, CPUs: 5, GPUs: 1, MemoryGB: 38, Spread: true}
	f.job(service)
	zones := map[string]int{}
	for i, e := range f.engines {
		f.round(i)
		for name, h := range e.held {
			if h.ref.Job == service.ID {
				zones[f.world.Machines[name].Zone]++
			}
		}
	}
	if zones["east"]+zones["west"] != 4 || zones["east"] > 3 {
		t.Errorf("room is made by zone: %v, want 4 in both", zones)
	}
}

// TestServicesSpreadWhereAsked: with the operators' setting at most half of a service that does not
// ask for it stands in one zone while another has room; without another all of it is placed.
func TestServicesSpreadWhereAsked(t *testing.T) {
	for _, zones := range []int{1, 2} {
		for _, spreads := range []bool{false, true} {
			f := newField(t)
			for i := range 40 {
				if i%3 < zones {
					f.machine(i, false)
				}
			}
			s := wire.Spec{ID: "run-000007", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: 6, CPUs: 5, GPUs: 1, MemoryGB: 38}
			f.job(s)
			count, placed := map[string]int{}, 0
			for i, e := range f.engines {
				e.op.SpreadServices = spreads
				_, binds := f.round(i)
				for _, b := range binds {
					count[f.world.Machines[b.machine].Zone]++
					placed++
				}
			}
			if placed != 6 || spreads && zones == 2 && (count["east"] != 3 || count["west"] != 3) {
				t.Errorf("%d zones with room, spread %v: %v", zones, spreads, count)
			}
		}
	}
}

// TestPartlyDoneGangIsCancelled: a gang of which one task is done and none is on a machine is completed by
// the leader; once it is marked as cancelled its user may have been told so, and it ends as that.
func TestPartlyDoneGangIsCancelled(t *testing.T) {
	for _, cancelMs := range []int64{0, 5} {
		f := newField(t)
		s := gang(1, 2)
		s.Team, s.Class = "t", "c"
		rec := world.JobRecord{Spec: s, AtMs: 1, CancelMs: cancelMs, Certain: cancelMs != 0,
			Tasks: []world.Task{{Index: 0, State: world.Done, Attempt: 1}, {Index: 1, State: world.Idle, Attempt: 1}}}
		f.world.Begin()
		f.world.Put(world.JobKey(s.ID), wire.MustEncode(rec), 0) // the view holds all up to it
		f.world.Flush()
		f.world.RLock()
		r := f.engines[0].newRound(testNow)
		r.finishJobs()
		r.flush()
		f.world.RUnlock()
		want := wire.JobDone
		if cancelMs != 0 {
			want = wire.JobCancelled
		}
		var final world.FinalRecord
		for _, c := range r.out {
			for _, o := range c.item.Ops {
				if o.Set == world.FinalKey(s.ID) {
					_ = wire.Decode(o.Value, &final)
				}
			}
		}
		if final.Status != want {
			t.Errorf("cancelled at %d: ends as %q, want %q", cancelMs, final.Status, want)
		}
	}
}

// forgetful answers no transaction that binds a task, and carries out all others.
type forgetful struct {
	fenced bool // the part's record was written again
	early  bool // the binding's record was open to others before that
	engine *Engine
}

func (f *forgetful) RoundTrip(req *http.Request) (*http.Response, error) {
	answer := func(v any) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(wire.MustEncode(v)))}, nil
	}
	if req.URL.Path != "/multi" {
		return answer(wire.News{Revision: 1000})
	}
	b, _ := io.ReadAll(req.Body)
	var txn wire.Txn
	if err := wire.Decode(b, &txn); err != nil {
		return nil, err
	}
	for _, o := range txn.Apply {
		if strings.HasPrefix(o.Set, world.JobKey("")) {
			<-req.Context().Done()
			return nil, req.Context().Err()
		}
		f.engine.mu.Lock()
		if f.fenced = true; !f.engine.busy[world.JobKey("run-1")] || len(f.engine.moving) == 0 {
			f.early = true
		}
		f.engine.mu.Unlock()
	}
	return answer(wire.TxnResult{Revision: 1000})
}

// TestUnknownOutcomeIsFenced: a binding whose transaction gets no answer may yet be carried out, after newer ones.
// Its room, its team's share and its record count as taken until the part's record has been written anew, which
// its guard does not outlive. Freed before, a grant could be lowered under it.
func TestUnknownOutcomeIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newField(t)
		name := f.machine(1, false)
		part := world.PartOf(name, testParts)
		e := f.engines[part]
		rt := &forgetful{engine: e}
		client := store.NewClient("10.0.0.1:1", store.Limits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 32}, rt)
		e.commit = store.NewCommitter(client, func([]wire.Op, uint64) {})
		node := fmt.Sprintf("node-%d", part)
		e.member = member.New(node, 1, []string{node}, tuning.Level, client, e.commit, store.NewCache(client, world.Root, f.world, slog.New(slog.DiscardHandler)), f.world, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = e.commit.Run(ctx) }()
		e.ctx = ctx
		c := &change{what: "tasks of run-1", keys: []string{world.JobKey("run-1")}, parts: []int{part},
			binds: []bind{{world.TaskRef{Job: "run-1"}, name, part, "t", world.Amount{GPUs: 1}}},
			item:  store.Item{Guards: []wire.Guard{{Key: world.PartKey(part)}}, Ops: []wire.Op{store.Set(world.JobKey("run-1"), 1)}}}
		e.mu.Lock()
		e.busy[c.keys[0]], e.moving[0] = true, c
		e.mu.Unlock()
		done := make(chan struct{})
		go func() {
			e.carry(0, c)
			close(done)
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		if !rt.fenced || rt.early {
			t.Errorf("fenced: %v, freed before: %v", rt.fenced, rt.early)
		}
	})
}

// TestZoneOfALongJobIsChosenOnce: bindings in different records of a job whose tasks must be in one zone write
// the job's own record too, so that two nodes that choose at once collide; and while a task of it is bound to a
// machine that no record knows, none is bound, as its zone is not known.
func TestZoneOfALongJobIsChosenOnce(t *testing.T) {
	for _, lost := range []bool{false, true} {
		f := newField(t)
		for i := range 30 {
			f.machine(i, false)
		}
		s := array(1, tuning.ChunkTasks+4)
		s.OneZone, s.Team, s.Class, s.CPUs, s.GPUs, s.MemoryGB = true, "t", "c", 1, 0, 1
		var first []world.Task
		for i := range tuning.ChunkTasks {
			first = append(first, world.Task{Index: i, State: world.Done, Attempt: 1})
		}
		if lost {
			first[0] = world.Task{Index: 0, State: world.Bound, Attempt: 1, Machine: "vm-999999", Session: 1}
		}
		f.put(world.JobKey(s.ID), world.JobRecord{Spec: s, AtMs: testNow.UnixMilli(), Tasks: first})
		bound := 0
		for i := range f.engines {
			r, binds := f.round(i)
			bound += len(binds)
			for _, c := range r.out {
				own := slices.ContainsFunc(c.item.Ops, func(o wire.Op) bool { return o.Set == world.JobKey(s.ID) })
				if len(c.binds) > 0 && !own {
					t.Errorf("node %d binds %d tasks without the job's own record: %v", i, len(c.binds), c.keys)
				}
			}
		}
		if (bound == 0) != lost {
			t.Errorf("a task out of sight: %v, %d bound", lost, bound)
		}
	}
}
