package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/zonehealth"
)

// TestPartitionedZoneKeepsItsMachines checks that no machine of a zone that becomes silent is deleted while the
// leases in it last, whenever the partition begins and however long it lasts. None of the machines has a service that
// could start elsewhere. Once heartbeats arrive again, the remaining machines are kept. A dead machine of another zone
// is deleted meanwhile.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(t, "zones")
		s := newTestCluster(zones, rapid.IntRange(8, 60).Draw(t, "each"))
		from := rapid.IntRange(12, 30).Draw(t, "from")
		length := rapid.IntRange(5, 90).Draw(t, "length")
		s.run(0, from)
		for _, machine := range s.inPartitionedZone() {
			s.silent[machine.Name] = true
		}
		dead := s.machines[1].Name // of another zone
		s.silent[dead] = true
		s.run(from, from+length)
		for _, machine := range s.inPartitionedZone() {
			delete(s.silent, machine.Name)
		}
		s.run(from+length, from+length+30)
		begin := atSecond(from)
		// The partition has ended for this node once the first of the machines have sent heartbeats again.
		over := begin.Add(time.Duration(length)*time.Second + testTiming.HeartbeatInterval)
		leaseLasts := testTiming.LeaseDuration - testTiming.HeartbeatInterval - time.Second
		for name, at := range s.deletedAt {
			if name != dead && (at.Sub(begin) < leaseLasts || at.After(over)) {
				t.Fatalf("%s deleted %v after the partition began", name, at.Sub(begin))
			}
		}
		if at, ok := s.deletedAt[dead]; !ok || at.Sub(testStart) > time.Duration(from+25)*time.Second {
			t.Fatalf("the dead machine in a connected zone was not deleted or deleted late: %v", at)
		}
		if unavailable := s.detector.UnavailableZones(); len(unavailable) > 0 {
			t.Fatalf("zones %v still count as unavailable", unavailable)
		}
	})
}

// TestPartitionedZoneIsEvacuatedAfterLeases checks the order in which machines of a partitioned zone are deleted:
// machines with movable services first and before their leases end, other machines with tasks after their leases,
// empty machines only after minutes.
func TestPartitionedZoneIsEvacuatedAfterLeases(t *testing.T) {
	s := newTestCluster(2, 30)
	for i := range s.machines {
		if machine := &s.machines[i]; machine.Zone == partitionedZone {
			s.silent[machine.Name] = true
			machine.ServiceMovable = machine.BoundTasks > 0 && i%3 == 0
		}
	}
	machines := slices.Clone(s.machines)
	s.run(0, 110)
	var movable, others []time.Time
	for _, machine := range machines {
		at, ok := s.deletedAt[machine.Name]
		if want := machine.Zone == partitionedZone && machine.BoundTasks > 0; ok != want {
			t.Errorf("%s in %s with %d tasks: deleted %v", machine.Name, machine.Zone, machine.BoundTasks, ok)
		}
		if ok && machine.ServiceMovable {
			movable = append(movable, at)
		} else if ok {
			others = append(others, at)
		}
	}
	if len(movable) == 0 ||
		slices.MaxFunc(movable, time.Time.Compare).After(slices.MinFunc(others, time.Time.Compare)) {
		t.Errorf("machines with movable services deleted at %v, others at %v", movable, others)
	}
	s.run(110, 300)
	if len(s.inPartitionedZone()) > 0 {
		t.Error("machines of a zone that never returns are kept forever")
	}
}

