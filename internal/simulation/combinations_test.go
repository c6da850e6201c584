package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// A meeting's troubles come within a few seconds of each other, each for its own span. They are those
// of docs/meetings.md; the letters there name them.
var faultCatalogue = []struct {
	name string
	do   func(r *Region, rnd *rand.Rand, until time.Time)
}{
	{"late reports", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.DuplicateHeartbeats(0.1+0.5*rnd.Float64(), until, rnd.Uint64())
	}},
	{"late writes", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.KV.DelayWrites(0.05+0.4*rnd.Float64(), until, rnd.Uint64())
	}},
	{"slow state", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.KV.SlowRequests(0.1+0.5*rnd.Float64(), until, rnd.Uint64())
	}},
	{"deaf machines", func(r *Region, rnd *rand.Rand, until time.Time) {
		for _, m := range r.Machines(false) {
			if rnd.IntN(3) == 0 {
				r.LoseInbound(m, until)
			}
		}
	}},
	{"leader apart", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.IsolateController(r.LeaderIndex(), rnd.IntN(2) == 0, until)
	}},
	{"commands held", func(r *Region, rnd *rand.Rand, until time.Time) {
		// What is held arrives in order once it ends; the machine has gone on meanwhile.
		name := r.controllers[rnd.IntN(r.ControllerCount())].Settings.Node
		for _, m := range r.Machines(false) {
			if rnd.IntN(2) == 0 {
				r.Network.AddPartition(Partition{From: name, To: m, DeliverLate: true, Until: until})
			}
		}
	}},
	{"machines hang", func(r *Region, rnd *rand.Rand, until time.Time) {
		for _, m := range r.Machines(false) {
			if rnd.IntN(3) == 0 {
				r.HangMachine(m, time.Until(until)*time.Duration(1+rnd.IntN(3))/3)
			}
		}
	}},
	{"leader refused, then all", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.KV.RefuseNode(r.controllers[r.LeaderIndex()].Settings.Node, time.Now().Add(time.Duration(4+rnd.IntN(12))*time.Second))
		time.Sleep(time.Duration(500+rnd.IntN(5000)) * time.Millisecond)
		r.KV.StartOutage(time.Now().Add(r.Settings.Cancel() + time.Duration(rnd.IntN(20))*time.Second))
	}},
	{"leader ends", func(r *Region, rnd *rand.Rand, _ time.Time) {
		r.restartController(r.LeaderIndex(), time.Duration(1+rnd.IntN(20))*time.Second)
	}},
	{"leader back within a second", func(r *Region, rnd *rand.Rand, _ time.Time) {
		i := r.LeaderIndex()
		for range 1 + rnd.IntN(3) {
			r.restartController(i, time.Duration(100+rnd.IntN(900))*time.Millisecond)
			time.Sleep(time.Duration(1200+rnd.IntN(2500)) * time.Millisecond)
		}
	}},
	{"all end, one returns first", func(r *Region, rnd *rand.Rand, _ time.Time) {
		first := rnd.IntN(r.ControllerCount())
		for i := range r.ControllerCount() {
			back := time.Duration(200+rnd.IntN(800)) * time.Millisecond
			if i != first {
				back = time.Duration(5+rnd.IntN(25)) * time.Second
			}
			r.restartController(i, back)
		}
	}},
	{"state refuses one", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.KV.RefuseNode(r.controllers[rnd.IntN(r.ControllerCount())].Settings.Node, until)
	}},
	{"outage", func(r *Region, _ *rand.Rand, until time.Time) { r.KV.StartOutage(until) }},
	{"lost answers", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.KV.LoseAnswers(0.1+0.4*rnd.Float64(), until, rnd.Uint64())
	}},
	{"copies for the next leader", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.ReplayToNextLeader(r.ctx, 0.3+0.6*rnd.Float64(), until.Add(r.Settings.Lease()), rnd.Uint64())
	}},
	{"machines mute", func(r *Region, rnd *rand.Rand, until time.Time) {
		for _, m := range r.Machines(false) {
			if rnd.IntN(3) == 0 {
				r.LoseOutbound(m, until)
			}
		}
	}},
	{"machines cut", func(r *Region, rnd *rand.Rand, until time.Time) {
		for _, m := range r.Machines(false) {
			if rnd.IntN(3) == 0 {
				r.Network.AddPartition(Partition{From: m, To: "*", DeliverLate: rnd.IntN(2) == 0, Until: until})
			}
		}
	}},
	{"machines lost", func(r *Region, rnd *rand.Rand, _ time.Time) {
		for _, m := range r.Machines(false) {
			if rnd.IntN(3) == 0 {
				r.FailMachine(m)
			}
		}
	}},
	{"ten leaders", func(r *Region, rnd *rand.Rand, _ time.Time) {
		seed := rnd.Uint64()
		r.wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, 64))
			for range 10 {
				r.restartController(r.LeaderIndex(), time.Duration(1000+rnd.IntN(6000))*time.Millisecond)
				time.Sleep(time.Duration(8+rnd.IntN(8)) * time.Second)
			}
		})
	}},
	{"slow links", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.Network.AddLatency(time.Duration(50+rnd.IntN(500))*time.Millisecond, until)
	}},
	{"zone cut", func(r *Region, rnd *rand.Rand, _ time.Time) {
		r.PartitionZone(testZones[rnd.IntN(2)], rnd.IntN(2) == 0, time.Now().Add(r.Settings.Lease()+time.Duration(5+rnd.IntN(40))*time.Second))
	}},
	{"all away", func(r *Region, rnd *rand.Rand, _ time.Time) {
		for i := range r.ControllerCount() {
			r.restartController(i, r.Settings.Lease()+time.Duration(1+rnd.IntN(20))*time.Second)
		}
	}},
	{"fast machines", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.BootFast(until)
		for _, m := range r.Machines(false) {
			if rnd.IntN(3) == 0 {
				r.FailMachine(m) // so that others are rented
			}
		}
	}},
	{"called off at once", func(r *Region, rnd *rand.Rand, _ time.Time) {
		r.CancelRunningJobs(r.ctx, 2+rnd.IntN(6), 0, 0, rnd)
	}},
	{"called off, machines hang", func(r *Region, rnd *rand.Rand, _ time.Time) {
		r.CancelRunningJobs(r.ctx, 2+rnd.IntN(6), time.Duration(10+rnd.IntN(60))*time.Second, 0, rnd)
	}},
	{"called off, machines cut", func(r *Region, rnd *rand.Rand, _ time.Time) {
		r.CancelRunningJobs(r.ctx, 2+rnd.IntN(6), 0, time.Duration(10+rnd.IntN(60))*time.Second, rnd)
	}},
	{"called off at the end", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.CancelAtCompletion(0.3+0.6*rnd.Float64(), until, rnd.Uint64())
	}},
	{"called off as hands change", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.CancelOnOwnerChange(r.ctx, 1+rnd.IntN(3), until, rnd.Uint64())
	}},
	{"refused, called off, then all", func(r *Region, rnd *rand.Rand, _ time.Time) {
		r.KV.RefuseNode(r.controllers[r.LeaderIndex()].Settings.Node, time.Now().Add(time.Duration(4+rnd.IntN(12))*time.Second))
		r.CancelRunningJobs(r.ctx, 2+rnd.IntN(6), 0, 0, rnd)
		time.Sleep(time.Second)
		r.KV.StartOutage(time.Now().Add(r.Settings.Cancel() + time.Duration(rnd.IntN(20))*time.Second))
	}},
	{"close looks", func(r *Region, _ *rand.Rand, until time.Time) { r.ProbeAfterAnswers(until) }},
	{"odd requests", func(r *Region, rnd *rand.Rand, until time.Time) { r.SendInvalidRequests(r.ctx, until, rnd.Uint64()) }},
	{"short jobs", func(r *Region, rnd *rand.Rand, until time.Time) {
		r.SubmitShortJobs(r.ctx, 200000+rnd.IntN(1000)*100, until, rnd.Uint64())
	}},
}

