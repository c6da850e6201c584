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
	fetchDayJobs         = 24
	fetchDayImageGB      = 6 // fetched in 6 s
	fetchDayPollInterval = 50 * time.Millisecond
	fetchDayUserPatience = 90 * time.Second
)

// fetchDay is a day on which jobs are cancelled while the machines that were to start them fetch their images.
type fetchDay struct {
	name          string
	schemaVersion int // that all controllers read at the beginning
	// meanwhile is what happens as the first jobs are cancelled; nil: nothing.
	meanwhile func(ctx context.Context, r *Region, random *rand.Rand)
}

var fetchDays = []fetchDay{
	{name: "schema version 0"},
	{name: "schema version 1", schemaVersion: tuning.SchemaVersionDependencies},
	{name: "newest schema version", schemaVersion: tuning.SchemaVersion},
	{name: "activated meanwhile", meanwhile: replaceControllers},
	{
		name: "records migrated meanwhile", schemaVersion: tuning.SchemaVersionDependencies,
		meanwhile: lowerStoreLimits,
	},
	{
		name: "records of the newest version migrated meanwhile", schemaVersion: tuning.SchemaVersion,
		meanwhile: lowerStoreLimits,
	},
	{name: "a controller cut off and another restarted", meanwhile: cutOffAndRestart},
}

// fetchDayJob is one of four shapes: an array, one of several records, a gang and a service.
func fetchDayJob(number int) userJob {
	spec := newSpec(number, []wire.JobKind{
		wire.KindArray, wire.KindArray, wire.KindGang, wire.KindService,
	}[number%4])
	spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = 4, 2, 0, 8
	if number%4 == 1 {
		spec.TaskCount, spec.CPUs, spec.MemoryGB = tuning.FixedChunkTasks+5, 0.1, 0.2
	}
	spec.Image, spec.ImageSizeGB = fmt.Sprintf("img-%d", number), fetchDayImageGB
	return userJob{spec: spec, runSeconds: 300}
}

// isFetchingImage tells whether a machine fetches the image for a task of a job.
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

// cancelWhileFetching submits a job and cancels it some time after the first machine begins to fetch its image. It
// tells whether one still did when the cancellation was asked for.
func (r *Region) cancelWhileFetching(ctx context.Context, job userJob, delay time.Duration) (fetching bool) {
	id := job.spec.ID
	r.SetRunTime(id, job.runSeconds)
	r.Checker.JobSubmitted(job.spec)
	if !r.submitUntilAccepted(ctx, id, wire.MustEncode(job.spec)) {
		return false
	}
	for deadline := time.Now().Add(fetchDayUserPatience); !r.isFetchingImage(id) && time.Now().Before(deadline); {
		time.Sleep(fetchDayPollInterval)
	}
	time.Sleep(delay)
	fetching = r.isFetchingImage(id)
	r.CancelUntilFinal(ctx, id)
	return fetching
}

func (d fetchDay) simulate(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	random := newRandom(3, streamFetchDay)
	r := testRegion{
		settings: upgradeSettings, capacityPerKind: 12, random: newRandom(3, streamRegion),
	}.start(ctx)
	for i := range threeControllers {
		r.AddStoppedController(upgradeSettings(i), d.schemaVersion)
		r.StartController(ctx, i)
	}
	fetching := make([]bool, fetchDayJobs)
	for i := range fetchDayJobs {
		submittedAfter, cancelledAfter := secondsBetween(random, 10, 50), secondsBetween(random, 4, 2)
		r.wg.Go(func() {
			time.Sleep(submittedAfter)
			fetching[i] = r.cancelWhileFetching(ctx, fetchDayJob(i+1), cancelledAfter)
		})
	}
	time.Sleep(30 * time.Second)
	if d.meanwhile != nil {
		d.meanwhile(ctx, r, random)
	}
	time.Sleep(3 * time.Minute)
	waited, open := r.Checker.CancellationDurations()
	r.end(cancel)
	checkViolations(t, r)
	met := 0
	for _, fetched := range fetching {
		if fetched {
			met++
		}
	}
	if met < fetchDayJobs/2 {
		t.Errorf("%d of %d jobs were cancelled while an image was fetched", met, fetchDayJobs)
	}
	if len(waited) != fetchDayJobs || open > 0 {
		t.Errorf("%d of %d cancellations confirmed, %d never", len(waited), fetchDayJobs, open)
	}
	t.Logf("%d cancelled while an image was fetched; confirmed after %v", met, waited)
}

// replaceControllers replaces the controllers, one after the other, by those of the newest version.
func replaceControllers(ctx context.Context, r *Region, random *rand.Rand) {
	for i := range threeControllers {
		r.controllers[i].SchemaVersion = tuning.SchemaVersion
		r.RestartController(ctx, i, 2*time.Second)
		time.Sleep(secondsBetween(random, 3, 4))
	}
}

// lowerStoreLimits lowers the key-value store's limits, so that jobs' records are split further.
func lowerStoreLimits(_ context.Context, r *Region, _ *rand.Rand) { r.KV.LowerLimits(loweredLimits) }

// cutOffAndRestart cuts a controller off from the key-value store and restarts the leader, again and again.
func cutOffAndRestart(ctx context.Context, r *Region, random *rand.Rand) {
	for range 3 {
		leader := r.LeaderIndex()
		other := r.ControllerName((leader + 1) % threeControllers)
		until := time.Now().Add(secondsBetween(random, 4, 6))
		r.Network.AddPartition(Partition{From: other, To: hostKV, DeliverLate: oneInTwo(random), Until: until})
		r.RestartController(ctx, leader, time.Second)
		time.Sleep(secondsBetween(random, 8, 5))
	}
}

// TestCancelledJobsDoNotStart: a user is told that a job is cancelled, and seconds later a task of it starts. The
// machine had the start command before, and was still fetching the image. Below schema version 2 a cancellation was
// confirmed as soon as it was durable, whatever was bound, and the stop reached the machine with the answer to its
// next heartbeat, up to report_s later. On day 4 of TestUpgradeDays the log had "task bound" at 20.593 s, "job
// cancelled" with confirmed=true at 21.054 s on a controller of schema version 0, and "task exited without being
// done" of that task with cause=halted at 23.242 s; the checker saw it start 1.644 s after its user was told.
func TestCancelledJobsDoNotStart(t *testing.T) {
	for _, day := range fetchDays {
		t.Run(day.name, func(t *testing.T) { synctest.Test(t, day.simulate) })
	}
}
