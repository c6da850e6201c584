package failuredetector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
)

// TestDeadMachinesAreDeletedSoon: machines that die here and there are replaced within seconds, however many
// live, as far as the pace of deletions allows.
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
				t.Fatalf("%s, dead for %v, is still there", name, at.Sub(testStart)-20*time.Second)
			}
		}
		if len(s.deletedAt) != len(s.silent) {
			t.Fatalf("%d deleted, %d dead", len(s.deletedAt), len(s.silent))
		}
	})
}

// TestPartitionedNodeDeletesNothing: a node that hears nobody gives up nothing, and its shards go to the node that
// hears their agents.
func TestPartitionedNodeDeletesNothing(t *testing.T) {
	for _, peerHears := range []bool{false, true} {
		s := newTestCluster(3, 20)
		s.run(0, 20)
		for _, machine := range s.machines {
			s.silent[machine.Name] = true
			if peerHears {
				s.heardByPeers[machine.Name] = "node-1"
			}
		}
		transferred := false
		for second := 20; second < 200; second++ {
			assessment := s.step(atSecond(second))
			transferred = transferred || assessment.ShardTransfers[0] == "node-1"
		}
		if len(s.deletedAt) > 0 || transferred != peerHears {
			t.Errorf("another node hears them: %v; %d deleted, shard transferred: %v",
				peerHears, len(s.deletedAt), transferred)
		}
	}
}

// TestMachineReportingToPeerIsKept: a silent machine that another node hears is kept, and so is one that the peers did
// not answer about; one that no peer hears is deleted.
func TestMachineReportingToPeerIsKept(t *testing.T) {
	for _, c := range []struct {
		name        string
		heardBy     string
		peersSilent bool
		deleted     bool
	}{
		{name: "heard by none", deleted: true},
		{name: "heard by another node", heardBy: "node-1"},
		{name: "no answer", peersSilent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestCluster(2, 20)
			s.peersSilent = c.peersSilent
			s.run(0, 20)
			name := s.machines[3].Name
			s.silent[name] = true
			if c.heardBy != "" {
				s.heardByPeers[name] = c.heardBy
			}
			s.run(20, 200)
			if _, deleted := s.deletedAt[name]; deleted != c.deleted || len(s.deletedAt) > 1 {
				t.Errorf("deleted %v", s.deletedAt)
			}
		})
	}
}

// TestOverdueCancellationDeletesDuringPartition: nothing keeps a cancelled task beyond its time.
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

// TestNewlyOwnedMachinesAreNotCounted: machines that a node has just taken over and not heard yet don't make their
// zone look cut off.
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
			t.Fatalf("cut off %d s after the take-over", second-20)
		}
	}
	for name := range s.deletedAt {
		if strings.HasPrefix(name, "taken-") {
			t.Errorf("%s deleted", name)
		}
	}
}

// TestShardIsTransferredAfterMinimumOwnership: a shard of which another node hears most machines goes to that node,
// but not before this one has had it for long enough to learn which of them hear nothing. Those that are recorded as
// down move no shard: agents without answers come by every node in turn.
func TestShardIsTransferredAfterMinimumOwnership(t *testing.T) {
	const heardElsewhere = "node-1"
	for _, c := range []struct {
		name        string
		ownedFor    time.Duration
		down        bool
		transferred bool
	}{
		{name: "owned for long", ownedFor: tuning.ShardTransferMinOwned, transferred: true},
		{name: "taken over lately", ownedFor: tuning.ShardTransferMinOwned - time.Second},
		{name: "all down", ownedFor: tuning.ShardTransferMinOwned, down: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestCluster(1, 6)
			now := testStart.Add(c.ownedFor)
			heardBy := map[string]string{}
			for i := range s.machines {
				s.machines[i].Up = !c.down
				s.machines[i].LastHeard = now.Add(-testTiming.probeAfter() - time.Second)
				heardBy[s.machines[i].Name] = heardElsewhere
			}
			asked := s.detector.Assess(now, s.machines, tasksOf).AskPeersAbout
			s.detector.RecordPeerAnswers(now, asked, heardBy)
			transfers := s.detector.Assess(now, s.machines, tasksOf).ShardTransfers
			if transferred := transfers[0] == heardElsewhere; len(asked) == 0 || transferred != c.transferred {
				t.Errorf("asked about %v, transfers %v", asked, transfers)
			}
		})
	}
}