// restartController ends a controller's process and starts it again later, unless it is away already.
func (r *Region) restartController(i int, after time.Duration) {
	if !r.controllers[i].alive.Load() {
		return
	}
	r.KillController(i)
	r.wg.Go(func() {
		time.Sleep(after)
		r.StartController(i)
	})
}

// combinationSpec draws a job as these days have them: arrays and gangs of two or three tasks that end far
// apart, long tasks, many of them cancelled, and services.
func combinationSpec(rnd *rand.Rand, i int) (wire.JobSpec, float64, time.Duration) {
	s, run, stop := testSpec(rnd, i)
	if s.Kind != wire.KindService {
		run = float64(5 + rnd.IntN(30))
		if rnd.IntN(4) == 0 {
			run *= 4 // far longer than a lease
		}
		s.RuntimeEstimateSeconds = run
		if s.Kind == wire.KindArray && rnd.IntN(2) == 0 {
			s.TaskCount = 2 + rnd.IntN(2)
		}
		if rnd.IntN(3) == 0 {
			stop = time.Duration(10+rnd.IntN(150)) * time.Second
		}
	}
	return s, run, stop
}

// faultDay is a day on which troubles meet.
type faultDay struct {
	faults         []string
	rounds         int  // how often they come; 0: three times
	teamsAtLimit   bool // every team is at its limit nearly all the time
	scarceCapacity bool // more work than room
	zoneBound      bool // all jobs are bound to one zone
	longTasks      bool // tasks run for minutes
}

