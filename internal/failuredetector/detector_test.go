package failuredetector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
)

// TestDeadMachinesAreDeletedSoon checks that individual machines that fail are deleted within seconds, within the
// limits on the pace of deletions, however many machines there are.
func TestDeadMachinesAreDeletedSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestCluster(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(12, 60).Draw(t, "each"))
		dead := rapid.IntRange(1, len(s.machines)/10).Draw(t, "dead")
		s.run(0, 20)
		for range dead {
			s.silent[s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "machine")].Name] = true
		}
		s.run(20, 60)
		for name := range s.silent {
			if at, ok := s.deletedAt[name]; !ok || at.Sub(testStart) > 40*time.Second {
				t.Fatalf("%s, dead for %v, was not deleted in time", name, at.Sub(testStart)-20*time.Second)
			}
		}
		if len(s.deletedAt) != len(s.silent) {
			t.Fatalf("%d machines deleted, %d dead", len(s.deletedAt), len(s.silent))
		}
	})
}

// TestPartitionedNodeDeletesNothing checks that a node that receives no heartbeats at all deletes no machine, and
// transfers its shards to the node that receives them, if there is one.
func TestPartitionedNodeDeletesNothing(t *testing.T) {
	for _, reportingToPeer := range []bool{false, true} {
		s := newTestCluster(3, 20)
		s.run(0, 20)
		for _, machine := range s.machines {
			s.silent[machine.Name] = true
			if reportingToPeer {
				s.reportsToPeer[machine.Name] = "node-1"
			}
		}
		transferred := false
		for second := 20; second < 200; second++ {
			assessment := s.step(atSecond(second))
			transferred = transferred || assessment.ShardTransfers[0] == "node-1"
		}
		if len(s.deletedAt) > 0 || transferred != reportingToPeer {
			t.Errorf("machines report to another node: %v; %d deleted, shard transferred: %v",
				reportingToPeer, len(s.deletedAt), transferred)
		}
	}
}

// TestMachineReportingToPeerIsKept checks that a silent machine is kept if it reports to another node or the peers
// did not answer about it, and is deleted if it reports to no peer.
func TestMachineReportingToPeerIsKept(t *testing.T) {
	for _, c := range []struct {
		name        string
		reportsTo   string
		peersSilent bool
		deleted     bool
	}{
		{name: "reports to no peer", deleted: true},
		{name: "reports to another node", reportsTo: "node-1"},
		{name: "no response from the peers", peersSilent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestCluster(2, 20)
			s.peersSilent = c.peersSilent
			s.run(0, 20)
			name := s.machines[3].Name
			s.silent[name] = true
			if c.reportsTo != "" {
				s.reportsToPeer[name] = c.reportsTo
			}
			s.run(20, 200)
			if _, deleted := s.deletedAt[name]; deleted != c.deleted || len(s.deletedAt) > 1 {
				t.Errorf("deleted %v", s.deletedAt)
			}
		})
	}
}

// TestOverdueCancellationDeletesDuringPartition checks that a silent machine with a task whose cancellation is
// overdue is deleted even while the node seems to be partitioned.
func TestOverdueCancellationDeletesDuringPartition(t *testing.T) {
	s := newTestCluster(2, 20)
	s.run(0, 20)
	for i := range s.machines {
		s.silent[s.machines[i].Name] = true
		s.machines[i].CancellationOverdue = i == 7
	}
	name := s.machines[7].Name
	s.run(20, 40)
	if at, ok := s.deletedAt[name]; !ok || len(s.deletedAt) != 1 || at.Sub(testStart) > 40*time.Second {
		t.Errorf("deleted: %v", s.deletedAt)
	}
}

// TestNewlyOwnedMachinesAreNotCounted checks that machines that a node has just taken over, and that have not
// reported to it yet, do not make their zone look partitioned.
func TestNewlyOwnedMachinesAreNotCounted(t *testing.T) {
	s := newTestCluster(1, 10)
	s.run(0, 20)
	for i := range 40 {
		name := fmt.Sprint("taken-", i)
		s.machines = append(s.machines, Machine{
			Name: name, Zone: partitionedZone, Shard: 1, Up: true, OwnedSince: atSecond(20),
		})
		s.silent[name] = true
	}
	for second := 20; second < 30; second++ {
		if s.step(atSecond(second)); s.detector.ZoneUnavailable(partitionedZone) {
			t.Fatalf("zone partitioned %d s after the takeover", second-20)
		}
	}
	for name := range s.deletedAt {
		if strings.HasPrefix(name, "taken-") {
			t.Errorf("%s deleted", name)
		}
	}
}

// TestShardIsTransferredAfterMinimumOwnership checks that a shard is transferred to another node that most of its
// machines report to, but only after this node has owned it for long enough to learn which of the machines receive
// nothing. Machines that are recorded as down do not count: agents that get no responses send their heartbeats to each
// node in turn.
func TestShardIsTransferredAfterMinimumOwnership(t *testing.T) {
	const otherNode = "node-1"
	for _, c := range []struct {
		name        string
		ownedFor    time.Duration
		down        bool
		transferred bool
	}{
		{name: "minimum ownership reached", ownedFor: tuning.ShardTransferMinOwned, transferred: true},
		{name: "taken over recently", ownedFor: tuning.ShardTransferMinOwned - time.Second},
		{name: "all machines down", ownedFor: tuning.ShardTransferMinOwned, down: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestCluster(1, 6)
			now := testStart.Add(c.ownedFor)
			reportsTo := map[string]string{}
			for i := range s.machines {
				s.machines[i].Up = !c.down
				s.machines[i].LastReportAt = now.Add(-testTiming.probeAfter() - time.Second)
				reportsTo[s.machines[i].Name] = otherNode
			}
			queried := s.detector.Assess(now, s.machines, tasksOf).QueryPeersAbout
			s.detector.RecordPeerResponses(now, queried, reportsTo)
			transfers := s.detector.Assess(now, s.machines, tasksOf).ShardTransfers
			if transferred := transfers[0] == otherNode; len(queried) == 0 || transferred != c.transferred {
				t.Errorf("queried about %v, transfers %v", queried, transfers)
			}
		})
	}
}
