package silence

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/evacuate"
	"sableusher/internal/seeded"
	"sableusher/internal/zone"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var (
	rules = Rules{Report: 6 * time.Second, Lease: 31 * time.Second}
	start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// holds gives the tasks of a machine: a service of two replicas if it moves, else an array's.
func holds(m *Machine) []evacuate.Task {
	if m.Moves {
		return []evacuate.Task{{Job: "service of " + m.Name, Kind: evacuate.Service, Has: 2}}
	}
	return make([]evacuate.Task, m.Bound)
}

// site is a node's machines, as a test moves them on: those that are not silent report
// within every interval.
type site struct {
	w      Watch
	list   []Machine
	silent map[string]bool
	others map[string]string // machines that another node hears
	gone   map[string]time.Time
}

func newSite(zones, each int) *site {
	s := &site{w: Watch{Rules: rules}, silent: map[string]bool{}, others: map[string]string{}, gone: map[string]time.Time{}}
	for i := range zones * each {
		s.list = append(s.list, Machine{Name: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprint("zone-", i%zones), Up: true, Bound: i % 5, Owned: start})
	}
	return s
}

// step is one look, a second after the one before.
func (s *site) step(now time.Time) Judgement {
	for i := range s.list {
		m := &s.list[i]
		// Each reports at a second of its own within the interval.
		if !s.silent[m.Name] && (int(now.Sub(start)/time.Second)+i)%int(rules.Report/time.Second) == 0 {
			m.Heard, m.Unanswered = now, false
		}
	}
	j := s.w.Judge(now, s.list, holds)
	for _, n := range j.Probe {
		for i := range s.list {
			if m := &s.list[i]; m.Name == n {
				if m.Unanswered = s.silent[n]; !m.Unanswered {
					m.Heard = now
				}
			}
		}
	}
	if len(j.Ask) > 0 {
		s.w.Told(now, j.Ask, s.others)
	}
	for _, v := range j.Delete {
		s.gone[v.Name] = now
		s.list = slices.DeleteFunc(s.list, func(m Machine) bool { return m.Name == v.Name })
	}
	return j
}

func (s *site) run(from, to int) {
	for t := from; t < to; t++ {
		s.step(start.Add(time.Duration(t) * time.Second))
	}
}

// TestDeadMachinesAreGivenUpSoon: machines that die here and there are replaced within
// seconds, however many live, as far as the pace of deletions allows.
func TestDeadMachinesAreGivenUpSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(12, 60).Draw(t, "each"))
		n := rapid.IntRange(1, len(s.list)/10).Draw(t, "dead")
		s.run(0, 20)
		for range n {
			s.silent[s.list[rapid.IntRange(0, len(s.list)-1).Draw(t, "machine")].Name] = true
		}
		s.run(20, 60)
		for name := range s.silent {
			if at, ok := s.gone[name]; !ok || at.Sub(start) > 40*time.Second {
				t.Fatalf("%s, dead for %v, is still there", name, at.Sub(start)-20*time.Second)
			}
		}
		if len(s.gone) != len(s.silent) {
			t.Fatalf("%d given up, %d dead", len(s.gone), len(s.silent))
		}
	})
}

