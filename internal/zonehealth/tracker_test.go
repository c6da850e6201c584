package zonehealth

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
	"sableusher/internal/tuning"
)

func TestMain(m *testing.M) { testrand.Main(m) }

// transitions is the table of the package's page.
var transitions = map[State][]State{
	Serving: {Doubted, Cut}, Doubted: {Serving, Cut}, Cut: {Lost, Returning}, Lost: {Returning}, Returning: {Serving, Cut},
}

var (
	testTiming = Timing{LeaseDuration: 45 * time.Second, ReconnectTime: 20 * time.Second}
	start      = time.Unix(1_800_000_000, 0)
)

func drawHeartbeatCount(t *rapid.T) HeartbeatCount {
	up := rapid.IntRange(0, 12).Draw(t, "up")
	return HeartbeatCount{Expected: up, Received: rapid.IntRange(0, up).Draw(t, "heard"), ControllerInZone: rapid.Bool().Draw(t, "inside")}
}

// TestLifeFollowsItsTable: over any history of two zones each passage is one of the table, is
// told once with the time in the state before, and says what the new state waits for; a zone
// never depends on the other; one is out only while hardly any of its machines is heard.
func TestTransitionsFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		both, alone := Tracker{Timing: testTiming}, Tracker{Timing: testTiming}
		now, since, state := start, map[string]time.Time{}, map[string]State{}
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			heard := map[string]HeartbeatCount{}
			for _, name := range []string{"east", "west"} {
				if rapid.IntRange(0, 9).Draw(t, "told") > 0 {
					heard[name] = drawHeartbeatCount(t)
				}
				if _, ok := since[name]; !ok {
					if _, told := heard[name]; told {
						since[name] = now
					}
				}
			}
			for _, c := range both.Observe(now, heard) {
				if !slices.Contains(transitions[c.From], c.To) || c.From != state[c.Zone] || c.TimeInFormerState != now.Sub(since[c.Zone]) {
					t.Fatalf("%+v from %v since %v", c, state[c.Zone], since[c.Zone])
				}
				if (c.WaitingFor == "") != (c.To == Serving) {
					t.Fatalf("%+v", c)
				}
				state[c.Zone], since[c.Zone] = c.To, now
			}
			only := map[string]HeartbeatCount{}
			if h, ok := heard["east"]; ok {
				only["east"] = h
			}
			alone.Observe(now, only)
			if alone.State("east") != both.State("east") || alone.Trusted("east") != both.Trusted("east") {
				t.Fatal("one zone's state depends on another")
			}
			for name, h := range heard {
				if both.State(name) != state[name] {
					t.Fatalf("%s is %v, told %v", name, both.State(name), state[name])
				}
				if both.Unavailable(name) && h.recovered() {
					t.Fatalf("%s is out with %+v", name, h)
				}
				if !both.Unavailable(name) && h.below(tuning.CutHeard) {
					t.Fatalf("%s is used with %+v", name, h)
				}
			}
			if !slices.Equal(both.UnavailableZones(), slices.DeleteFunc([]string{"east", "west"}, func(n string) bool { return !both.Unavailable(n) })) {
				t.Fatalf("%v out", both.UnavailableZones())
			}
		}
	})
}

// TestEveryStateEnds: from wherever a history has led, a zone that is heard serves within its
// longest probation, one that is silent is lost within what its machines are spared for, and
// one whose machines are all gone serves again after both.
func TestEveryStateEnds(t *testing.T) {
	longest := testTiming.ReconnectTime << (tuning.ProbationReturns - 1)
	for name, c := range map[string]struct {
		tally  HeartbeatCount
		within time.Duration
		want   State
	}{
		"heard":       {HeartbeatCount{Expected: 10, Received: 10}, longest, Serving},
		"silent":      {HeartbeatCount{Expected: 10}, testTiming.LeaseDuration, Lost},
		"held inside": {HeartbeatCount{Expected: 10, ControllerInZone: true}, max(testTiming.LeaseDuration, tuning.CutInside), Lost},
		"gone":        {HeartbeatCount{}, testTiming.LeaseDuration + longest, Serving},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				z, now := Tracker{Timing: testTiming}, start
				for range rapid.IntRange(1, 40).Draw(t, "looks") {
					now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
					z.Observe(now, map[string]HeartbeatCount{"east": drawHeartbeatCount(t)})
				}
				for until := now.Add(c.within + 3*time.Second); now.Before(until); now = now.Add(time.Second) {
					z.Observe(now, map[string]HeartbeatCount{"east": c.tally})
				}
				if got := z.State("east"); got != c.want {
					t.Fatalf("%v, not %v: waits for %s", got, c.want, z.WaitingFor(now, "east"))
				}
			})
		})
	}
}

// TestFlappingIsDamped: each return of a zone that comes and goes is watched at least as long as
// the one before and no longer than the bound; from the second on it is not trusted until it
// serves; and each ProbationForgive of service takes one return back.
func TestFlappingIsDamped(t *testing.T) {
	z, now := Tracker{Timing: testTiming}, start
	look := func(tally HeartbeatCount, d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(time.Second) {
			z.Observe(now, map[string]HeartbeatCount{"east": tally})
		}
	}
	good, silent := HeartbeatCount{Expected: 10, Received: 10}, HeartbeatCount{Expected: 10}
	watched := func() time.Duration {
		look(silent, 10*time.Second)
		if !z.Unavailable("east") || z.Trusted("east") || z.ReturningSince("east") != (time.Time{}) {
			t.Fatalf("%v after 10 s of silence", z.State("east"))
		}
		from := now
		for look(good, time.Second); z.State("east") == Returning; look(good, time.Second) {
		}
		return now.Sub(from)
	}
	look(good, time.Second)
	last := time.Duration(0)
	for i := range 2 * tuning.ProbationReturns {
		look(silent, 10*time.Second)
		look(good, time.Second)
		if trusted := z.Trusted("east"); trusted != (i == 0) || z.ReturningSince("east").IsZero() {
			t.Fatalf("return %d: trusted is %v", i+1, trusted)
		}
		took := watched()
		if took < last || took > testTiming.ReconnectTime<<(tuning.ProbationReturns-1)+2*time.Second {
			t.Fatalf("return %d watched for %v, the one before for %v", i+1, took, last)
		}
		last = took
	}
	look(good, tuning.ProbationReturns*tuning.ProbationForgive)
	if took := watched(); took > testTiming.ReconnectTime+2*time.Second {
		t.Fatalf("forgiven, and watched for %v", took)
	}
}
