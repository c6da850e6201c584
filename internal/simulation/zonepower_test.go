package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
)

// powerLoss is a day on which the power of a zone goes, for a while.
type powerLoss struct {
	random   *rand.Rand
	region   *Region
	zone     string
	delay    time.Duration // after the replicas have started
	duration time.Duration
	machines int
}

// replicaStartTime is when all replicas must have started.
const replicaStartTime = 100 * time.Second

// services is how many there are, of six replicas that take half a machine each.
func (d *powerLoss) services() int { return d.machines / 9 }

func (d *powerLoss) replicas() int { return 6 * d.services() }

// TestZoneLosesPower: the power of a zone goes at a drawn moment, for minutes, and comes back;
// one machine in five does not. Its machines return with new sessions and without images, its
// controller, if it has one, with nothing. Nobody does anything: what is lost is given up in the
// order of the plan, every service has all its replicas again within a stated time though
// the zone is still away, and again after its return; users are answered meanwhile; no rule
// breaks and every job ends once. ZONE_MACHINES and ZONE_MOMENTS play it larger and more often.
func TestZoneLosesPower(t *testing.T) {
	for i := range environmentInt("ZONE_MOMENTS", 2) {
		random := newRandom(uint64(i), streamPowerLoss)
		day := powerLoss{
			random:   random,
			zone:     []string{zoneNorth, zoneEast, zoneWest}[i%3],
			delay:    milliseconds(random, 30_000),
			duration: secondsBetween(random, 10, 590),
			machines: environmentInt("ZONE_MACHINES", 60),
		}
		if i < 2 {
			day.duration = []time.Duration{10 * time.Minute, 12 * time.Second}[i] // past all leases, and within them
		}
		t.Run(fmt.Sprintf("%s after %v for %v", day.zone, day.delay, day.duration), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { day.simulate(t) })
		})
	}
}

func (d *powerLoss) simulate(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	logged := &logRecorder{}
	// Of ordinary machines each zone has half as many again as the services take of it, so that
	// two zones have capacity for all of them.
	d.region = testRegion{
		machineTypes:    largeMachinesOnly,
		capacityPerKind: d.machines / 2,
		random:          newRandom(d.random.Uint64(), streamRegion),
		log:             logged.logger(slog.LevelDebug),
	}.startControllers(ctx, threeControllers)
	d.submitJobs(ctx)
	time.Sleep(replicaStartTime + d.delay)
	if up := d.region.runningReplicas(); up < d.replicas() {
		t.Fatalf("%d of %d replicas before anything happened", up, d.replicas())
	}
	lost := time.Now()
	d.region.FailZonePower(ctx, d.zone, lost.Add(d.duration), 5)
	// A lease must have passed since the last heartbeat; then come the deletions, one after the
	// other as their pace allows, a start and a fetch.
	recovery := d.waitForReplicas(t, lost, d.region.Settings.LeaseDuration()+45*time.Second)
	time.Sleep(time.Until(lost.Add(d.duration)))
	fewest := d.fewestReplicas(30 * time.Second)
	t.Logf("all %d replicas after %v; at least %d while the zone returned",
		d.replicas(), recovery.Round(time.Second), fewest)
	if fewest < d.replicas() {
		t.Errorf("the zone's return takes replicas: %d of %d", fewest, d.replicas())
	}
	time.Sleep(7 * time.Minute)
	d.region.end(cancel)
	checkZoneDay(t, d.region, logged.records)
	deletions, outOfOrder := deletionOrder(logged.records)
	if len(outOfOrder) > 0 {
		t.Errorf("not in the order of the plan: %+v", outOfOrder)
	}
	if outlastsLeases := d.duration > 2*d.region.Settings.LeaseDuration(); outlastsLeases && deletions == 0 {
		t.Error("no deletion of a suspected machine was logged")
	}
}

// submitJobs submits services that last past the zone's return, and arrays and gangs that come meanwhile.
func (d *powerLoss) submitJobs(ctx context.Context) {
	for i := range d.services() {
		spec := newSpec(i+1, wire.KindService)
		spec.Class, spec.TaskCount, spec.Spread = classServices, 6, true
		spec.CPUs, spec.GPUs, spec.MemoryGB = 16, 2, 80
		spec.Image, spec.ImageSizeGB = fmt.Sprint("img-", i%5), 2
		job := userJob{spec, 5, replicaStartTime + d.delay + d.duration + 3*time.Minute}
		d.region.wg.Go(func() { d.region.SimulateUser(ctx, job) })
	}
	for i := range d.machines / 3 {
		job := d.randomBatchJob(i)
		d.region.SimulateUserAfter(ctx, secondsBetween(d.random, 60, 80), job)
	}
}

// randomBatchJob draws an array or a gang.
func (d *powerLoss) randomBatchJob(index int) userJob {
	number := d.services() + index + 1
	spec := newSpec(number, wire.KindArray)
	if index%2 == 0 {
		spec.Class, spec.TaskCount = "a", 4+d.random.IntN(20)
		spec.RuntimeEstimateSeconds, spec.AllowSpot = 15, true
	} else {
		spec = newSpec(number, wire.KindGang)
		spec.Class, spec.TaskCount, spec.SameZone = "g", 1+d.random.IntN(3), true
		spec.CPUs, spec.GPUs, spec.MemoryGB = 28, 4, 200
		spec.RuntimeEstimateSeconds = 30
	}
	spec.Image, spec.ImageSizeGB = "img-0", 2
	spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 5, 1
	return userJob{spec: spec, runSeconds: 5 + 20*d.random.Float64()}
}

// waitForReplicas waits until all replicas run, and gives how long that took since a time.
func (d *powerLoss) waitForReplicas(t *testing.T, since time.Time, limit time.Duration) time.Duration {
	t.Helper()
	for time.Since(since) < limit {
		if d.region.runningReplicas() == d.replicas() {
			return time.Since(since)
		}
		time.Sleep(time.Second)
	}
	t.Errorf("%d of %d replicas after %v", d.region.runningReplicas(), d.replicas(), limit)
	return limit
}

// fewestReplicas gives how many replicas ran at the least within a time.
func (d *powerLoss) fewestReplicas(duration time.Duration) int {
	start, fewest := time.Now(), d.replicas()
	for time.Since(start) < duration {
		fewest = min(fewest, d.region.runningReplicas())
		time.Sleep(time.Second)
	}
	return fewest
}