// TestZoneThatIsCutIsNotEmptied: while the leases in it last nothing of a zone that
// falls silent is given up, whenever that happens and for however long; once it is
// heard again what is left is kept; and the other zones' dead are given up meanwhile.
func TestZoneThatIsCutIsNotEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(t, "zones")
		s := newSite(zones, rapid.IntRange(8, 60).Draw(t, "each"))
		from := rapid.IntRange(12, 30).Draw(t, "from")
		length := rapid.IntRange(5, 90).Draw(t, "length")
		s.run(0, from)
		for _, m := range s.list {
			if m.Zone == "zone-0" {
				s.silent[m.Name] = true
			}
		}
		dead := s.list[1].Name // of another zone
		s.silent[dead] = true
		s.run(from, from+length)
		for _, m := range slices.Clone(s.list) {
			if m.Zone == "zone-0" {
				delete(s.silent, m.Name)
			}
		}
		s.run(from+length, from+length+30)
		begin := start.Add(time.Duration(from) * time.Second)
		// It is over for us once the first of its machines have been heard again.
		over := begin.Add(time.Duration(length)*time.Second + rules.Report)
		for name, at := range s.gone {
			if name != dead && (at.Sub(begin) < rules.Lease-rules.Report-time.Second || at.After(over)) {
				t.Fatalf("%s given up %v after the cut began", name, at.Sub(begin))
			}
		}
		if at, ok := s.gone[dead]; !ok || at.Sub(start) > time.Duration(from+25)*time.Second {
			t.Fatalf("the dead machine of a zone that is heard is there yet, or went late: %v", at)
		}
		if len(s.w.Cuts()) > 0 {
			t.Fatalf("%v still counts as cut off", s.w.Cuts())
		}
	})
}

// TestWhatACutZoneHeldStartsAgain: past their leases, machines with tasks are given up,
// services that can move first and earlier, empty ones only after minutes.
func TestWhatACutZoneHeldStartsAgain(t *testing.T) {
	s := newSite(2, 30)
	for i := range s.list {
		if m := &s.list[i]; m.Zone == "zone-0" {
			s.silent[m.Name] = i >= 0
			m.Moves = m.Bound > 0 && i%3 == 0
		}
	}
	list := slices.Clone(s.list)
	s.run(0, 110)
	var moved, rest []time.Time
	for _, m := range list {
		at, ok := s.gone[m.Name]
		if want := m.Zone == "zone-0" && m.Bound > 0; ok != want {
			t.Errorf("%s in %s with %d tasks: given up %v", m.Name, m.Zone, m.Bound, ok)
		}
		if ok && m.Moves {
			moved = append(moved, at)
		} else if ok {
			rest = append(rest, at)
		}
	}
	if len(moved) == 0 || slices.MaxFunc(moved, time.Time.Compare).After(slices.MinFunc(rest, time.Time.Compare)) {
		t.Errorf("services' machines went at %v, others at %v", moved, rest)
	}
	s.run(110, 300)
	if slices.ContainsFunc(s.list, func(m Machine) bool { return m.Zone == "zone-0" }) {
		t.Error("a zone that is never heard again is paid for ever")
	}
}

// TestZoneWithAControllerIsLeftAlone: what a controller inside keeps alive is given up only after
// minutes, services that could start elsewhere as well; without one they go one after the
// other from a share of the lease on, all by its end.
func TestZoneWithAControllerIsLeftAlone(t *testing.T) {
	for _, inside := range []bool{false, true} {
		s := newSite(2, 30)
		s.run(0, 20)
		var zone []string
		for i := range s.list {
			if m := &s.list[i]; m.Zone == "zone-0" {
				m.Inside, m.Bound, m.Moves = inside, 1, true
				s.silent[m.Name] = true
				zone = append(zone, m.Name)
			}
		}
		s.run(20, 20+int(rules.Lease/time.Second)+10)
		at := map[time.Duration]int{}
		for _, name := range zone {
			if when, ok := s.gone[name]; ok {
				at[when.Sub(start)/time.Second]++
			}
		}
		if inside && len(at) > 0 {
			t.Errorf("given up though a controller stands in the zone: %v", at)
		}
		for second, n := range at {
			if n > len(zone)/5 {
				t.Errorf("%d of %d go at once, %d s into the cut", n, len(zone), second-20)
			}
		}
		if !inside && len(s.gone) < len(zone) {
			t.Errorf("%d of %d are given up by the lease's end", len(s.gone), len(zone))
		}
	}
}

