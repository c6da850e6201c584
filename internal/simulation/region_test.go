package simulation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

var testZones = []string{"east", "west", "north"}

func testSettings(i int) *config.Settings {
	s := &config.Settings{Node: fmt.Sprintf("node-%d", i), Zone: testZones[i%2], Listen: fmt.Sprintf("10.0.0.%d:8080", i+1)}
	for j := range 3 {
		if j != i {
			s.Siblings = append(s.Siblings, config.Sibling{Node: fmt.Sprintf("node-%d", j), Zone: testZones[j%2], Endpoint: fmt.Sprintf("10.0.0.%d:8081", j+1)})
		}
	}
	s.Outside.State, s.Outside.Cloud = "10.2.0.1:2379", "10.2.0.2:8443"
	d := &s.Deployment
	d.Size, d.Zones = 3, testZones
	d.Teams = []config.Team{{Name: "open"}, {Name: "bound", GPUs: 2, GPUsMax: 6}}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 3, 24, 44
	d.Workers.GangWaitS, d.Workers.GangPeerS = 30, 4
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 200, 80, 16, 32
	d.Cloud.RPS, d.Cloud.ListLagS = 8, 10
	return s
}

var testTypes = []wire.MachineType{
	{Name: "large", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, ImageFetchGBps: 1, Price: 10, SpotPrice: 4, BootSeconds: 5, Zones: testZones},
	{Name: "small", CPUs: 8, GPUs: 1, MemoryGB: 64, ImageCacheGB: 50, ImageFetchGBps: 1, Price: 3, SpotPrice: 1.2, BootSeconds: 5, Zones: testZones[:2]},
}

// testSpec draws a job.
func testSpec(rnd *rand.Rand, i int) (wire.JobSpec, float64, time.Duration) {
	s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"open", "bound"}[rnd.IntN(2)],
		CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprintf("img-%d", rnd.IntN(3)), ImageSizeGB: 2, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 15}}
	var cancel time.Duration
	if rnd.IntN(5) == 0 {
		cancel = time.Duration(rnd.IntN(60)) * time.Second
	}
	switch rnd.IntN(3) {
	case 0:
		s.Kind, s.Priority, s.TaskCount, s.AllowSpot = wire.KindArray, wire.PriorityNormal, 1+rnd.IntN(6), rnd.IntN(2) == 0
		s.SameZone = rnd.IntN(3) == 0
		if rnd.IntN(2) == 0 {
			s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = 5, 2
		}
	case 1:
		s.Kind, s.Priority, s.TaskCount, s.CPUs, s.GPUs = wire.KindGang, wire.PriorityHigh, 1+rnd.IntN(2), 16, 2
		s.SameZone, s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = rnd.IntN(2) == 0, 5, 2
	case 2:
		s.Kind, s.Priority, s.TaskCount = wire.KindService, wire.PriorityProduction, 1+rnd.IntN(3)
		s.Spread = rnd.IntN(2) == 0
		s.RuntimeEstimateSeconds = 0
		cancel = time.Duration(60+rnd.IntN(200)) * time.Second
	}
	if rnd.IntN(8) == 0 && !s.Spread {
		s.Zone = testZones[rnd.IntN(2)]
	}
	if rnd.IntN(8) == 0 {
		s.MachineTypes = []string{"large"}
	}
	return s, float64(5 + rnd.IntN(30)), cancel
}

