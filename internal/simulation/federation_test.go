package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// Names of the cells of test federations.
const (
	cellA = "a"
	cellB = "b"
	cellC = "c"
)

var cellNames = []string{cellA, cellB, cellC}

// cellSettings returns the settings of a cell's controller.
func cellSettings(cell string, index int) *config.Settings {
	settings := testSettings(index)
	settings.Node = cell + "-" + settings.Node
	for i := range settings.Peers {
		settings.Peers[i].Node = cell + "-" + settings.Peers[i].Node
	}
	return settings
}

func newTestFederation(ctx context.Context, maxOffloadedTasks int, random *rand.Rand, logged *logRecorder) *Federation {
	return NewFederation(ctx, FederationOptions{
		Cells:             cellNames,
		Settings:          cellSettings,
		MachineTypes:      largeMachinesOnly,
		CapacityPerKind:   2,
		MaxOffloadedTasks: maxOffloadedTasks,
		Random:            random,
		Log:               logged.logger(slog.LevelInfo),
	})
}

// end stops a federation and waits until no requests are in flight.
func (f *Federation) end(cancel context.CancelFunc) {
	cancel()
	f.Wait()
	time.Sleep(requestDrainTime)
}

// TestFederationUnderFaults offloads a burst in one of three cells while links between cells fail in one direction or
// the other, controllers restart, a whole cell stops and starts again, a cell's key-value store is unavailable, a cell
// loses writes and starts again under a new epoch, and a cell is drained. The user of each job must receive one final
// state, no task may run in two cells, and no cancelled job may go on. CELL_DAYS sets the number of scenarios.
func TestFederationUnderFaults(t *testing.T) {
	for index := range environmentInt("CELL_DAYS", 2) {
		t.Run(fmt.Sprint("day ", index), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateFederationScenario(t, index) })
		})
	}
}

func simulateFederationScenario(t *testing.T, index int) {
	t.Helper()
	const jobs, faults = 90, 7
	ctx, cancel := context.WithCancel(context.Background())
	random, logged := newRandom(uint64(index), streamFederationScenario), &logRecorder{}
	f := newTestFederation(ctx, 120, random, logged)
	for i := range jobs {
		cell, delay, job := randomCellJob(random, i)
		f.SimulateUserAfter(ctx, cell, delay, job)
	}
	injector := cellFaults{federation: f, random: random}
	for i := range faults {
		time.Sleep(secondsBetween(random, 15, 20))
		injector.inject(ctx, (i+index)%faults)
	}
	time.Sleep(10 * time.Minute)
	unfinished := f.Checker.UnfinishedJobs()
	f.end(cancel)
	for _, region := range f.Regions {
		checkViolations(t, region)
	}
	checkFinished(t, unfinished)
	accepted, ended := logged.countMessages(messageOffloadAccepted), logged.countMessages(messageOffloadEnded)
	t.Logf("%d jobs accepted by other cells, %d ended there, %d returned; %d messages, %d bytes each",
		accepted, ended, logged.countMessages(messageOffloadReturned),
		f.messages.messages, f.messages.bytes/max(f.messages.messages, 1))
	if accepted == 0 || ended == 0 {
		t.Errorf("nothing was offloaded: %d accepted by other cells, %d ended there", accepted, ended)
	}
}

// randomCellJob returns a random job, its cell and the delay of its submission.
func randomCellJob(random *rand.Rand, index int) (cell string, delay time.Duration, job userJob) {
	spec := newSpec(index+1, wire.KindArray)
	spec.Image, spec.ImageSizeGB, spec.RuntimeEstimateSeconds = fmt.Sprint("img-", index%3), 2, 20
	cell, delay = cellA, secondsBetween(random, 30, 60)
	var cancelAfter time.Duration
	switch index % 6 {
	case 0:
		// A service. Cell b gets none: one of the faults restores it to an older snapshot, so that states that users
		// have already received for its jobs are lost.
		cell, delay = []string{cellA, cellC}[random.IntN(2)], seconds(random, 240)
		spec.Kind, spec.Priority, spec.TaskCount = wire.KindService, wire.PriorityProduction, 2
		spec.RuntimeEstimateSeconds = 0
		cancelAfter = secondsBetween(random, 60, 120)
	case 1, 2:
		spec.Kind, spec.Priority = wire.KindGang, wire.PriorityHigh
		spec.TaskCount, spec.CPUs, spec.GPUs = 1+random.IntN(3), 16, 2
		spec.SameZone = oneInTwo(random)
	default:
		spec.TaskCount, spec.AllowSpot = 2+random.IntN(12), true
	}
	if random.IntN(6) == 0 && cancelAfter == 0 {
		cancelAfter = secondsBetween(random, 1, 60)
	}
	runSeconds := 10 + 20*random.Float64()
	if cancelAfter > 0 {
		runSeconds += 120 // so that a job that goes on after its cancellation is detected
	}
	return cell, delay, userJob{spec, runSeconds, cancelAfter}
}

