package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// refusalDay is a day on which the key-value store refuses the leader alone, whose open watches hang; the
// others go on for a moment and confirm cancellations; then it is away for everybody, for longer than a
// cancellation may take, while agents go on sending heartbeats to the old leader, which
// knows nothing of all that. Drawn are the spans, whether the leader is refused ahead of, within or
// after the outage, whether its process ends in the gap and comes back without a cluster state, and from
// which schema version on the day begins: below tuning.SchemaVersionConfirmedCancel cancellations are confirmed
// at once, and the version may rise just before the gap.
type refusalDay struct {
	random *rand.Rand
	region *Region
	// plantsDefect lets the users of a dozen jobs ask within a second of the refusal and take what is only
	// recorded for confirmed, while nobody can take the leader's shards over before the outage.
	plantsDefect bool
	oldVersion   bool // all begin below the version, and one after the other is replaced
	leader       int
	outage       time.Duration
}

// refusalAt is when the refusal comes, counted from the start of the day.
const refusalAt = 40 * time.Second

// secondsIn draws a duration from a range of seconds.
func (d *refusalDay) secondsIn(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*d.random.Float64()) * float64(time.Second))
}

func simulateRefusalDay(seed uint64, plantsDefect bool) *Region {
	ctx, cancel := context.WithCancel(context.Background())
	r := testRegion{
		settings:        faultDaySettings,
		capacityPerKind: 12,
		random:          newRandom(seed, streamRefusalRegion),
	}.start(ctx)
	r.ConfirmsCancellationsEarly = plantsDefect
	d := refusalDay{random: newRandom(seed, streamRefusalDay), region: r, plantsDefect: plantsDefect}
	d.oldVersion = oneInThree(d.random) && !plantsDefect
	for i := range threeControllers {
		r.AddController(ctx, faultDaySettings(i))
		if d.oldVersion {
			r.KillController(i)
			r.controllers[i].SchemaVersion = tuning.SchemaVersionConfirmedCancel - 1
			r.StartController(ctx, i)
		}
	}
	for i := range 36 {
		d.submit(ctx, i+1)
	}
	d.sleepUntilRefusal(ctx)
	d.outage = r.Settings.CancelDeadline() + d.secondsIn(2, 30)
	d.leader = r.LeaderIndex()
	d.refuseAroundOutage(ctx)
	if oneInThree(d.random) && !plantsDefect {
		time.Sleep(d.secondsIn(0, 20))
		r.RestartController(ctx, d.leader, d.secondsIn(0.2, 6))
	}
	time.Sleep(d.outage + 4*time.Minute)
	r.end(cancel)
	return r
}

// submit draws a job; most are cancelled within 5 s of the refusal.
func (d *refusalDay) submit(ctx context.Context, number int) {
	spec := newSpec(number, wire.KindArray)
	spec.TaskCount = 1 + d.random.IntN(6)
	if d.random.IntN(4) == 0 {
		spec.Kind, spec.Priority, spec.TaskCount = wire.KindGang, wire.PriorityHigh, 1+d.random.IntN(3)
	}
	spec.RuntimeEstimateSeconds = 200
	delay, cancelAfter := d.secondsIn(0, 10), time.Duration(0)
	if d.random.IntN(5) > 0 {
		cancelAfter = refusalAt - delay + d.secondsIn(-5, 4)
	}
	d.region.SimulateUserAfter(ctx, delay, userJob{spec, 250, cancelAfter})
}

// sleepUntilRefusal replaces old controllers meanwhile, about the time of the refusal.
func (d *refusalDay) sleepUntilRefusal(ctx context.Context) {
	replacement := d.secondsIn(-12, 3)
	if !d.oldVersion {
		time.Sleep(refusalAt)
		return
	}
	time.Sleep(refusalAt + replacement)
	for i := range threeControllers {
		d.region.controllers[i].SchemaVersion = tuning.SchemaVersion
		d.region.RestartController(ctx, i, 300*time.Millisecond)
		time.Sleep(800 * time.Millisecond)
	}
}

func (d *refusalDay) refuseLeader(duration time.Duration) {
	d.region.KV.RefuseNode(d.region.ControllerName(d.leader), time.Now().Add(duration))
}

func (d *refusalDay) startOutage() { d.region.KV.StartOutage(time.Now().Add(d.outage)) }

// refuseAroundOutage draws whether the leader is refused within the outage, after it or ahead of it.
func (d *refusalDay) refuseAroundOutage(ctx context.Context) {
	order := d.random.IntN(4)
	switch {
	case d.plantsDefect:
		d.cancelDuringRefusal(ctx)
		d.startOutage()
	case order == 0: // within: only the end of the outage shows that it was refused
		d.startOutage()
		time.Sleep(d.secondsIn(1, 10))
		d.refuseLeader(d.outage)
	case order == 1: // after
		d.startOutage()
		time.Sleep(d.outage)
		d.refuseLeader(d.secondsIn(2, 20))
	default: // ahead
		d.refuseLeader(d.secondsIn(2, 25))
		// Within a session's time nobody takes the leader's shards over; later somebody may.
		if oneInTwo(d.random) {
			time.Sleep(d.secondsIn(0.8, 2.8))
		} else {
			time.Sleep(d.secondsIn(3, 9))
		}
		d.startOutage()
	}
}

func (d *refusalDay) cancelDuringRefusal(ctx context.Context) {
	d.refuseLeader(20 * time.Second)
	time.Sleep(300 * time.Millisecond)
	for i := range 12 {
		d.region.wg.Go(func() { d.region.CancelJob(ctx, jobID(i+1)) })
	}
	time.Sleep(d.secondsIn(1.6, 2.2))
}

// TestCancellationsDuringOutage: what is confirmed ends in time all the same, and what can't be confirmed is
// confirmed later and not never. GAP_DAYS plays more of these days.
func TestCancellationsDuringOutage(t *testing.T) {
	var allWaited []time.Duration
	for seed := range uint64(environmentInt("GAP_DAYS", 5)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := simulateRefusalDay(seed+1, false)
				checkViolations(t, r)
				waited, open := r.Checker.CancellationDurations()
				allWaited = append(allWaited, waited...)
				t.Logf("%d confirmed after %v to %v, %d not confirmed",
					len(waited), waited[:min(1, len(waited))], waited[max(0, len(waited)-1):], open)
				if len(waited) < 5 || open > 0 {
					t.Errorf("%d cancellations confirmed, %d never", len(waited), open)
				}
			})
		})
	}
	soon := 0
	for _, waited := range allWaited {
		if waited < 10*time.Second {
			soon++
		}
	}
	t.Logf("%d cancellations confirmed, %d of them within 10 s", len(allWaited), soon)
}

// TestCheckerDetectsEarlyConfirmation: on such a day the checker sees the rule break where a cancellation is
// confirmed as soon as it is recorded.
func TestCheckerDetectsEarlyConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := simulateRefusalDay(1, true)
		if !r.Checker.Violations.Has(RuleRanCancelled) {
			waited, open := r.Checker.CancellationDurations()
			t.Errorf("no rule breaks though cancellations are confirmed early: %v, %d open", waited, open)
		}
	})
}
