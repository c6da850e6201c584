package zonehealth

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
)

// transitions lists the permitted transitions, as in the table of the package comment.
var transitions = map[State][]State{
	Serving:     {Suspected, Partitioned},
	Suspected:   {Serving, Partitioned},
	Partitioned: {Lost, Returning},
	Lost:        {Returning},
	Returning:   {Serving, Partitioned},
}

var (
	testTiming = Timing{LeaseDuration: 45 * time.Second, ReconnectTime: 20 * time.Second}
	testStart  = time.Unix(1_800_000_000, 0)
)

func drawHeartbeatCount(t *rapid.T) HeartbeatCount {
	expected := rapid.IntRange(0, 12).Draw(t, "expected")
	return HeartbeatCount{
		Expected:         expected,
		Received:         rapid.IntRange(0, expected).Draw(t, "received"),
		ControllerInZone: rapid.Bool().Draw(t, "controller in zone"),
	}
}

// transitionModel holds the state of each zone as derived from the reported transitions.
type transitionModel struct {
	since  map[string]time.Time
	states map[string]State
}

// apply checks a transition against the table and against the previous transition of the zone.
func (m *transitionModel) apply(t *rapid.T, now time.Time, change Transition) {
	former := m.states[change.Zone]
	if !slices.Contains(transitions[change.From], change.To) || change.From != former ||
		change.TimeInFormerState != now.Sub(m.since[change.Zone]) {
		t.Fatalf("invalid transition %+v of a zone that has been %v since %v", change, former, m.since[change.Zone])
	}
	if (change.WaitingFor == "") != (change.To == Serving) {
		t.Fatalf("WaitingFor must be empty if and only if the zone serves: %+v", change)
	}
	m.states[change.Zone], m.since[change.Zone] = change.To, now
}

// checkZone checks a zone's state against the model and against the heartbeats just counted.
func (m *transitionModel) checkZone(t *rapid.T, tracker *Tracker, zone string, count HeartbeatCount) {
	if tracker.State(zone) != m.states[zone] {
		t.Fatalf("%s is %v, the transitions reported so far lead to %v", zone, tracker.State(zone), m.states[zone])
	}
	if tracker.Unavailable(zone) && count.hasRecovered() {
		t.Fatalf("%s is unavailable at the heartbeat count %+v", zone, count)
	}
	if !tracker.Unavailable(zone) && count.isBelow(tuning.PartitionReportingShare) {
		t.Fatalf("%s is available at the heartbeat count %+v", zone, count)
	}
}

// TestTransitionsFollowTheTable observes random heartbeat counts of two zones. Each transition must
// be in the table, be returned once with the time spent in the former state, and describe what the
// new state waits for. The state of one zone must not depend on the other, and a zone must be
// unavailable only while heartbeats are missing from most of its machines.
func TestTransitionsFollowTheTable(t *testing.T) {
	zones := []string{"east", "west"}
	rapid.Check(t, func(t *rapid.T) {
		both, alone := Tracker{Timing: testTiming}, Tracker{Timing: testTiming}
		model := transitionModel{since: map[string]time.Time{}, states: map[string]State{}}
		now := testStart
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			counts := map[string]HeartbeatCount{}
			for _, zone := range zones {
				if rapid.IntRange(0, 9).Draw(t, "observed") == 0 {
					continue
				}
				counts[zone] = drawHeartbeatCount(t)
				if _, known := model.since[zone]; !known {
					model.since[zone] = now
				}
			}
			for _, change := range both.Observe(now, counts) {
				model.apply(t, now, change)
			}
			countsOfEast := map[string]HeartbeatCount{}
			if count, ok := counts["east"]; ok {
				countsOfEast["east"] = count
			}
			alone.Observe(now, countsOfEast)
			if alone.State("east") != both.State("east") || alone.Trusted("east") != both.Trusted("east") {
				t.Fatal("one zone's state depends on another")
			}
			for zone, count := range counts {
				model.checkZone(t, &both, zone, count)
			}
			available := func(zone string) bool { return !both.Unavailable(zone) }
			unavailable := slices.DeleteFunc(slices.Clone(zones), available)
			if !slices.Equal(both.UnavailableZones(), unavailable) {
				t.Fatalf("UnavailableZones returns %v", both.UnavailableZones())
			}
		}
	})
}

