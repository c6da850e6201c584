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

// powerLoss is a scenario in which a zone loses its power for a while.
type powerLoss struct {
	random   *rand.Rand
	region   *Region
	zone     string
	delay    time.Duration // from replicaStartTime to the power loss
	duration time.Duration
	machines int
}

// replicaStartTime is the time by which all replicas must have started.
const replicaStartTime = 100 * time.Second

// services returns the number of services. Each has six replicas that take half a machine each.
func (p *powerLoss) services() int { return p.machines / 9 }

func (p *powerLoss) replicas() int { return 6 * p.services() }

// TestZoneLosesPower cuts the power of a zone at a random time, for seconds or minutes. One machine in five does not
// return; the others return with new sessions and without images, and the zone's controller, if it has one, without any
// state. Without any action of an operator, suspected machines must be deleted in the evacuation order, and every
// service must have all its replicas again within a lease and 45 s of the power loss, even while the zone is still
// without power, and must keep them during the zone's recovery. Users must be answered meanwhile, no rule may be
// violated and every job must end once. ZONE_MACHINES sets the number of machines, ZONE_MOMENTS the number of runs.
func TestZoneLosesPower(t *testing.T) {
	for i := range environmentInt("ZONE_MOMENTS", 2) {
		random := newRandom(uint64(i), streamPowerLoss)
		scenario := powerLoss{
			random:   random,
			zone:     []string{zoneNorth, zoneEast, zoneWest}[i%3],
			delay:    milliseconds(random, 30_000),
			duration: secondsBetween(random, 10, 590),
			machines: environmentInt("ZONE_MACHINES", 60),
		}
		if i < 2 {
			// The first run's power loss outlasts all leases; the second run's is shorter than a lease.
			scenario.duration = []time.Duration{10 * time.Minute, 12 * time.Second}[i]
		}
		t.Run(fmt.Sprintf("%s after %v for %v", scenario.zone, scenario.delay, scenario.duration), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.simulate(t) })
		})
	}
}

func (p *powerLoss) simulate(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	logged := &logRecorder{}
	// In each zone the cloud has half of the scenario's number of machines on demand, so that two zones have capacity
	// for all services.
	p.region = testRegion{
		machineTypes:    largeMachinesOnly,
		capacityPerKind: p.machines / 2,
		random:          newRandom(p.random.Uint64(), streamRegion),
		log:             logged.logger(slog.LevelDebug),
	}.startControllers(ctx, threeControllers)
	p.submitJobs(ctx)
	time.Sleep(replicaStartTime + p.delay)
	if up := p.region.runningReplicas(); up < p.replicas() {
		t.Fatalf("%d of %d replicas run before the power loss", up, p.replicas())
	}
	lost := time.Now()
	p.region.FailZonePower(ctx, p.zone, lost.Add(p.duration), 5)
	// Machines are deleted once a lease has passed since their last heartbeat. The 45 s are for the deletions,
	// whose rate is limited, and for the start of a replica with the fetch of its image.
	recovery := p.waitForReplicas(t, lost, p.region.Settings.LeaseDuration()+45*time.Second)
	time.Sleep(time.Until(lost.Add(p.duration)))
	fewest := p.fewestReplicas(30 * time.Second)
	t.Logf("all %d replicas after %v; at least %d while the zone recovered",
		p.replicas(), recovery.Round(time.Second), fewest)
	if fewest < p.replicas() {
		t.Errorf("the zone's recovery ended replicas: %d of %d run", fewest, p.replicas())
	}
	time.Sleep(7 * time.Minute)
	p.region.end(cancel)
	checkZoneRun(t, p.region, logged.records)
	deletions, outOfOrder := checkDeletionOrder(logged.records)
	if len(outOfOrder) > 0 {
		t.Errorf("not deleted in the evacuation order: %+v", outOfOrder)
	}
	if outlastsLeases := p.duration > 2*p.region.Settings.LeaseDuration(); outlastsLeases && deletions == 0 {
		t.Error("no deletion of a suspected machine was logged")
	}
}

// submitJobs submits services that last past the zone's recovery, and arrays and gangs that arrive meanwhile.
func (p *powerLoss) submitJobs(ctx context.Context) {
	for i := range p.services() {
		spec := newSpec(i+1, wire.KindService)
		spec.Class, spec.TaskCount, spec.Spread = classServices, 6, true
		spec.CPUs, spec.GPUs, spec.MemoryGB = 16, 2, 80
		spec.Image, spec.ImageSizeGB = fmt.Sprint("img-", i%5), 2
		job := userJob{spec, 5, replicaStartTime + p.delay + p.duration + 3*time.Minute}
		p.region.wg.Go(func() { p.region.SimulateUser(ctx, job) })
	}
	for i := range p.machines / 3 {
		job := p.randomBatchJob(i)
		p.region.SimulateUserAfter(ctx, secondsBetween(p.random, 60, 80), job)
	}
}

// randomBatchJob returns an array or a gang.
func (p *powerLoss) randomBatchJob(index int) userJob {
	number := p.services() + index + 1
	spec := newSpec(number, wire.KindArray)
	if index%2 == 0 {
		spec.Class, spec.TaskCount = "a", 4+p.random.IntN(20)
		spec.RuntimeEstimateSeconds, spec.AllowSpot = 15, true
	} else {
		spec = newSpec(number, wire.KindGang)
		spec.Class, spec.TaskCount, spec.SameZone = "g", 1+p.random.IntN(3), true
		spec.CPUs, spec.GPUs, spec.MemoryGB = 28, 4, 200
		spec.RuntimeEstimateSeconds = 30
	}
	spec.Image, spec.ImageSizeGB = "img-0", 2
	spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 5, 1
	return userJob{spec: spec, runSeconds: 5 + 20*p.random.Float64()}
}

// waitForReplicas waits until all replicas run, and returns how long that took since a time.
func (p *powerLoss) waitForReplicas(t *testing.T, since time.Time, limit time.Duration) time.Duration {
	t.Helper()
	for time.Since(since) < limit {
		if p.region.runningReplicas() == p.replicas() {
			return time.Since(since)
		}
		time.Sleep(time.Second)
	}
	t.Errorf("%d of %d replicas run after %v", p.region.runningReplicas(), p.replicas(), limit)
	return limit
}

// fewestReplicas returns the lowest number of running replicas within a duration.
func (p *powerLoss) fewestReplicas(duration time.Duration) int {
	start, fewest := time.Now(), p.replicas()
	for time.Since(start) < duration {
		fewest = min(fewest, p.region.runningReplicas())
		time.Sleep(time.Second)
	}
	return fewest
}
