package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
)

// partitionOutcome counts the machines of the observed zones, and what happened to them.
type partitionOutcome struct {
	machines int // before the partition
	removed  int // that no longer exist
	ended    int // that have a new session, so their tasks have ended
}

// servicesScenario is a scenario of nine services during a partition.
type servicesScenario struct {
	seed        uint64
	cancelAfter time.Duration // when the first service's user cancels it
	zones       []string      // whose machines are observed
	partition   func(context.Context, *Region)
}

// neverDuringRun is a cancellation delay that is longer than a scenario: the job is not cancelled during the run.
const neverDuringRun = 20 * time.Minute

func (s servicesScenario) simulate(t *testing.T) partitionOutcome {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := threeControllerRegion(ctx, 12, s.seed)
	for i := range 9 {
		spec := newSpec(i+1, wire.KindService)
		spec.TaskCount, spec.Spread = 6, true
		cancelAfter := neverDuringRun
		if i == 0 {
			cancelAfter = s.cancelAfter
		}
		r.wg.Go(func() { r.SimulateUser(ctx, userJob{spec, 5, cancelAfter}) })
	}
	time.Sleep(75 * time.Second)
	before := r.AgentSessions(s.zones...)
	s.partition(ctx, r)
	time.Sleep(150 * time.Second)
	after := r.AgentSessions(s.zones...)
	outcome := partitionOutcome{machines: len(before)}
	for name, session := range before {
		if now, ok := after[name]; !ok {
			outcome.removed++
		} else if now != session {
			outcome.ended++
		}
	}
	r.end(cancel)
	checkViolations(t, r)
	return outcome
}

func (o partitionOutcome) report(t *testing.T) {
	t.Helper()
	t.Errorf("of %d machines %d no longer exist, %d ended their tasks", o.machines, o.removed, o.ended)
}

// TestPartitionedZoneKeepsRunning partitions a zone with a controller from everything, for longer than a lease and a
// cancellation's deadline. No machine in it may be deleted for its silence and no task in it killed, though most
// machines belong to controllers outside. A cancellation that is requested meanwhile is confirmed only once the job
// has ended, and afterwards the machines go on with the same sessions.
func TestPartitionedZoneKeepsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := servicesScenario{4, 100 * time.Second, []string{zoneWest}, func(_ context.Context, r *Region) {
			r.PartitionZone(zoneWest, true, time.Now().Add(100*time.Second))
		}}.simulate(t)
		// Machines with a task of the cancelled service are deleted for it, and a few idle ones are deleted too.
		// If silence alone led to deletion, all of them would be deleted.
		if outcome.machines < 8 || outcome.removed > outcome.machines/2 || outcome.ended > 0 {
			outcome.report(t)
		}
	})
}

// TestPartitionedZoneSurvivesControllerRestart kills the only controller of a partitioned zone and starts it again
// during the partition, while it can't read the key-value store. The zone's tasks must go on.
func TestPartitionedZoneSurvivesControllerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := servicesScenario{4, neverDuringRun, []string{zoneWest}, func(ctx context.Context, r *Region) {
			r.PartitionZone(zoneWest, true, time.Now().Add(100*time.Second))
			time.Sleep(14 * time.Second) // by then all agents of the zone have failed over to this controller
			r.KillController(1)
			time.Sleep(3 * time.Second)
			r.StartController(ctx, 1)
		}}.simulate(t)
		// An agent that reaches the new process late may end its tasks. Without a controller, all tasks end with
		// their leases.
		if outcome.machines < 8 || outcome.removed > outcome.machines/2 || outcome.ended > outcome.machines/4 {
			outcome.report(t)
		}
	})
}

// TestControllerCutFromStoreReleasesAgents partitions a controller from the key-value store until it loses its shards.
// Its agents must fail over to the new owner before their leases end. An agent that has seen a higher fencing token
// ignores the old owner's responses, yet goes on sending heartbeats to it unless the owner releases it.
func TestControllerCutFromStoreReleasesAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := servicesScenario{6, neverDuringRun, testZones, func(_ context.Context, r *Region) {
			r.Network.AddPartition(Partition{
				From: secondController, To: hostKV, DeliverLate: true, Until: time.Now().Add(80 * time.Second),
			})
		}}.simulate(t)
		if outcome.machines < 16 || outcome.removed > 3 || outcome.ended > 0 {
			outcome.report(t)
		}
	})
}