// injectRandomFault lets one trouble happen.
func injectRandomFault(r *Region, rnd *rand.Rand) string {
	d := time.Duration(5+rnd.IntN(25)) * time.Second
	until := time.Now().Add(d)
	n := rnd.IntN(r.ControllerCount())
	hold := rnd.IntN(2) == 0
	one := func(spot bool) string {
		if ms := r.Machines(spot); len(ms) > 0 {
			return ms[rnd.IntN(len(ms))]
		}
		return ""
	}
	restart := func(i int) {
		r.KillController(i)
		r.wg.Go(func() {
			time.Sleep(5 * time.Second)
			r.StartController(i)
		})
	}
	name := r.controllers[n].Settings.Node
	kind := rnd.IntN(13)
	switch kind {
	case 0:
		restart(n)
		time.Sleep(7 * time.Second)
	case 1:
		for i := range r.ControllerCount() {
			restart(i)
		}
		time.Sleep(7 * time.Second)
	case 2:
		r.KV.StartOutage(until)
	case 3:
		r.KV.RefuseNode(name, until)
	case 4:
		r.Network.AddPartition(Partition{From: name, To: "state", DeliverLate: hold, Until: until})
	case 5:
		r.Network.AddPartition(Partition{From: name, To: "*", DeliverLate: hold, Until: until})
	case 6:
		for _, m := range r.Machines(false) {
			r.Network.AddPartition(Partition{From: name, To: m, DeliverLate: hold, Until: until})
		}
	case 7:
		if m := one(false); m != "" {
			r.FailMachine(m)
		}
	case 8:
		if m := one(false); m != "" {
			r.HangMachine(m, d+10*time.Second)
		}
	case 9:
		if m := one(false); m != "" {
			r.Network.AddPartition(Partition{From: m, To: "*", DeliverLate: hold, Until: until})
		}
	case 10:
		for _, m := range r.Machines(true) {
			if rnd.IntN(2) == 0 {
				r.ReclaimMachine(m, time.Duration(rnd.IntN(2)*8)*time.Second)
			}
		}
	case 11:
		r.StartCloudOutage(until)
	case 12:
		r.PartitionZone(testZones[rnd.IntN(3)], hold, until.Add(time.Duration(rnd.IntN(60))*time.Second))
	}
	return fmt.Sprintf("%d on %s for %v hold=%v", kind, name, d, hold)
}

// testLogger is where the controllers of a day log to: nowhere, unless STANDIN_LOG is set.
func testLogger() *slog.Logger {
	var out io.Writer = io.Discard
	if os.Getenv("STANDIN_LOG") != "" {
		out = os.Stderr
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// newThreeControllerRegion starts a region of three controllers, with so many machines of each kind to be had.
func newThreeControllerRegion(ctx context.Context, settings func(int) *config.Settings, each int, seed uint64, log *slog.Logger) *Region {
	r := NewRegion(ctx, settings(0), testTypes, each, rand.New(rand.NewPCG(seed, 8)), log)
	for i := range 3 {
		r.AddController(settings(i))
	}
	return r
}

// waitUntilFinished waits, 5 s at a time and so often at most, until all jobs are over.
func (r *Region) waitUntilFinished(times int) {
	for range times {
		time.Sleep(5 * time.Second)
		if len(r.Checker.UnfinishedJobs()) == 0 {
			return
		}
	}
}

// simulateDay runs a day of generated jobs and troubles and gives what broke.
func simulateDay(t *testing.T, seed uint64, troubles int) *Region {
	rnd := rand.New(rand.NewPCG(seed, 7))
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	log := testLogger()
	r := newThreeControllerRegion(ctx, testSettings, 5, seed, log)
	r.wg.Go(func() { r.QueryUnknownJobs(ctx) })
	for i := range 30 {
		spec, run, stop := testSpec(rnd, i+1)
		at := time.Duration(rnd.IntN(200)) * time.Second
		r.wg.Go(func() {
			time.Sleep(at)
			r.SimulateUser(ctx, spec, run, stop)
		})
	}
	time.Sleep(20 * time.Second)
	for range troubles {
		time.Sleep(time.Duration(1+rnd.IntN(25)) * time.Second)
		what := injectRandomFault(r, rnd)
		log.Info("TROUBLE", "what", what)
	}
	time.Sleep(5*time.Minute - time.Since(start)) // all jobs are submitted by then
	r.waitUntilFinished(90)
	time.Sleep(60 * time.Second)
	cancel()
	r.Wait()
	time.Sleep(3 * time.Minute) // requests still on their way
	return r
}

// TestInvariantsUnderFaults drives three controllers through generated days and
// checks every rule of the protocol.
func TestInvariantsUnderFaults(t *testing.T) {
	days := 8
	if n, err := strconv.Atoi(os.Getenv("STANDIN_DAYS")); err == nil {
		days = n
	}
	for seed := range uint64(days) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := simulateDay(t, seed+1, 10)
				if len(r.Checker.Violations) > 0 {
					t.Errorf("broken rules:\n%s", strings.Join(r.Checker.Violations, "\n"))
				}
				if len(r.KV.Violations) > 0 {
					t.Errorf("requests over the state service's limits:\n%s", strings.Join(r.KV.Violations, "\n"))
				}
				if left := r.Checker.UnfinishedJobs(); len(left) > 0 {
					t.Errorf("never finished: %v", left)
				}
				if r.Checker.TaskStarts < 20 {
					t.Errorf("only %d tasks started", r.Checker.TaskStarts)
				}
			})
		})
	}
}

