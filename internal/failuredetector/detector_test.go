package failuredetector

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/evacuation"
	"sableusher/internal/testrand"
	"sableusher/internal/zonehealth"
)

func TestMain(m *testing.M) { testrand.Main(m) }

var (
	testTiming = Timing{HeartbeatInterval: 6 * time.Second, LeaseDuration: 31 * time.Second}
	testStart  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// tasksOf gives the tasks of a machine: a service of two replicas if it moves, else an array's.
func tasksOf(m *Machine) []evacuation.Task {
	if m.ServiceMovable {
		return []evacuation.Task{{JobID: "service of " + m.Name, Kind: evacuation.Service, PlacedReplicas: 2}}
	}
	return make([]evacuation.Task, m.BoundTasks)
}

// testSite is a node's machines, as a test moves them on: those that are not silent report
// within every interval.
type testSite struct {
	detector     Detector
	machines     []Machine
	silent       map[string]bool
	heardByPeers map[string]string // machines that another node hears
	deletedAt    map[string]time.Time
}

func newTestSite(zones, each int) *testSite {
	s := &testSite{detector: Detector{Timing: testTiming}, silent: map[string]bool{}, heardByPeers: map[string]string{}, deletedAt: map[string]time.Time{}}
	for i := range zones * each {
		s.machines = append(s.machines, Machine{Name: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprint("zone-", i%zones), Up: true, BoundTasks: i % 5, OwnedSince: testStart})
	}
	return s
}

// step is one look, a second after the one before.
func (s *testSite) step(now time.Time) Assessment {
	for i := range s.machines {
		m := &s.machines[i]
		// Each reports at a second of its own within the interval.
		if !s.silent[m.Name] && (int(now.Sub(testStart)/time.Second)+i)%int(testTiming.HeartbeatInterval/time.Second) == 0 {
			m.LastHeard, m.CommandUnanswered = now, false
		}
	}
	j := s.detector.Assess(now, s.machines, tasksOf)
	for _, n := range j.ProbeMachines {
		for i := range s.machines {
			if m := &s.machines[i]; m.Name == n {
				if m.CommandUnanswered = s.silent[n]; !m.CommandUnanswered {
					m.LastHeard = now
				}
			}
		}
	}
	if len(j.AskPeersAbout) > 0 {
		s.detector.RecordPeerAnswers(now, j.AskPeersAbout, s.heardByPeers)
	}
	for _, v := range j.Deletions {
		s.deletedAt[v.Machine] = now
		s.machines = slices.DeleteFunc(s.machines, func(m Machine) bool { return m.Name == v.Machine })
	}
	return j
}

func (s *testSite) run(from, to int) {
	for t := from; t < to; t++ {
		s.step(testStart.Add(time.Duration(t) * time.Second))
	}
}

// TestDeadMachinesAreGivenUpSoon: machines that die here and there are replaced within
// seconds, however many live, as far as the pace of deletions allows.
func TestDeadMachinesAreDeletedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(12, 60).Draw(t, "each"))
		n := rapid.IntRange(1, len(s.machines)/10).Draw(t, "dead")
		s.run(0, 20)
		for range n {
			s.silent[s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "machine")].Name] = true
		}
		s.run(20, 60)
		for name := range s.silent {
			if at, ok := s.deletedAt[name]; !ok || at.Sub(testStart) > 40*time.Second {
				t.Fatalf("%s, dead for %v, is still there", name, at.Sub(testStart)-20*time.Second)
			}
		}
		if len(s.deletedAt) != len(s.silent) {
			t.Fatalf("%d given up, %d dead", len(s.deletedAt), len(s.silent))
		}
	})
}