// TestOurOwnCutEmptiesNothing: a node that hears nobody gives up nothing, and its parts
// go to the node that hears their workers.
func TestOurOwnCutEmptiesNothing(t *testing.T) {
	for _, hears := range []bool{false, true} {
		s := newSite(3, 20)
		s.run(0, 20)
		for _, m := range s.list {
			s.silent[m.Name] = true
			if hears {
				s.others[m.Name] = "node-1"
			}
		}
		given := false
		for i := 20; i < 200; i++ {
			j := s.step(start.Add(time.Duration(i) * time.Second))
			given = given || j.Give[0] == "node-1"
		}
		if len(s.gone) > 0 || given != hears {
			t.Errorf("another node hears them: %v; %d given up, part given away: %v", hears, len(s.gone), given)
		}
	}
}

// TestCancelledTaskEndsWhateverIsCut: no guard keeps a cancelled task beyond its time.
func TestCancelledTaskEndsWhateverIsCut(t *testing.T) {
	s := newSite(2, 20)
	s.run(0, 20)
	for i := range s.list {
		s.silent[s.list[i].Name] = true
		s.list[i].Late = i == 7
	}
	name := s.list[7].Name
	s.run(20, 40)
	if at, ok := s.gone[name]; !ok || len(s.gone) != 1 || at.Sub(start) > 40*time.Second {
		t.Errorf("given up: %v", s.gone)
	}
}

// TestNewOwnerSaysNothingOfItsZone: machines that a node has just taken over and not
// heard yet don't make their zone look cut off.
func TestNewOwnerSaysNothingOfItsZone(t *testing.T) {
	s := newSite(1, 10)
	s.run(0, 20)
	for i := range 40 {
		s.list = append(s.list, Machine{Name: fmt.Sprint("taken-", i), Zone: "zone-0", Part: 1, Up: true, Owned: start.Add(20 * time.Second)})
		s.silent[fmt.Sprint("taken-", i)] = true
	}
	for i := 20; i < 30; i++ {
		if s.step(start.Add(time.Duration(i) * time.Second)); s.w.Cut("zone-0") {
			t.Fatalf("cut off %d s after the take-over", i-20)
		}
	}
	for name := range s.gone {
		if strings.HasPrefix(name, "taken-") {
			t.Errorf("%s given up", name)
		}
	}
}

// TestWhatCameBackIsToldApart: when a zone serves again each of its machines counts once, as one
// that worked on, restarted, was given up or came meanwhile, however often it was cut off.
func TestWhatCameBackIsToldApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(2, rapid.IntRange(8, 40).Draw(t, "each"))
		s.run(0, 20)
		in := func() (out []*Machine) {
			for i := range s.list {
				if s.list[i].Zone == "zone-0" {
					out = append(out, &s.list[i])
				}
			}
			return out
		}
		before := len(in())
		now := 20
		for range rapid.IntRange(1, 2).Draw(t, "cuts") {
			for _, m := range in() {
				s.silent[m.Name] = true
			}
			s.run(now, now+20)
			now += 20
			clear(s.silent)
			s.run(now, now+1)
			now++
		}
		restarted := 0
		for _, m := range in() {
			if rapid.Bool().Draw(t, "restarts") {
				m.Session++
				restarted++
			}
		}
		left := len(in())
		fresh := rapid.IntRange(0, 5).Draw(t, "new")
		for i := range fresh {
			at := start.Add(time.Duration(now) * time.Second)
			s.list = append(s.list, Machine{Name: fmt.Sprint("new-", i), Zone: "zone-0", Up: true, Session: 1, Owned: at, Heard: at})
		}
		var told []zone.Back
		for ; now < 600; now++ {
			if b, ok := s.step(start.Add(time.Duration(now) * time.Second)).Back["zone-0"]; ok {
				told = append(told, b)
			}
		}
		want := zone.Back{Worked: left - restarted, Restarted: restarted, Gone: before - left, New: fresh}
		if len(told) != 1 || told[0] != want {
			t.Fatalf("told %v, want %v once", told, want)
		}
	})
}