// TestZoneWithControllerIsKeptLonger checks that machines whose leases a controller in the zone renews are deleted
// only after minutes, even if their services could start elsewhere. Without a controller, machines with movable
// services are deleted one by one, from a share of the lease on and all by its end.
func TestZoneWithControllerIsKeptLonger(t *testing.T) {
	for _, controllerInZone := range []bool{false, true} {
		s := newTestCluster(2, 30)
		s.run(0, 20)
		var names []string
		for _, machine := range s.inPartitionedZone() {
			machine.ControllerInZone, machine.BoundTasks, machine.ServiceMovable = controllerInZone, 1, true
			s.silent[machine.Name] = true
			names = append(names, machine.Name)
		}
		s.run(20, 20+int(testTiming.LeaseDuration/time.Second)+10)
		deletions := map[time.Duration]int{} // by second of the test
		for _, name := range names {
			if at, ok := s.deletedAt[name]; ok {
				deletions[at.Sub(testStart)/time.Second]++
			}
		}
		if controllerInZone && len(deletions) > 0 {
			t.Errorf("machines deleted although a controller runs in the zone: %v", deletions)
		}
		for second, count := range deletions {
			if count > len(names)/5 {
				t.Errorf("%d of %d deleted in one second, %d s into the partition", count, len(names), second-20)
			}
		}
		if !controllerInZone && len(s.deletedAt) < len(names) {
			t.Errorf("%d of %d deleted by the end of the lease", len(s.deletedAt), len(names))
		}
	}
}

// TestZoneReturnIsReportedOnce checks the summary of a zone's return after one or more partitions. It is reported
// once, and counts each machine once: as continued, restarted, deleted or added.
func TestZoneReturnIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestCluster(2, rapid.IntRange(8, 40).Draw(t, "each"))
		s.run(0, 20)
		before := len(s.inPartitionedZone())
		second := 20
		for range rapid.IntRange(1, 2).Draw(t, "partitions") {
			for _, machine := range s.inPartitionedZone() {
				s.silent[machine.Name] = true
			}
			s.run(second, second+20)
			second += 20
			clear(s.silent)
			s.run(second, second+1)
			second++
		}
		restarted := 0
		for _, machine := range s.inPartitionedZone() {
			if rapid.Bool().Draw(t, "restarts") {
				machine.Session++
				restarted++
			}
		}
		left := len(s.inPartitionedZone())
		added := rapid.IntRange(0, 5).Draw(t, "added")
		for i := range added {
			at := atSecond(second)
			s.machines = append(s.machines, Machine{
				Name: fmt.Sprint("new-", i), Zone: partitionedZone, Up: true, Session: 1,
				OwnedSince: at, LastReportAt: at,
			})
		}
		var returns []zonehealth.ReturnSummary
		for ; second < 600; second++ {
			if summary, ok := s.step(atSecond(second)).ZoneReturns[partitionedZone]; ok {
				returns = append(returns, summary)
			}
		}
		want := zonehealth.ReturnSummary{
			Continued: left - restarted, Restarted: restarted, Deleted: before - left, Added: added,
		}
		if len(returns) != 1 || returns[0] != want {
			t.Fatalf("reported %v, want %v once", returns, want)
		}
	})
}

// TestEachPartitionHasItsOwnRoster checks that a machine that is added between two partitions counts as added after
// the first and as continued after the second.
func TestEachPartitionHasItsOwnRoster(t *testing.T) {
	s := newTestCluster(2, 20)
	s.run(0, 20)
	second := 20
	for partition := range 2 {
		for _, machine := range s.inPartitionedZone() {
			s.silent[machine.Name] = true
		}
		before := len(s.inPartitionedZone())
		s.run(second, second+20)
		second += 20
		clear(s.silent)
		left := len(s.inPartitionedZone())
		if partition == 0 {
			at := atSecond(second)
			added := Machine{Name: "new", Zone: partitionedZone, Up: true, OwnedSince: at, LastReportAt: at}
			s.machines = append(s.machines, added)
		}
		var returns []zonehealth.ReturnSummary
		for end := second + 600; second < end; second++ {
			if summary, ok := s.step(atSecond(second)).ZoneReturns[partitionedZone]; ok {
				returns = append(returns, summary)
			}
		}
		want := zonehealth.ReturnSummary{Continued: left, Deleted: before - left, Added: 1 - partition}
		if len(returns) != 1 || returns[0] != want {
			t.Fatalf("partition %d: reported %v, want %v once", partition, returns, want)
		}
	}
}