// TestZoneThatIsCutIsNotEmptied: while the leases in it last nothing of a zone that
// falls silent is given up, whenever that happens and for however long; once it is
// heard again what is left is kept; and the other zones' dead are given up meanwhile.
func TestCutZoneKeepsItsMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(t, "zones")
		s := newTestSite(zones, rapid.IntRange(8, 60).Draw(t, "each"))
		from := rapid.IntRange(12, 30).Draw(t, "from")
		length := rapid.IntRange(5, 90).Draw(t, "length")
		s.run(0, from)
		for _, m := range s.machines {
			if m.Zone == "zone-0" {
				s.silent[m.Name] = true
			}
		}
		dead := s.machines[1].Name // of another zone
		s.silent[dead] = true
		s.run(from, from+length)
		for _, m := range slices.Clone(s.machines) {
			if m.Zone == "zone-0" {
				delete(s.silent, m.Name)
			}
		}
		s.run(from+length, from+length+30)
		begin := testStart.Add(time.Duration(from) * time.Second)
		// It is over for us once the first of its machines have been heard again.
		over := begin.Add(time.Duration(length)*time.Second + testTiming.HeartbeatInterval)
		for name, at := range s.deletedAt {
			if name != dead && (at.Sub(begin) < testTiming.LeaseDuration-testTiming.HeartbeatInterval-time.Second || at.After(over)) {
				t.Fatalf("%s given up %v after the cut began", name, at.Sub(begin))
			}
		}
		if at, ok := s.deletedAt[dead]; !ok || at.Sub(testStart) > time.Duration(from+25)*time.Second {
			t.Fatalf("the dead machine of a zone that is heard is there yet, or went late: %v", at)
		}
		if len(s.detector.UnavailableZones()) > 0 {
			t.Fatalf("%v still counts as cut off", s.detector.UnavailableZones())
		}
	})
}

// TestWhatACutZoneHeldStartsAgain: past their leases, machines with tasks are given up,
// services that can move first and earlier, empty ones only after minutes.
func TestCutZoneIsEvacuatedAfterLeases(t *testing.T) {
	s := newTestSite(2, 30)
	for i := range s.machines {
		if m := &s.machines[i]; m.Zone == "zone-0" {
			s.silent[m.Name] = i >= 0
			m.ServiceMovable = m.BoundTasks > 0 && i%3 == 0
		}
	}
	list := slices.Clone(s.machines)
	s.run(0, 110)
	var moved, rest []time.Time
	for _, m := range list {
		at, ok := s.deletedAt[m.Name]
		if want := m.Zone == "zone-0" && m.BoundTasks > 0; ok != want {
			t.Errorf("%s in %s with %d tasks: given up %v", m.Name, m.Zone, m.BoundTasks, ok)
		}
		if ok && m.ServiceMovable {
			moved = append(moved, at)
		} else if ok {
			rest = append(rest, at)
		}
	}
	if len(moved) == 0 || slices.MaxFunc(moved, time.Time.Compare).After(slices.MinFunc(rest, time.Time.Compare)) {
		t.Errorf("services' machines went at %v, others at %v", moved, rest)
	}
	s.run(110, 300)
	if slices.ContainsFunc(s.machines, func(m Machine) bool { return m.Zone == "zone-0" }) {
		t.Error("a zone that is never heard again is paid for ever")
	}
}