// faultCombinations are those of the operators' page, in its order, with what shows that they took place: what
// the day has to count.
var faultCombinations = []struct {
	name string
	faultDay
	met []string
}{
	{"controllers hand over and back, all end, one returns", faultDay{faults: []string{"leader back within a second", "all end, one returns first"}}, []string{"changes of leader"}},
	{"a command or its answer is held up", faultDay{faults: []string{"commands held", "machines hang"}}, nil},
	{"a cancellation, question or repeat at the end of the last task", faultDay{faults: []string{"called off at the end", "close looks", "slow state"}}, []string{"called off at its end", "close looks answered"}},
	{"ten leaders in two minutes, inside an outage", faultDay{faults: []string{"ten leaders", "outage"}, rounds: 1}, []string{"changes of leader"}},
	{"jobs bound to a zone lose machines", faultDay{faults: []string{"machines lost"}, zoneBound: true}, nil},
	{"workers that reach no controller", faultDay{faults: []string{"machines mute"}}, nil},
	{"jobs of a few tasks end far apart across a change of leader", faultDay{faults: []string{"leader ends"}, longTasks: true}, []string{"changes of leader"}},
	{"a leader apart, cancellations through the new one", faultDay{faults: []string{"leader apart", "called off at once"}}, []string{"called off while running"}},
	{"a zone with a controller cut for longer than a lease", faultDay{faults: []string{"zone cut", "called off at once"}}, []string{"called off while running"}},
	{"short jobs, a quarter cancelled", faultDay{faults: []string{"short jobs"}, rounds: 2}, []string{"short jobs"}},
	{"a transaction at once, its answer lost", faultDay{faults: []string{"lost answers", "close looks"}}, []string{"lost answers read elsewhere", "close looks answered"}},
	{"a slow state service, the leader refused, then all", faultDay{faults: []string{"slow state", "called off at once", "close looks", "leader refused, then all"}, rounds: 1}, []string{"called off while running"}},
	{"machines up within two seconds, late writes, the leader ends", faultDay{faults: []string{"late writes", "fast machines", "leader ends"}}, []string{"up within two seconds", "late writes", "changes of leader"}},
	{"a report is held back until a new leader has acted", faultDay{faults: []string{"late reports", "leader ends"}}, []string{"copies", "changes of leader"}},
	{"cancellations as a part changes hands", faultDay{faults: []string{"called off as hands change", "leader ends"}}, []string{"called off as a part changes hands", "called off while running"}},
	{"questions at all nodes within milliseconds", faultDay{faults: []string{"slow state", "close looks", "odd requests", "called off at once"}}, []string{"close looks answered", "odd requests refused"}},
	{"cancellations as the leader is refused, then an outage", faultDay{faults: []string{"refused, called off, then all"}, rounds: 1}, []string{"called off while running"}},
	{"an old report reaches every controller as a leader begins", faultDay{faults: []string{"copies for the next leader", "leader ends"}}, []string{"copies before a live report"}},
	{"a leader ends, machines with long tasks out of reach", faultDay{faults: []string{"machines cut", "deaf machines", "leader ends"}, longTasks: true}, []string{"changes of leader"}},
	{"a transaction carried out late", faultDay{faults: []string{"late writes"}}, []string{"late writes"}},
	{"every team at its limit, cancelled machines out of reach, the leader changes", faultDay{faults: []string{"leader ends", "called off, machines hang", "called off, machines cut", "leader ends"}, teamsAtLimit: true}, []string{"a team at its limit as the leader changes", "called off while running"}},
	{"all controllers away for longer than a lease", faultDay{faults: []string{"all away"}, rounds: 1}, nil},
	{"a team at its limit, machines that can't be asked, a cancellation", faultDay{faults: []string{"deaf machines", "leader ends", "called off at once"}, teamsAtLimit: true}, []string{"a team at its limit as the leader changes", "called off while running"}},
	{"more work than room, slow links", faultDay{faults: []string{"slow links"}, scarceCapacity: true}, nil},
	{"an old report after newer ones, of an earlier session", faultDay{faults: []string{"late reports", "machines hang"}}, []string{"copies"}},
}

