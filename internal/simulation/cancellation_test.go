package simulation

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// refusalScenario is a scenario with two faults of the key-value store. In the refusal, the store refuses the requests
// of the leader alone, whose open watches hang, while the other controllers can confirm cancellations. In the outage,
// the store is unavailable to all controllers, for longer than a cancellation may take. Agents go on sending heartbeats
// to the leader, which does not learn of cancellations that other controllers confirm during the refusal.
//
// The seed determines the durations; whether the refusal starts before, during or after the outage; whether the leader
// is restarted within 20 s after both have started, so that its new process has no cluster state; and the schema
// version at the start. Below tuning.SchemaVersionConfirmedCancel cancellations are confirmed at once, and the version
// may rise just before the refusal.
type refusalScenario struct {
	random *rand.Rand
	region *Region
	// confirmsEarly injects a defect: users treat a cancellation as confirmed as soon as it is recorded. The users of
	// twelve jobs cancel within a second of the refusal, and the outage starts before any controller can take over the
	// leader's shards.
	confirmsEarly bool
	// oldVersion makes all controllers start below tuning.SchemaVersionConfirmedCancel; they are replaced one by one.
	oldVersion bool
	leader     int
	outage     time.Duration
}

// refusalAt is when the refusal starts, counted from the start of the scenario.
const refusalAt = 40 * time.Second

// secondsIn returns a random duration between two numbers of seconds.
func (s *refusalScenario) secondsIn(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*s.random.Float64()) * float64(time.Second))
}

func simulateRefusalScenario(seed uint64, confirmsEarly bool) *Region {
	ctx, cancel := context.WithCancel(context.Background())
	r := testRegion{
		settings:        faultScenarioSettings,
		capacityPerKind: 12,
		random:          newRandom(seed, streamRefusalRegion),
	}.start(ctx)
	r.ConfirmsCancellationsEarly = confirmsEarly
	s := refusalScenario{random: newRandom(seed, streamRefusalScenario), region: r, confirmsEarly: confirmsEarly}
	s.oldVersion = oneInThree(s.random) && !confirmsEarly
	for i := range threeControllers {
		r.AddController(ctx, faultScenarioSettings(i))
		if s.oldVersion {
			r.KillController(i)
			r.controllers[i].SchemaVersion = tuning.SchemaVersionConfirmedCancel - 1
			r.StartController(ctx, i)
		}
	}
	for i := range 36 {
		s.submit(ctx, i+1)
	}
	s.sleepUntilRefusal(ctx)
	s.outage = r.Settings.CancelDeadline() + s.secondsIn(2, 30)
	s.leader = r.LeaderIndex()
	s.refuseAroundOutage(ctx)
	if oneInThree(s.random) && !confirmsEarly {
		time.Sleep(s.secondsIn(0, 20))
		r.RestartController(ctx, s.leader, s.secondsIn(0.2, 6))
	}
	time.Sleep(s.outage + 4*time.Minute)
	r.end(cancel)
	return r
}

// submit submits a random array or gang. Four in five jobs are cancelled, from 5 s before the refusal starts to 9 s
// after its start: a cancellation becomes due from 5 s before to 4 s after it, and the user, who polls the job every
// 5 s, sends it at the next poll.
func (s *refusalScenario) submit(ctx context.Context, number int) {
	spec := newSpec(number, wire.KindArray)
	spec.TaskCount = 1 + s.random.IntN(6)
	if s.random.IntN(4) == 0 {
		spec.Kind, spec.Priority, spec.TaskCount = wire.KindGang, wire.PriorityHigh, 1+s.random.IntN(3)
	}
	spec.RuntimeEstimateSeconds = 200
	delay, cancelAfter := s.secondsIn(0, 10), time.Duration(0)
	if s.random.IntN(5) > 0 {
		cancelAfter = refusalAt - delay + s.secondsIn(-5, 4)
	}
	s.region.SimulateUserAfter(ctx, delay, userJob{spec, 250, cancelAfter})
}