// simulateServicesUnderCut plays nine services on a region while something is cut off, and tells of how
// many machines of the zones that are looked at how many are gone afterwards, and on how
// many the tasks have ended. The first service's user cancels it after stop.
func simulateServicesUnderCut(t *testing.T, seed uint64, stop time.Duration, zones []string, cut func(*Region)) (machines, gone, ended int) {
	ctx, cancel := context.WithCancel(context.Background())
	r := newThreeControllerRegion(ctx, testSettings, 12, seed, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i := range 9 {
		spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", Kind: wire.KindService, Priority: wire.PriorityProduction,
			TaskCount: 6, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageSizeGB: 1, Spread: true}
		after := 20 * time.Minute
		if i == 0 {
			after = stop
		}
		r.wg.Go(func() { r.SimulateUser(ctx, spec, 5, after) })
	}
	time.Sleep(75 * time.Second)
	before := r.AgentSessions(zones...)
	cut(r)
	time.Sleep(150 * time.Second)
	after := r.AgentSessions(zones...)
	for name, session := range before {
		if now, ok := after[name]; !ok {
			gone++
		} else if now != session {
			ended++
		}
	}
	cancel()
	r.Wait()
	time.Sleep(3 * time.Minute)
	if len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
		t.Errorf("broken: %v %v", r.Checker.Violations, r.KV.Violations)
	}
	return len(before), gone, ended
}

// TestZoneThatIsCutWorksOn: for longer than a lease and a cancellation's time a zone with
// a controller is cut off from everything. No machine in it is deleted, no task in it
// killed, though most belong to controllers outside; what its users cancel meanwhile is
// told only once it has ended; and afterwards all goes on with the same sessions.
func TestPartitionedZoneKeepsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines, gone, ended := simulateServicesUnderCut(t, 4, 100*time.Second, []string{"west"}, func(r *Region) {
			r.PartitionZone("west", true, time.Now().Add(100*time.Second))
		})
		// Those that hold a task of the cancelled service are deleted for it; a few
		// stand idle and are returned. Where silence alone counts, all of them go.
		if machines < 8 || gone > machines/2 || ended > 0 {
			t.Errorf("of %d machines %d are gone, %d ended their tasks", machines, gone, ended)
		}
	})
}

// TestZoneWhoseControllerEndsWorksOn: the only controller of a zone that is cut off ends
// during the cut and is started again there, where it can read nothing. The zone's tasks go
// on all the same.
func TestPartitionedZoneSurvivesControllerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines, gone, ended := simulateServicesUnderCut(t, 4, 20*time.Minute, []string{"west"}, func(r *Region) {
			r.PartitionZone("west", true, time.Now().Add(100*time.Second))
			time.Sleep(14 * time.Second) // by then it has taken care of all workers there
			r.KillController(1)
			time.Sleep(3 * time.Second)
			r.StartController(1)
		})
		// A worker that found it late may end; left to their leases all do.
		if machines < 8 || gone > machines/2 || ended > machines/4 {
			t.Errorf("of %d machines %d are gone, %d ended their tasks", machines, gone, ended)
		}
	})
}

