package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	fetchScenarioJobs    = 24
	fetchScenarioImageGB = 6 // fetched in 6 s
	fetchPollInterval    = 50 * time.Millisecond
	fetchStartTimeout    = 90 * time.Second
)

// fetchScenario is a scenario in which jobs are cancelled while the machines that are to start them fetch their
// images.
type fetchScenario struct {
	name          string
	schemaVersion int // newest schema version that the controllers support at the start
	// interfere injects a further fault or change while the first jobs are cancelled; nil: none.
	interfere func(ctx context.Context, r *Region, random *rand.Rand)
}

var fetchScenarios = []fetchScenario{
	{name: "schema version 0"},
	{name: "schema version 1", schemaVersion: tuning.SchemaVersionDependencies},
	{name: "newest schema version", schemaVersion: tuning.SchemaVersion},
	{name: "activated meanwhile", interfere: replaceControllers},
	{
		name: "records migrated meanwhile", schemaVersion: tuning.SchemaVersionDependencies,
		interfere: lowerStoreLimits,
	},
	{
		name: "records of the newest version migrated meanwhile", schemaVersion: tuning.SchemaVersion,
		interfere: lowerStoreLimits,
	},
	{name: "a controller cut off and another restarted", interfere: partitionAndRestart},
}

// newFetchScenarioJob returns a job of one of four shapes: an array, an array of several records, a gang or a service.
func newFetchScenarioJob(number int) userJob {
	spec := newSpec(number, []wire.JobKind{
		wire.KindArray, wire.KindArray, wire.KindGang, wire.KindService,
	}[number%4])
	spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = 4, 2, 0, 8
	if number%4 == 1 {
		spec.TaskCount, spec.CPUs, spec.MemoryGB = tuning.FixedChunkTasks+5, 0.1, 0.2
	}
	spec.Image, spec.ImageSizeGB = fmt.Sprintf("img-%d", number), fetchScenarioImageGB
	return userJob{spec: spec, runSeconds: 300}
}

// isFetchingImage reports whether a machine is fetching the image for a task of a job.
func (r *Region) isFetchingImage(jobID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, agent := range r.agents {
		for attempt, task := range agent.tasks {
			if attempt.task.JobID == jobID && task.State == wire.TaskFetchingImage {
				return true
			}
		}
	}
	return false
}

// cancelWhileFetching submits a job, waits until a machine fetches its image, and cancels it after a further delay. It
// reports whether a machine was still fetching the image when the cancellation was requested.
func (r *Region) cancelWhileFetching(ctx context.Context, job userJob, delay time.Duration) (fetching bool) {
	id := job.spec.ID
	r.SetRunTime(id, job.runSeconds)
	r.Checker.JobSubmitted(job.spec)
	if !r.submitUntilAccepted(ctx, id, wire.MustEncode(job.spec)) {
		return false
	}
	for deadline := time.Now().Add(fetchStartTimeout); !r.isFetchingImage(id) && time.Now().Before(deadline); {
		time.Sleep(fetchPollInterval)
	}
	time.Sleep(delay)
	fetching = r.isFetchingImage(id)
	r.CancelUntilFinal(ctx, id)
	return fetching
}

func (s fetchScenario) simulate(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	random := newRandom(3, streamFetchScenario)
	r := testRegion{
		settings: upgradeSettings, capacityPerKind: 12, random: newRandom(3, streamRegion),
	}.start(ctx)
	for i := range threeControllers {
		r.AddStoppedController(upgradeSettings(i), s.schemaVersion)
		r.StartController(ctx, i)
	}
	fetching := make([]bool, fetchScenarioJobs)
	for i := range fetchScenarioJobs {
		submittedAfter, cancelledAfter := secondsBetween(random, 10, 50), secondsBetween(random, 4, 2)
		r.wg.Go(func() {
			time.Sleep(submittedAfter)
			fetching[i] = r.cancelWhileFetching(ctx, newFetchScenarioJob(i+1), cancelledAfter)
		})
	}
	time.Sleep(30 * time.Second)
	if s.interfere != nil {
		s.interfere(ctx, r, random)
	}
	time.Sleep(3 * time.Minute)
	waited, open := r.Checker.CancellationDurations()
	r.end(cancel)
	checkViolations(t, r)
	cancelledWhileFetching := 0
	for _, wasFetching := range fetching {
		if wasFetching {
			cancelledWhileFetching++
		}
	}
	if cancelledWhileFetching < fetchScenarioJobs/2 {
		t.Errorf("%d of %d jobs were cancelled while an image was fetched", cancelledWhileFetching, fetchScenarioJobs)
	}
	if len(waited) != fetchScenarioJobs || open > 0 {
		t.Errorf("%d of %d cancellations confirmed, %d never", len(waited), fetchScenarioJobs, open)
	}
	t.Logf("%d cancelled while an image was fetched; confirmed after %v", cancelledWhileFetching, waited)
}

// replaceControllers replaces the controllers, one after the other, by controllers of the newest schema version.
func replaceControllers(ctx context.Context, r *Region, random *rand.Rand) {
	for i := range threeControllers {
		r.controllers[i].SchemaVersion = tuning.SchemaVersion
		r.RestartController(ctx, i, 2*time.Second)
		time.Sleep(secondsBetween(random, 3, 4))
	}
}

// lowerStoreLimits lowers the key-value store's limits, so that jobs' records are split further.
func lowerStoreLimits(_ context.Context, r *Region, _ *rand.Rand) { r.KV.LowerLimits(loweredLimits) }

// partitionAndRestart partitions a controller from the key-value store and restarts the leader, three times.
func partitionAndRestart(ctx context.Context, r *Region, random *rand.Rand) {
	for range 3 {
		leader := r.LeaderIndex()
		other := r.ControllerName((leader + 1) % threeControllers)
		until := time.Now().Add(secondsBetween(random, 4, 6))
		r.Network.AddPartition(Partition{From: other, To: hostKV, DeliverLate: oneInTwo(random), Until: until})
		r.RestartController(ctx, leader, time.Second)
		time.Sleep(secondsBetween(random, 8, 5))
	}
}

// TestCancelledJobsDoNotStart checks that no task starts after the cancellation of its job was confirmed to the user.
// Below schema version 2 a cancellation was confirmed as soon as it was durable, while a machine that had received the
// start command before was still fetching the image. The stop reached that machine only with the response to its next
// heartbeat, up to report_s later. A task could thus start 1.6 s after the user had received the confirmation, and run
// until it was stopped 2.2 s after the cancellation was confirmed.
func TestCancelledJobsDoNotStart(t *testing.T) {
	for _, scenario := range fetchScenarios {
		t.Run(scenario.name, func(t *testing.T) { synctest.Test(t, scenario.simulate) })
	}
}