// sleepUntilRefusal sleeps until the refusal. If the controllers have an old schema version, it replaces them at about
// that time.
func (s *refusalScenario) sleepUntilRefusal(ctx context.Context) {
	replacement := s.secondsIn(-12, 3)
	if !s.oldVersion {
		time.Sleep(refusalAt)
		return
	}
	time.Sleep(refusalAt + replacement)
	for i := range threeControllers {
		s.region.controllers[i].SchemaVersion = tuning.SchemaVersion
		s.region.RestartController(ctx, i, 300*time.Millisecond)
		time.Sleep(800 * time.Millisecond)
	}
}

func (s *refusalScenario) refuseLeader(duration time.Duration) {
	s.region.KV.RefuseNode(s.region.ControllerName(s.leader), time.Now().Add(duration))
}

func (s *refusalScenario) startOutage() { s.region.KV.StartOutage(time.Now().Add(s.outage)) }

// refuseAroundOutage starts the outage, and refuses the leader during it, after it or before it, chosen at random.
func (s *refusalScenario) refuseAroundOutage(ctx context.Context) {
	order := s.random.IntN(4)
	switch {
	case s.confirmsEarly:
		s.cancelDuringRefusal(ctx)
		s.startOutage()
	case order == 0: // during: the refusal shows only once the outage has ended
		s.startOutage()
		time.Sleep(s.secondsIn(1, 10))
		s.refuseLeader(s.outage)
	case order == 1: // after
		s.startOutage()
		time.Sleep(s.outage)
		s.refuseLeader(s.secondsIn(2, 20))
	default: // before
		s.refuseLeader(s.secondsIn(2, 25))
		// Until the leader's session expires no controller takes its shards over; later one may.
		if oneInTwo(s.random) {
			time.Sleep(s.secondsIn(0.8, 2.8))
		} else {
			time.Sleep(s.secondsIn(3, 9))
		}
		s.startOutage()
	}
}

// cancelDuringRefusal refuses the leader and has twelve users cancel their jobs. Those who reach the leader repeat the
// cancellation until another controller has recorded it.
func (s *refusalScenario) cancelDuringRefusal(ctx context.Context) {
	s.refuseLeader(20 * time.Second)
	time.Sleep(300 * time.Millisecond)
	for i := range 12 {
		s.region.wg.Go(func() {
			const attempts = 12
			for range attempts {
				s.region.CancelJob(ctx, jobID(i+1))
				if s.region.cancelRecorded(jobID(i + 1)) {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(s.secondsIn(1.6, 2.2))
}

// TestCancellationsDuringOutage checks that jobs whose cancellation is confirmed end in time despite the outage, and
// that a cancellation that can't be confirmed at first is confirmed later. GAP_DAYS sets the number of scenarios.
func TestCancellationsDuringOutage(t *testing.T) {
	var allWaited []time.Duration
	simulateSeeds(t, "GAP_DAYS", 5, func(t *testing.T, seed uint64) {
		r := simulateRefusalScenario(seed+1, false)
		checkViolations(t, r)
		waited, open := r.Checker.CancellationDurations()
		allWaited = append(allWaited, waited...)
		t.Logf("%d confirmed after %v to %v, %d not confirmed",
			len(waited), waited[:min(1, len(waited))], waited[max(0, len(waited)-1):], open)
		if len(waited) < 5 || open > 0 {
			t.Errorf("%d cancellations confirmed, %d never", len(waited), open)
		}
	})
	confirmedWithin10s := 0
	for _, waited := range allWaited {
		if waited < 10*time.Second {
			confirmedWithin10s++
		}
	}
	t.Logf("%d cancellations confirmed, %d of them within 10 s", len(allWaited), confirmedWithin10s)
}

// TestCheckerDetectsEarlyConfirmation checks that the checker reports a violation if users receive the confirmation of
// a cancellation as soon as it is recorded.
func TestCheckerDetectsEarlyConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := simulateRefusalScenario(1, true)
		if !r.Checker.Violations.Has(RuleRanAfterCancellation) {
			waited, open := r.Checker.CancellationDurations()
			t.Errorf("no violation found although cancellations are confirmed early: %v, %d open", waited, open)
		}
	})
}
