package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
)

// cutOutcome is what became of the machines of the zones that a test looks at.
type cutOutcome struct {
	machines int
	removed  int // that are gone
	ended    int // whose tasks have ended: they have a new session
}

// servicesDay is a day of nine services while something is cut off.
type servicesDay struct {
	seed        uint64
	cancelAfter time.Duration // when the first service's user cancels it
	zones       []string      // that are looked at
	cut         func(context.Context, *Region)
}

const neverWithinDay = 20 * time.Minute

func (d servicesDay) simulate(t *testing.T) cutOutcome {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := threeControllerRegion(ctx, 12, d.seed)
	for i := range 9 {
		spec := newSpec(i+1, wire.KindService)
		spec.TaskCount, spec.Spread = 6, true
		cancelAfter := neverWithinDay
		if i == 0 {
			cancelAfter = d.cancelAfter
		}
		r.wg.Go(func() { r.SimulateUser(ctx, userJob{spec, 5, cancelAfter}) })
	}
	time.Sleep(75 * time.Second)
	before := r.AgentSessions(d.zones...)
	d.cut(ctx, r)
	time.Sleep(150 * time.Second)
	after := r.AgentSessions(d.zones...)
	outcome := cutOutcome{machines: len(before)}
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

func (o cutOutcome) report(t *testing.T) {
	t.Helper()
	t.Errorf("of %d machines %d are gone, %d ended their tasks", o.machines, o.removed, o.ended)
}

// TestPartitionedZoneKeepsRunning: for longer than a lease and a cancellation's time a zone with
// a controller is cut off from everything. No machine in it is deleted, no task in it
// killed, though most belong to controllers outside; what its users cancel meanwhile is
// confirmed only once it has ended; and afterwards all goes on with the same sessions.
func TestPartitionedZoneKeepsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := servicesDay{4, 100 * time.Second, []string{zoneWest}, func(_ context.Context, r *Region) {
			r.PartitionZone(zoneWest, true, time.Now().Add(100*time.Second))
		}}.simulate(t)
		// Those that hold a task of the cancelled service are deleted for it; a few
		// stand idle and are returned. Where silence alone counts, all of them go.
		if outcome.machines < 8 || outcome.removed > outcome.machines/2 || outcome.ended > 0 {
			outcome.report(t)
		}
	})
}

// TestPartitionedZoneSurvivesControllerRestart: the only controller of a zone that is cut off ends
// during the cut and is started again there, where it can read nothing. The zone's tasks go
// on all the same.
func TestPartitionedZoneSurvivesControllerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := servicesDay{4, neverWithinDay, []string{zoneWest}, func(ctx context.Context, r *Region) {
			r.PartitionZone(zoneWest, true, time.Now().Add(100*time.Second))
			time.Sleep(14 * time.Second) // by then it has taken care of all agents there
			r.KillController(1)
			time.Sleep(3 * time.Second)
			r.StartController(ctx, 1)
		}}.simulate(t)
		// An agent that found it late may end its tasks; left to their leases all do.
		if outcome.machines < 8 || outcome.removed > outcome.machines/2 || outcome.ended > outcome.machines/4 {
			outcome.report(t)
		}
	})
}

// TestControllerCutFromStoreReleasesAgents: a controller that has lost the key-value store for long loses
// its shards; its agents must follow their new owner before their leases end. An agent
// that has seen a higher fencing token ignores the answers of the old one and yet stays with it.
func TestControllerCutFromStoreReleasesAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := servicesDay{6, neverWithinDay, testZones, func(_ context.Context, r *Region) {
			r.Network.AddPartition(Partition{
				From: secondController, To: hostKV, DeliverLate: true, Until: time.Now().Add(80 * time.Second),
			})
		}}.simulate(t)
		if outcome.machines < 16 || outcome.removed > 3 || outcome.ended > 0 {
			outcome.report(t)
		}
	})
}