// settings are those of a region for the day: its teams' limits matter without holding most of the day
// up, unless it is to be so.
func (d *faultDay) settings(i int) *config.Settings {
	s := testSettings(i)
	s.Deployment.Teams = []config.Team{{Name: "open"}, {Name: "bound", GPUs: 4, GPUsMax: 14}}
	if d.teamsAtLimit {
		s.Deployment.Teams = []config.Team{{Name: "open", GPUsMax: 8}, {Name: "bound", GPUs: 2, GPUsMax: 4}}
	}
	return s
}

func combinationSettings(i int) *config.Settings { return (&faultDay{}).settings(i) }

// spec draws one of the day's jobs.
func (d *faultDay) spec(rnd *rand.Rand, i int) (wire.JobSpec, float64, time.Duration) {
	s, run, stop := combinationSpec(rnd, i)
	if d.longTasks && s.Kind != wire.KindService {
		run *= 3
	}
	if d.zoneBound && !s.Spread && s.Zone == "" {
		s.Zone = testZones[rnd.IntN(2)]
	}
	if d.teamsAtLimit && s.Kind == wire.KindService {
		stop = min(stop, 90*time.Second) // or the replicas alone fill the limits for minutes
	}
	if d.scarceCapacity && s.Kind == wire.KindArray {
		s.Priority = []wire.Priority{wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[rnd.IntN(3)]
	}
	return s, run, stop
}

func injectFault(r *Region, rnd *rand.Rand, name string, until time.Time) {
	for _, t := range faultCatalogue {
		if t.name == name {
			t.do(r, rnd, until)
			return
		}
	}
	panic("no such trouble: " + name)
}

// simulateFaultDay plays a day on which troubles meet and gives the region when it is over.
func simulateFaultDay(seed uint64, d faultDay) *Region {
	rnd := rand.New(rand.NewPCG(seed, 61))
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	log := testLogger()
	jobs, each := 36, 8
	if d.scarceCapacity {
		jobs, each = 60, 3
	}
	r := newThreeControllerRegion(ctx, d.settings, each, seed, log)
	r.wg.Go(func() { r.QueryUnknownJobs(ctx) })
	r.wg.Go(func() { r.watchLeader(ctx) })
	over := 300 // s within which they come
	if d.teamsAtLimit {
		jobs, over = 60, 60 // most of them wait for their team's limit as the troubles come
	}
	for i := range jobs {
		spec, run, stop := d.spec(rnd, i+1)
		at := time.Duration(rnd.IntN(over)) * time.Second
		r.wg.Go(func() {
			time.Sleep(at)
			r.SimulateUser(ctx, spec, run, stop)
		})
	}
	// The last tasks of a job with several records end in changes of further ones.
	for i := range 4 {
		many := wire.JobSpec{ID: fmt.Sprintf("run-%06d", 900+i), Class: "many", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tuning.ChunkTasks + 5,
			CPUs: 0.1, MemoryGB: 0.2, Image: "img-1", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 30}}
		r.wg.Go(func() {
			time.Sleep(time.Duration(20+50*i) * time.Second)
			r.SimulateUser(ctx, many, 30, 0)
		})
	}
	time.Sleep(time.Duration(25+rnd.IntN(20)) * time.Second)
	last := time.Now()
	times := d.rounds
	if times == 0 {
		times = 3
	}
	for range times {
		for _, name := range d.faults {
			until := time.Now().Add(time.Duration(10+rnd.IntN(80)) * time.Second)
			if times < 3 {
				until = until.Add(time.Minute)
			}
			log.Info("TROUBLE", "what", name, "until", until.Sub(start))
			injectFault(r, rnd, name, until)
			if until.After(last) {
				last = until
			}
			time.Sleep(time.Duration(rnd.IntN(8000)) * time.Millisecond)
		}
		time.Sleep(time.Duration(10+rnd.IntN(70)) * time.Second)
	}
	time.Sleep(max(time.Until(last), 5*time.Minute-time.Since(start)) + r.Settings.Lease() + r.Settings.Cancel() + 40*time.Second)
	r.Checker.FaultsEnded()
	r.waitUntilFinished(90)
	time.Sleep(80 * time.Second)
	if !d.scarceCapacity && !d.teamsAtLimit {
		r.Checker.CheckServedShares() // a region that is too small for its work may leave its largest jobs late
	}
	cancel()
	r.Wait()
	time.Sleep(3 * time.Minute) // requests still on their way
	r.Checker.Observe("copies", r.HeartbeatCopies)
	r.Checker.Observe("late writes", r.KV.LateWritesApplied)
	r.Checker.Observe("lost answers read elsewhere", r.KV.LostAnswersRead)
	return r
}