// TestNodeCutFromStateKeepsNoWorkers: a node that has lost the state service for long loses
// its parts; its workers must follow their new owner before their leases end. A worker
// that has seen a higher token drops the answers of the old one and yet stays with it.
func TestControllerCutFromStoreReleasesAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines, gone, ended := simulateServicesUnderCut(t, 6, 20*time.Minute, testZones, func(r *Region) {
			r.Network.AddPartition(Partition{From: "node-1", To: "state", DeliverLate: true, Until: time.Now().Add(80 * time.Second)})
		})
		if machines < 16 || gone > 3 || ended > 0 {
			t.Errorf("of %d machines %d are gone, %d ended their tasks", machines, gone, ended)
		}
	})
}

// TestJobsOfManyRecords runs jobs whose tasks take several records, an array and a gang
// of tiny tasks bound over many rounds, and a gang that no single part can hold.
func TestJobsOfManyRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		r := newThreeControllerRegion(ctx, testSettings, 5, 3, log)
		for i, kind := range []wire.JobKind{wire.KindArray, wire.KindGang} {
			spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", Kind: kind, Priority: wire.PriorityNormal,
				TaskCount: 700 - 400*i, CPUs: 0.05, MemoryGB: 0.1, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 5}, SameZone: i == 0}
			r.wg.Go(func() { r.SimulateUser(ctx, spec, 5, 0) })
		}
		// Nine whole machines: more than any part can have, so the gang would starve
		// if only one part's machines counted.
		wide := wire.JobSpec{ID: "run-000003", Class: "c", Team: "open", Kind: wire.KindGang, Priority: wire.PriorityHigh,
			TaskCount: 9, CPUs: 32, GPUs: 4, MemoryGB: 200, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 5}}
		r.wg.Go(func() { r.SimulateUser(ctx, wide, 5, 0) })
		time.Sleep(4 * time.Minute)
		cancel()
		r.Wait()
		time.Sleep(3 * time.Minute)
		if len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
			t.Errorf("broken: %v %v", r.Checker.Violations, r.KV.Violations)
		}
		if left := r.Checker.UnfinishedJobs(); len(left) > 0 || r.Checker.TaskStarts < 1000 {
			t.Errorf("never finished: %v, %d starts", left, r.Checker.TaskStarts)
		}
	})
}

// TestGangSavesAsAWhole: when the cloud takes one of a gang's machines away, all
// its tasks save, and the next attempt goes on from there.
func TestGangCheckpointsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := newThreeControllerRegion(ctx, testSettings, 5, 5, slog.New(slog.NewTextHandler(io.Discard, nil)))
		spec := wire.JobSpec{ID: "run-000001", Class: "c", Team: "open", Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: 2,
			CPUs: 32, GPUs: 4, MemoryGB: 200, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 60, CheckpointIntervalSeconds: 10, CheckpointSaveSeconds: 3}, AllowSpot: true}
		r.wg.Go(func() { r.SimulateUser(ctx, spec, 90, 0) })
		time.Sleep(60 * time.Second)
		r.mu.Lock()
		name := ""
		for n, w := range r.agents {
			for _, x := range w.tasks {
				if w.spot && x.State == wire.TaskRunning {
					name = n
				}
			}
		}
		r.mu.Unlock()
		if name == "" {
			t.Error("the gang does not run")
		}
		r.ReclaimMachine(name, 10*time.Second)
		time.Sleep(4 * time.Minute)
		cancel()
		r.Wait()
		time.Sleep(3 * time.Minute)
		for i := range 2 {
			if !r.checkpointed[record.TaskRef{JobID: spec.ID, Index: i}] {
				t.Errorf("task %d did not save", i)
			}
		}
		if left := r.Checker.UnfinishedJobs(); len(left)+len(r.Checker.Violations) > 0 {
			t.Errorf("never finished: %v; broken: %v", left, r.Checker.Violations)
		}
	})
}