// cellFaults injects the faults of a federation's scenario.
type cellFaults struct {
	federation *Federation
	random     *rand.Rand
	snapshot   map[string]wire.KeyValue // of cell b; nil until the first one is taken
}

// inject injects one of seven kinds of fault, most of them into a random cell.
func (c *cellFaults) inject(ctx context.Context, kind int) {
	f := c.federation
	cell, duration := cellNames[c.random.IntN(len(cellNames))], secondsBetween(c.random, 5, 25)
	until := time.Now().Add(duration)
	switch kind {
	case 0:
		deliverLate, responsesOnly := oneInTwo(c.random), oneInTwo(c.random)
		f.AddLinkFault(LinkFault{From: cell, DeliverLate: deliverLate, ResponsesOnly: responsesOnly, Until: until})
	case 1:
		c.restartControllers(ctx, f.Regions[cell])
	case 2:
		f.Regions[cell].KV.StartOutage(until)
	case 3:
		c.snapshot = f.Regions[cellB].KV.Snapshot()
		f.StopCell(ctx, cell, duration)
		time.Sleep(duration)
	case 4:
		f.AddLinkFault(LinkFault{To: cell, ResponsesOnly: true, Until: until})
	case 5:
		if c.snapshot == nil {
			c.snapshot = f.Regions[cellB].KV.Snapshot()
			time.Sleep(10 * time.Second)
		}
		f.RestoreSnapshot(ctx, cellB, c.snapshot, duration)
		time.Sleep(duration)
	case 6:
		f.SetDraining(ctx, cell, true)
		time.Sleep(duration)
		f.SetDraining(ctx, cell, false)
	}
}

// restartControllers restarts all controllers of a region, the leader included, one after the other.
func (c *cellFaults) restartControllers(ctx context.Context, region *Region) {
	for i := range region.ControllerCount() {
		region.KillController(i)
		time.Sleep(milliseconds(c.random, 2000))
		region.StartController(ctx, i)
	}
}

// burstOutcome is the outcome of a burst in one of three cells.
type burstOutcome struct {
	duration time.Duration // until all jobs had ended
	accepted int           // jobs that other cells accepted
}

func (o burstOutcome) String() string {
	return fmt.Sprintf("all ended after %v, %d accepted by other cells", o.duration.Round(time.Second), o.accepted)
}

// simulateBurst submits sixty arrays to one of three cells that are all up, calls fault 40 s later, and waits until all
// jobs have ended. Each cell accepts up to maxOffloadedTasks tasks of other cells.
func simulateBurst(t *testing.T, maxOffloadedTasks int, fault func(context.Context, *Federation)) burstOutcome {
	t.Helper()
	const jobs, maxDuration = 60, 20 * time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	logged := &logRecorder{}
	f := newTestFederation(ctx, maxOffloadedTasks, newRandom(6, streamBurst), logged)
	time.Sleep(60 * time.Second) // the cells have joined
	start := time.Now()
	for i := range jobs {
		spec := newSpec(i+1, wire.KindArray)
		spec.TaskCount, spec.ImageSizeGB, spec.RuntimeEstimateSeconds, spec.AllowSpot = 8, 2, 20, true
		f.SimulateUserAfter(ctx, cellA, 0, userJob{spec: spec, runSeconds: 20})
	}
	time.Sleep(40 * time.Second)
	fault(ctx, f)
	for len(f.Checker.UnfinishedJobs()) > 0 && time.Since(start) < maxDuration {
		time.Sleep(time.Second)
	}
	outcome := burstOutcome{time.Since(start), logged.countMessages(messageOffloadAccepted)}
	checkFinished(t, f.Checker.UnfinishedJobs())
	f.end(cancel)
	for _, region := range f.Regions {
		checkViolations(t, region)
	}
	return outcome
}

// TestCellRemovedForGood removes a cell and its machines while it holds offloaded jobs of another cell. They must wait
// until the operators of the other cell declare the cell as permanently removed, and no longer: every job must end, and
// none may run twice.
func TestCellRemovedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := simulateBurst(t, 400, func(ctx context.Context, f *Federation) {
			f.RemoveCell(ctx, cellB, 3*time.Minute, cellA)
			if len(f.Checker.UnfinishedJobs()) == 0 {
				t.Error("no job waited for the removed cell")
			}
		})
		t.Log(outcome)
	})
}

// TestOffloadShortensBurst checks that a burst in one of three cells that are all up ends sooner if the others accept
// part of it: it must take at most 0.8 of the time that it takes in one cell alone.
func TestOffloadShortensBurst(t *testing.T) {
	noFault := func(context.Context, *Federation) {}
	var without, with burstOutcome
	synctest.Test(t, func(t *testing.T) { without = simulateBurst(t, 0, noFault) })
	synctest.Test(t, func(t *testing.T) { with = simulateBurst(t, 400, noFault) })
	t.Logf("60 arrays of 8 tasks in one of three cells: alone %v; with the others %v", without, with)
	if without.accepted > 0 || with.accepted == 0 || float64(with.duration) > 0.8*float64(without.duration) {
		t.Errorf("alone %v; with the others %v", without, with)
	}
}