// watchLeader counts changes of the leader, and whether a team was at its limit then.
func (r *Region) watchLeader(ctx context.Context) {
	r.onTokenIncrease(ctx, 100*time.Millisecond, time.Now().Add(24*time.Hour), r.leaderToken, func() {
		r.Checker.Observe("changes of leader", 1)
		if r.Checker.TeamLimitReached() {
			r.Checker.Observe("a team at its limit as the leader changes", 1)
		}
	})
}

// checkDay fails a day that broke a rule or left a job behind.
func checkDay(t *testing.T, r *Region) {
	t.Helper()
	if len(r.Checker.Violations) > 0 {
		t.Errorf("broken rules:\n%s", strings.Join(r.Checker.Violations[:min(len(r.Checker.Violations), 12)], "\n"))
	}
	if len(r.KV.Violations) > 0 {
		t.Errorf("requests over the state service's limits:\n%s", strings.Join(r.KV.Violations, "\n"))
	}
	if left := r.Checker.UnfinishedJobs(); len(left) > 0 {
		t.Errorf("never finished: %v", left)
	}
}

// TestFaultCombinations plays each meeting of the operators' page on a fixed seed, and shows that it took place.
// MEETING_SEEDS plays more of each, MEETING_EVERY only every so-manieth.
func TestFaultCombinations(t *testing.T) {
	for i, m := range faultCombinations {
		if i%environmentInt("MEETING_EVERY", 1) != 0 {
			continue
		}
		for k := range environmentInt("MEETING_SEEDS", 1) {
			t.Run(fmt.Sprintf("%d %s, seed %d", i+1, m.name, k), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := simulateFaultDay(uint64(1000*k+i+1), m.faultDay)
					checkDay(t, r)
					for _, what := range m.met {
						if r.Checker.Observed[what] == 0 {
							t.Errorf("the day did not have it: %s (%v)", what, r.Checker.Observed)
						}
					}
					t.Logf("%d starts, %v", r.Checker.TaskStarts, r.Checker.Observed)
				})
			})
		}
	}
}

// shuffledFaultPairs gives all pairs of troubles in a mixed order, each trouble alone among them.
func shuffledFaultPairs() [][2]int {
	var out [][2]int
	for i := range faultCatalogue {
		for k := range i + 1 {
			out = append(out, [2]int{k, i})
		}
	}
	rand.New(rand.NewPCG(1, 63)).Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

// TestFaultPairs plays pairs of troubles, each on its own seed; a pair of one with itself is a day on which it
// comes alone. MEETING_DAYS says how many (all pairs take as many as the last line says), MEETING_FIRST
// with which to begin.
func TestFaultPairs(t *testing.T) {
	all := shuffledFaultPairs()
	first, days := environmentInt("MEETING_FIRST", 0), environmentInt("MEETING_DAYS", 8)
	for i := first; i < first+days; i++ {
		p := all[i%len(all)]
		d := faultDay{faults: []string{faultCatalogue[p[0]].name}}
		if p[1] != p[0] {
			d.faults = append(d.faults, faultCatalogue[p[1]].name)
		}
		t.Run(fmt.Sprint(i, " ", strings.Join(d.faults, " and ")), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkDay(t, simulateFaultDay(uint64(i)+1, d)) })
		})
	}
	t.Logf("days %d to %d, there are %d pairs", first, first+days-1, len(all))
}