// waitBesideCapacity lets a job wait for two minutes, all troubles over, beside rooms of some machines.
func waitBesideCapacity(o *InvariantChecker, rooms ...FreeCapacity) {
	o.AnswerReceived("run-1", 201, wire.JobPending)
	o.FaultsEnded()
	for range 120 {
		time.Sleep(time.Second)
		o.CheckStartableJobs(rooms)
	}
}

// TestOracleLeavesAlone: a job that waits for room that is not there for it is not left waiting.
func TestCheckerAllowsJustifiedWaiting(t *testing.T) {
	place := func(zone string, spot bool) Placement { return Placement{"a", "large", zone, spot} }
	gpu := record.Resources{GPUs: 1}
	for name, c := range map[string]struct {
		spec  func(*wire.JobSpec)
		rooms []FreeCapacity
	}{
		"no room":          {nil, []FreeCapacity{{place("east", false), record.Resources{}}}},
		"spot":             {nil, []FreeCapacity{{place("east", true), gpu}}},
		"another zone":     {func(s *wire.JobSpec) { s.Zone = "west" }, []FreeCapacity{{place("east", false), gpu}}},
		"another type":     {func(s *wire.JobSpec) { s.MachineTypes = []string{"small"} }, []FreeCapacity{{place("east", false), gpu}}},
		"spread":           {func(s *wire.JobSpec) { s.Kind, s.TaskCount, s.Spread = wire.KindGang, 4, true }, []FreeCapacity{{place("east", false), record.Resources{GPUs: 4}}}},
		"zones apart":      {func(s *wire.JobSpec) { s.Kind, s.TaskCount, s.SameZone = wire.KindGang, 2, true }, []FreeCapacity{{place("east", false), gpu}, {place("west", false), gpu}}},
		"over its limit":   {func(s *wire.JobSpec) { s.GPUs = 7 }, []FreeCapacity{{place("east", false), record.Resources{GPUs: 8}}}},
		"half of the gang": {func(s *wire.JobSpec) { s.Kind, s.TaskCount = wire.KindGang, 4 }, []FreeCapacity{{place("east", false), record.Resources{GPUs: 3}}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewInvariantChecker(testSettings(0))
				s := wire.JobSpec{ID: "run-1", Team: "bound", Kind: wire.KindArray, TaskCount: 2, GPUs: 1}
				if c.spec != nil {
					c.spec(&s)
				}
				o.JobSubmitted(s)
				if waitBesideCapacity(o, c.rooms...); len(o.Violations) > 0 {
					t.Errorf("%v", o.Violations)
				}
			})
		})
	}
}