// TestZoneWithAControllerIsLeftAlone: what a controller inside keeps alive is given up only after
// minutes, services that could start elsewhere as well; without one they go one after the
// other from a share of the lease on, all by its end.
func TestZoneWithControllerIsKeptLonger(t *testing.T) {
	for _, inside := range []bool{false, true} {
		s := newTestSite(2, 30)
		s.run(0, 20)
		var zone []string
		for i := range s.machines {
			if m := &s.machines[i]; m.Zone == "zone-0" {
				m.ControllerInZone, m.BoundTasks, m.ServiceMovable = inside, 1, true
				s.silent[m.Name] = true
				zone = append(zone, m.Name)
			}
		}
		s.run(20, 20+int(testTiming.LeaseDuration/time.Second)+10)
		at := map[time.Duration]int{}
		for _, name := range zone {
			if when, ok := s.deletedAt[name]; ok {
				at[when.Sub(testStart)/time.Second]++
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
		if !inside && len(s.deletedAt) < len(zone) {
			t.Errorf("%d of %d are given up by the lease's end", len(s.deletedAt), len(zone))
		}
	}
}

// TestOurOwnCutEmptiesNothing: a node that hears nobody gives up nothing, and its parts
// go to the node that hears their workers.
func TestOwnPartitionDeletesNothing(t *testing.T) {
	for _, hears := range []bool{false, true} {
		s := newTestSite(3, 20)
		s.run(0, 20)
		for _, m := range s.machines {
			s.silent[m.Name] = true
			if hears {
				s.heardByPeers[m.Name] = "node-1"
			}
		}
		given := false
		for i := 20; i < 200; i++ {
			j := s.step(testStart.Add(time.Duration(i) * time.Second))
			given = given || j.ShardTransfers[0] == "node-1"
		}
		if len(s.deletedAt) > 0 || given != hears {
			t.Errorf("another node hears them: %v; %d given up, part given away: %v", hears, len(s.deletedAt), given)
		}
	}
}

// TestCancelledTaskEndsWhateverIsCut: no guard keeps a cancelled task beyond its time.
func TestOverdueCancellationDeletesDuringPartition(t *testing.T) {
	s := newTestSite(2, 20)
	s.run(0, 20)
	for i := range s.machines {
		s.silent[s.machines[i].Name] = true
		s.machines[i].CancellationOverdue = i == 7
	}
	name := s.machines[7].Name
	s.run(20, 40)
	if at, ok := s.deletedAt[name]; !ok || len(s.deletedAt) != 1 || at.Sub(testStart) > 40*time.Second {
		t.Errorf("given up: %v", s.deletedAt)
	}
}

// TestNewOwnerSaysNothingOfItsZone: machines that a node has just taken over and not
// heard yet don't make their zone look cut off.
func TestTakenOverMachinesAreNotCounted(t *testing.T) {
	s := newTestSite(1, 10)
	s.run(0, 20)
	for i := range 40 {
		s.machines = append(s.machines, Machine{Name: fmt.Sprint("taken-", i), Zone: "zone-0", Shard: 1, Up: true, OwnedSince: testStart.Add(20 * time.Second)})
		s.silent[fmt.Sprint("taken-", i)] = true
	}
	for i := 20; i < 30; i++ {
		if s.step(testStart.Add(time.Duration(i) * time.Second)); s.detector.ZoneUnavailable("zone-0") {
			t.Fatalf("cut off %d s after the take-over", i-20)
		}
	}
	for name := range s.deletedAt {
		if strings.HasPrefix(name, "taken-") {
			t.Errorf("%s given up", name)
		}
	}
}

// TestWhatCameBackIsToldApart: when a zone serves again each of its machines counts once, as one
// that worked on, restarted, was given up or came meanwhile, however often it was cut off.
func TestZoneReturnIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSite(2, rapid.IntRange(8, 40).Draw(t, "each"))
		s.run(0, 20)
		in := func() (out []*Machine) {
			for i := range s.machines {
				if s.machines[i].Zone == "zone-0" {
					out = append(out, &s.machines[i])
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
			at := testStart.Add(time.Duration(now) * time.Second)
			s.machines = append(s.machines, Machine{Name: fmt.Sprint("new-", i), Zone: "zone-0", Up: true, Session: 1, OwnedSince: at, LastHeard: at})
		}
		var told []zonehealth.ReturnSummary
		for ; now < 600; now++ {
			if b, ok := s.step(testStart.Add(time.Duration(now) * time.Second)).ZoneReturns["zone-0"]; ok {
				told = append(told, b)
			}
		}
		want := zonehealth.ReturnSummary{Continued: left - restarted, Restarted: restarted, Deleted: before - left, Added: fresh}
		if len(told) != 1 || told[0] != want {
			t.Fatalf("told %v, want %v once", told, want)
		}
	})
}
