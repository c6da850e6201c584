package zone

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/seeded"
	"sableusher/internal/tuning"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// passages is the table of the package's page.
var passages = map[State][]State{
	Serving: {Doubted, Cut}, Doubted: {Serving, Cut}, Cut: {Lost, Returning}, Lost: {Returning}, Returning: {Serving, Cut},
}

var (
	rules = Rules{Lease: 45 * time.Second, Back: 20 * time.Second}
	start = time.Unix(1_800_000_000, 0)
)

func drawTally(t *rapid.T) Tally {
	up := rapid.IntRange(0, 12).Draw(t, "up")
	return Tally{Up: up, Heard: rapid.IntRange(0, up).Draw(t, "heard"), Inside: rapid.Bool().Draw(t, "inside")}
}

// TestLifeFollowsItsTable: over any history of two zones each passage is one of the table, is
// told once with the time in the state before, and says what the new state waits for; a zone
// never depends on the other; one is out only while hardly any of its machines is heard.
func TestLifeFollowsItsTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		both, alone := Zones{Rules: rules}, Zones{Rules: rules}
		now, since, state := start, map[string]time.Time{}, map[string]State{}
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			heard := map[string]Tally{}
			for _, name := range []string{"east", "west"} {
				if rapid.IntRange(0, 9).Draw(t, "told") > 0 {
					heard[name] = drawTally(t)
				}
				if _, ok := since[name]; !ok {
					if _, told := heard[name]; told {
						since[name] = now
					}
				}
			}
			for _, c := range both.Look(now, heard) {
				if !slices.Contains(passages[c.From], c.To) || c.From != state[c.Zone] || c.After != now.Sub(since[c.Zone]) {
					t.Fatalf("%+v from %v since %v", c, state[c.Zone], since[c.Zone])
				}
				if (c.Waits == "") != (c.To == Serving) {
					t.Fatalf("%+v", c)
				}
				state[c.Zone], since[c.Zone] = c.To, now
			}
			only := map[string]Tally{}
			if h, ok := heard["east"]; ok {
				only["east"] = h
			}
			alone.Look(now, only)
			if alone.State("east") != both.State("east") || alone.Trusted("east") != both.Trusted("east") {
				t.Fatal("one zone's state depends on another")
			}
			for name, h := range heard {
				if both.State(name) != state[name] {
					t.Fatalf("%s is %v, told %v", name, both.State(name), state[name])
				}
				if both.Out(name) && h.back() {
					t.Fatalf("%s is out with %+v", name, h)
				}
				if !both.Out(name) && h.below(tuning.CutHeard) {
					t.Fatalf("%s is used with %+v", name, h)
				}
			}
			if !slices.Equal(both.Outs(), slices.DeleteFunc([]string{"east", "west"}, func(n string) bool { return !both.Out(n) })) {
				t.Fatalf("%v out", both.Outs())
			}
		}
	})
}

// TestEveryStateEnds: from wherever a history has led, a zone that is heard serves within its
// longest probation, one that is silent is lost within what its machines are spared for, and
// one whose machines are all gone serves again after both.
func TestEveryStateEnds(t *testing.T) {
	longest := rules.Back << (tuning.ProbationReturns - 1)
	for name, c := range map[string]struct {
		tally  Tally
		within time.Duration
		want   State
	}{
		"heard":       {Tally{Up: 10, Heard: 10}, longest, Serving},
		"silent":      {Tally{Up: 10}, rules.Lease, Lost},
		"held inside": {Tally{Up: 10, Inside: true}, max(rules.Lease, tuning.CutInside), Lost},
		"gone":        {Tally{}, rules.Lease + longest, Serving},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				z, now := Zones{Rules: rules}, start
				for range rapid.IntRange(1, 40).Draw(t, "looks") {
					now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
					z.Look(now, map[string]Tally{"east": drawTally(t)})
				}
				for until := now.Add(c.within + 3*time.Second); now.Before(until); now = now.Add(time.Second) {
					z.Look(now, map[string]Tally{"east": c.tally})
				}
				if got := z.State("east"); got != c.want {
					t.Fatalf("%v, not %v: waits for %s", got, c.want, z.Waits(now, "east"))
				}
			})
		})
	}
}

// TestFlappingIsDamped: each return of a zone that comes and goes is watched at least as long as
// the one before and no longer than the bound; from the second on it is not trusted until it
// serves; and each ProbationForgive of service takes one return back.
func TestFlappingIsDamped(t *testing.T) {
	z, now := Zones{Rules: rules}, start
	look := func(tally Tally, d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(time.Second) {
			z.Look(now, map[string]Tally{"east": tally})
		}
	}
	good, silent := Tally{Up: 10, Heard: 10}, Tally{Up: 10}
	watched := func() time.Duration {
		look(silent, 10*time.Second)
		if !z.Out("east") || z.Trusted("east") || z.Returned("east") != (time.Time{}) {
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
		if trusted := z.Trusted("east"); trusted != (i == 0) || z.Returned("east").IsZero() {
			t.Fatalf("return %d: trusted is %v", i+1, trusted)
		}
		took := watched()
		if took < last || took > rules.Back<<(tuning.ProbationReturns-1)+2*time.Second {
			t.Fatalf("return %d watched for %v, the one before for %v", i+1, took, last)
		}
		last = took
	}
	look(good, tuning.ProbationReturns*tuning.ProbationForgive)
	if took := watched(); took > rules.Back+2*time.Second {
		t.Fatalf("forgiven, and watched for %v", took)
	}
}