// TestCheckerDetectsEachViolation plays one small defect for each rule: an oracle that
// can't fail would prove nothing.
func TestCheckerDetectsEachViolation(t *testing.T) {
	at := func(m, typ, zone string, spot bool) Placement { return Placement{m, typ, zone, spot} }
	ref := func(i int) record.TaskRef { return record.TaskRef{JobID: "run-1", Index: i} }
	base := wire.JobSpec{ID: "run-1", Team: "bound", Kind: wire.KindArray, TaskCount: 8, GPUs: 1}
	defects := map[string][]struct {
		name string
		spec func(*wire.JobSpec)
		do   func(o *InvariantChecker)
	}{
		"ran_twice": {{"two machines", nil, func(o *InvariantChecker) {
			o.TaskStarted(ref(0), at("a", "large", "east", false))
			o.TaskStarted(ref(0), at("b", "large", "east", false))
		}}},
		"quota": {{"seven of six", nil, func(o *InvariantChecker) {
			for i := range 7 {
				o.TaskStarted(ref(i), at("a", "large", "east", false))
			}
		}}},
		"wrong_place": {
			{"spot", nil, func(o *InvariantChecker) { o.TaskStarted(ref(0), at("a", "large", "east", true)) }},
			{"zone", func(s *wire.JobSpec) { s.Zone = "west" }, func(o *InvariantChecker) { o.TaskStarted(ref(0), at("a", "large", "east", false)) }},
			{"type", func(s *wire.JobSpec) { s.MachineTypes = []string{"small"} }, func(o *InvariantChecker) { o.TaskStarted(ref(0), at("a", "large", "east", false)) }},
			{"two zones", func(s *wire.JobSpec) { s.SameZone = true }, func(o *InvariantChecker) {
				o.TaskStarted(ref(0), at("a", "large", "east", false))
				o.TaskStarted(ref(1), at("b", "large", "west", false))
			}},
			{"not spread", func(s *wire.JobSpec) { s.Spread, s.TaskCount = true, 2 }, func(o *InvariantChecker) {
				o.TaskStarted(ref(0), at("a", "large", "east", false))
				o.TaskStarted(ref(1), at("b", "large", "east", false))
			}},
		},
		"ran_cancelled": {{"late", nil, func(o *InvariantChecker) {
			o.TaskStarted(ref(0), at("a", "large", "east", false))
			o.CancelRequested("run-1")
			o.AnswerReceived("run-1", 200, wire.JobCancelled)
			time.Sleep(45 * time.Second)
			o.CheckDeadlines()
		}}, {"started after it was told", nil, func(o *InvariantChecker) {
			o.CancelRequested("run-1")
			o.AnswerReceived("run-1", 200, wire.JobCancelled)
			o.TaskStarted(ref(0), at("a", "large", "east", false))
		}}},
		"accepted": {{"what can't run", nil, func(o *InvariantChecker) {
			s := base
			s.ID = "run-2"
			o.InvalidJobSubmitted(s, "it fits no machine")
			o.AnswerReceived("run-2", 201, wire.JobPending)
		}}},
		"left": {
			{"beside room", nil, func(o *InvariantChecker) {
				waitBesideCapacity(o, FreeCapacity{at("a", "large", "east", false), record.Resources{CPUs: 8, GPUs: 1}})
			}},
			{"a gang beside room in its zone", func(s *wire.JobSpec) { s.Kind, s.TaskCount, s.SameZone = wire.KindGang, 2, true }, func(o *InvariantChecker) {
				waitBesideCapacity(o, FreeCapacity{at("a", "large", "west", false), record.Resources{GPUs: 1}}, FreeCapacity{at("b", "large", "east", false), record.Resources{GPUs: 1}}, FreeCapacity{at("c", "large", "east", false), record.Resources{GPUs: 1}})
			}},
		},
		"forgotten": {{"404", nil, func(o *InvariantChecker) {
			o.AnswerReceived("run-1", 201, wire.JobPending)
			o.AnswerReceived("run-1", 404, "")
		}}, {"in calm", nil, func(o *InvariantChecker) {
			o.AnswerReceived("run-1", 201, wire.JobPending)
			o.AnswerReceived("run-1", 503, "")
			time.Sleep(3 * time.Minute) // others fare no better, and the troubles go on
			o.AnswerReceived("run-1", 503, "")
			if o.FaultsEnded(); len(o.Violations) > 0 {
				return // too early
			}
			time.Sleep(74 * time.Second)
			o.AnswerReceived("run-1", 503, "")
			if len(o.Violations) > 0 {
				o.Violations = nil // too early: what follows must find nothing
				return
			}
			time.Sleep(2 * time.Second)
			o.AnswerReceived("run-1", 503, "")
		}}, {"alone", nil, func(o *InvariantChecker) {
			o.JobSubmitted(wire.JobSpec{ID: "run-2", Team: "open", Kind: wire.KindArray, TaskCount: 1})
			o.AnswerReceived("run-1", 201, wire.JobPending)
			for range 21 {
				o.AnswerReceived("run-1", 0, "")
				o.AnswerReceived("run-2", 200, wire.JobPending)
				o.AnswerReceived("run-2", 200, wire.JobPending)
				time.Sleep(5 * time.Second)
			}
		}}},
		"floor": {{"largest", nil, func(o *InvariantChecker) {
			// Everybody is served in the end, but the largest began after five minutes.
			for i := range 5 {
				id := fmt.Sprintf("run-%d", i+2)
				o.JobSubmitted(wire.JobSpec{ID: id, Class: "c", Team: "open", Kind: wire.KindArray, TaskCount: 1 + i/4*9})
				o.AnswerReceived(id, 201, wire.JobPending)
				if i == 4 {
					time.Sleep(5 * time.Minute)
				}
				for k := range 1 + i/4*9 {
					o.TaskStarted(record.TaskRef{JobID: id, Index: k}, at("a", "large", "east", false))
					o.TaskCompleted(record.TaskRef{JobID: id, Index: k})
				}
			}
			o.CheckServedShares()
		}}, {"class", nil, func(o *InvariantChecker) {
			o.AnswerReceived("run-1", 201, wire.JobPending)
			o.CheckServedShares()
		}}},
		"invented": {{"200", nil, func(o *InvariantChecker) { o.AnswerReceived("run-2", 200, wire.JobPending) }}},
		"too_early": {{"before its need", func(s *wire.JobSpec) { s.Dependencies = []string{"run-0"} }, func(o *InvariantChecker) {
			o.JobSubmitted(wire.JobSpec{ID: "run-0", Team: "open", Kind: wire.KindArray, TaskCount: 1})
			o.TaskStarted(ref(0), at("a", "large", "east", false))
		}}},
		"orphaned": {{"through another", func(s *wire.JobSpec) { s.Dependencies = []string{"run-0"} }, func(o *InvariantChecker) {
			o.JobSubmitted(wire.JobSpec{ID: "run-00", Team: "open", Kind: wire.KindArray, TaskCount: 1})
			o.JobSubmitted(wire.JobSpec{ID: "run-0", Team: "open", Kind: wire.KindArray, TaskCount: 1, Dependencies: []string{"run-00"}})
			o.CancelRequested("run-00")
			o.AnswerReceived("run-00", 200, wire.JobCancelled)
			time.Sleep(45 * time.Second)
			o.AnswerReceived("run-1", 200, wire.JobPending)
		}}},
		"not_done": {{"early", nil, func(o *InvariantChecker) {
			o.TaskCompleted(ref(0))
			o.AnswerReceived("run-1", 200, wire.JobDone)
		}}},
		"went_back": {
			{"pending again", func(s *wire.JobSpec) { s.TaskCount = 1 }, func(o *InvariantChecker) {
				o.TaskCompleted(ref(0))
				o.AnswerReceived("run-1", 200, wire.JobDone)
				o.AnswerReceived("run-1", 200, wire.JobPending)
			}},
			{"an older answer from another node", func(s *wire.JobSpec) { s.TaskCount = 1 }, func(o *InvariantChecker) {
				o.TaskCompleted(ref(0))
				sent := time.Now()
				time.Sleep(time.Millisecond)
				o.AnswerReceivedTo("run-1", sent, 200, wire.JobDone)
				o.AnswerReceivedTo("run-1", sent, 200, wire.JobRunning) // was on its way by then
				if len(o.Violations) > 0 {
					o.Violations = nil // what follows must find nothing
					return
				}
				o.AnswerReceivedTo("run-1", time.Now(), 200, wire.JobRunning)
			}},
			{"cancelled by nobody", nil, func(o *InvariantChecker) { o.AnswerReceived("run-1", 200, wire.JobCancelled) }},
		},
	}
	for rule, list := range defects {
		for _, d := range list {
			t.Run(rule+" "+d.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					o := NewInvariantChecker(testSettings(0))
					s := base
					if d.spec != nil {
						d.spec(&s)
					}
					o.JobSubmitted(s)
					d.do(o)
					if len(o.Violations) == 0 || !strings.HasPrefix(o.Violations[0], rule+":") {
						t.Errorf("want %s, got %v", rule, o.Violations)
					}
				})
			})
		}
	}
}
