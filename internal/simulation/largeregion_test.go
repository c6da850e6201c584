package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// largeRegionControllers is the number of controllers of the large region.
const largeRegionControllers = 5

var largeRegionZones = []string{zoneEast, zoneWest, zoneNorth, "south"}

// largeRegionSettings returns the settings of a controller in a region of five controllers with long heartbeat
// intervals.
func largeRegionSettings(index int) *config.Settings {
	settings := testSettings(index)
	settings.Peers = nil
	for other := range largeRegionControllers {
		if other != index {
			settings.Peers = append(settings.Peers, config.Peer{
				Node:     fmt.Sprintf("node-%d", other),
				Endpoint: fmt.Sprintf("10.0.0.%d:8081", other+1),
			})
		}
	}
	deployment := &settings.Deployment
	deployment.NodeCount, deployment.Zones = largeRegionControllers, largeRegionZones
	deployment.Teams = nil
	for i := range 8 {
		team := config.Team{Name: fmt.Sprintf("team-%d", i), GPUs: 60, GPUsMax: 160}
		deployment.Teams = append(deployment.Teams, team)
	}
	workers, state := &deployment.Workers, &deployment.State
	workers.ReportS, workers.LeaseS, workers.CancelS = 8, 45, 65
	state.RPS, state.WriteRPS, state.ValueKB = 250, 100, 32
	deployment.Cloud.RPS = 4
	return settings
}

var largeRegionTypes = []wire.MachineType{{
	Name: "large", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, ImageFetchGBps: 1,
	Price: 10, SpotPrice: 4, BootSeconds: 20, Zones: largeRegionZones,
}}

// largeRegionJob returns a random job: a service, a wide array or a gang of up to sixteen machines.
func largeRegionJob(random *rand.Rand, number int) userJob {
	spec := wire.JobSpec{
		ID:          jobID(number),
		Team:        fmt.Sprintf("team-%d", random.IntN(8)),
		Image:       fmt.Sprintf("img-%d", random.IntN(16)),
		ImageSizeGB: 2 + 6*random.Float64(),
		JobTiming:   wire.JobTiming{RuntimeEstimateSeconds: 30},
	}
	job := userJob{runSeconds: 10 + 60*random.Float64()}
	switch kind := random.IntN(10); {
	case kind < 2:
		spec.Kind, spec.Priority, spec.Class = wire.KindService, wire.PriorityProduction, "s"
		spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = 4+2*random.IntN(5), 5, 1, 38
		spec.Spread, spec.RuntimeEstimateSeconds = true, 0
		job.cancelAfter = secondsBetween(random, 60, 120)
	case kind < 6:
		spec.Kind, spec.Priority, spec.Class = wire.KindArray, wire.PriorityNormal, "a"
		spec.TaskCount, spec.AllowSpot = 10+random.IntN(60), true
		spec.CPUs, spec.GPUs, spec.MemoryGB = 5+2*random.Float64(), 1, 48
		spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 15, 5
	default:
		spec.Kind, spec.Priority, spec.Class = wire.KindGang, wire.PriorityHigh, "g"
		spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = 1<<random.IntN(5), 28, 4, 200
		spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds, spec.SameZone = 15, 6, true
	}
	job.spec = spec
	return job
}

// TestRegionOfFiveControllers runs five controllers over some hundreds of machines, with wide gangs and wide arrays.
// One machine in eight hangs, tens of them at once, while two controllers restart. GROWN_JOBS sets the number of jobs,
// for profiling with a higher load.
func TestRegionOfFiveControllers(t *testing.T) {
	jobs := environmentInt("GROWN_JOBS", 60)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		random, start := newRandom(11, streamScenario), time.Now()
		r := testRegion{
			settings:        largeRegionSettings,
			machineTypes:    largeRegionTypes,
			capacityPerKind: 200,
			random:          newRandom(11, streamRegion),
		}.startControllers(ctx, largeRegionControllers)
		for i := range jobs {
			job := largeRegionJob(random, i+1)
			r.SimulateUserAfter(ctx, seconds(random, 100), job)
		}
		time.Sleep(70 * time.Second)
		for i, machine := range r.Machines() {
			if i%8 == 0 {
				r.HangMachine(machine, 40*time.Second)
			}
		}
		r.KillController(1)
		r.KillController(3)
		time.Sleep(5 * time.Second)
		r.StartController(ctx, 1)
		r.StartController(ctx, 3)
		r.waitUntil(60, func() bool {
			return time.Since(start) > 110*time.Second && len(r.Checker.UnfinishedJobs()) == 0
		})
		unfinished := r.Checker.UnfinishedJobs()
		r.end(cancel)
		checkViolations(t, r)
		checkFinished(t, unfinished)
		if r.Checker.TaskStarts < 10*jobs {
			t.Errorf("%d starts", r.Checker.TaskStarts)
		}
	})
}