// TestEveryStateEnds checks that no state lasts forever, whatever a zone went through before. A zone
// whose heartbeats all arrive must serve within the longest probation, a silent zone must be lost
// within its grace period, and a zone whose machines are all deleted must serve after both.
func TestEveryStateEnds(t *testing.T) {
	longestProbation := testTiming.ReconnectTime << (tuning.ProbationMaxReturns - 1)
	for name, c := range map[string]struct {
		count  HeartbeatCount
		within time.Duration
		want   State
	}{
		"reporting": {HeartbeatCount{Expected: 10, Received: 10}, longestProbation, Serving},
		"silent":    {HeartbeatCount{Expected: 10}, testTiming.LeaseDuration, Lost},
		"controller in zone": {
			HeartbeatCount{Expected: 10, ControllerInZone: true},
			max(testTiming.LeaseDuration, tuning.PartitionedZoneControllerGrace), Lost,
		},
		"deleted": {HeartbeatCount{}, testTiming.LeaseDuration + longestProbation, Serving},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tracker, now := Tracker{Timing: testTiming}, testStart
				for range rapid.IntRange(1, 40).Draw(t, "observations") {
					now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
					tracker.Observe(now, map[string]HeartbeatCount{"east": drawHeartbeatCount(t)})
				}
				for until := now.Add(c.within + 3*time.Second); now.Before(until); now = now.Add(time.Second) {
					tracker.Observe(now, map[string]HeartbeatCount{"east": c.count})
				}
				if got := tracker.State("east"); got != c.want {
					t.Fatalf("state is %v, want %v; it waits for %s", got, c.want, tracker.WaitingFor(now, "east"))
				}
			})
		})
	}
}

// flappingZone is a zone whose heartbeats stop and resume, and which is observed every second.
type flappingZone struct {
	tracker Tracker
	now     time.Time
}

func (z *flappingZone) observe(received int, duration time.Duration) {
	count := HeartbeatCount{Expected: 10, Received: received}
	for until := z.now.Add(duration); z.now.Before(until); z.now = z.now.Add(time.Second) {
		z.tracker.Observe(z.now, map[string]HeartbeatCount{"east": count})
	}
}

// loseAndReturn stops the heartbeats, resumes them and returns how long the zone is on probation.
func (z *flappingZone) loseAndReturn(t *testing.T) time.Duration {
	z.observe(0, 10*time.Second)
	isReturning := z.tracker.ReturningSince("east") != (time.Time{})
	if !z.tracker.Unavailable("east") || z.tracker.Trusted("east") || isReturning {
		t.Fatalf("zone is %v after 10 s of silence, must be unavailable and not trusted", z.tracker.State("east"))
	}
	from := z.now
	z.observe(10, time.Second)
	for z.tracker.State("east") == Returning {
		z.observe(10, time.Second)
	}
	return z.now.Sub(from)
}

// TestFlappingIsDamped checks the probation of a zone that flaps. Each probation must be at least as
// long as the previous one and no longer than the bound. From the second return on, the zone must
// not be trusted until it serves. After it has served for long enough, all returns are forgiven and
// the probation has its original length.
func TestFlappingIsDamped(t *testing.T) {
	zone := &flappingZone{tracker: Tracker{Timing: testTiming}, now: testStart}
	longestProbation := testTiming.ReconnectTime << (tuning.ProbationMaxReturns - 1)
	zone.observe(10, time.Second)
	former := time.Duration(0)
	for i := range 2 * tuning.ProbationMaxReturns {
		zone.observe(0, 10*time.Second)
		zone.observe(10, time.Second)
		trusted := zone.tracker.Trusted("east")
		if trusted != (i == 0) || zone.tracker.ReturningSince("east").IsZero() {
			t.Fatalf("return %d: Trusted is %v, or the zone is not returning", i+1, trusted)
		}
		probation := zone.loseAndReturn(t)
		if probation < former || probation > longestProbation+2*time.Second {
			t.Fatalf("return %d: probation of %v, the previous one took %v", i+1, probation, former)
		}
		former = probation
	}
	zone.observe(10, tuning.ProbationMaxReturns*tuning.ProbationForgiveAfter)
	if probation := zone.loseAndReturn(t); probation > testTiming.ReconnectTime+2*time.Second {
		t.Fatalf("probation of %v after all returns were forgiven", probation)
	}
}

// TestReturnsAreForgivenOneByOne checks that each tuning.ProbationForgiveAfter that a zone
// serves forgives exactly one of its returns.
func TestReturnsAreForgivenOneByOne(t *testing.T) {
	zone := &flappingZone{tracker: Tracker{Timing: testTiming}, now: testStart}
	zone.observe(10, time.Second)
	for range tuning.ProbationMaxReturns {
		zone.loseAndReturn(t)
	}
	history := zone.tracker.history("east")
	for want := tuning.ProbationMaxReturns; want > 0; want-- {
		if history.state != Serving || history.unforgivenReturns != want {
			t.Fatalf("zone is %v with %d returns, want serving with %d", history.state, history.unforgivenReturns, want)
		}
		zone.observe(10, tuning.ProbationForgiveAfter)
	}
	if history.unforgivenReturns != 0 {
		t.Fatalf("%d returns are still not forgiven", history.unforgivenReturns)
	}
}
