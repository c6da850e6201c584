package simulation

import (
	"context"
	"testing"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	pipelineCount = 80
	// slowPipelineRequests is the share of the requests to the key-value store that are slow.
	slowPipelineRequests = 0.5
	// minCancelledPipelines is the minimum number of pipelines whose first job is cancelled as it completes and is then
	// reported as done, and of those in which it is reported as cancelled.
	minCancelledPipelines = 3
)

// pipelineJobs returns the two jobs of a pipeline: an array with several records, and one that depends on it.
func pipelineJobs(number int) (first, second userJob) {
	first = multiRecordJob(2*number + 1)
	first.spec.CPUs, first.runSeconds = 0.02, 10
	second = userJob{spec: newSpec(2*number+2, wire.KindArray), runSeconds: 5}
	second.spec.TaskCount, second.spec.CPUs, second.spec.GPUs, second.spec.MemoryGB = 3, 0.1, 0, 0.2
	second.spec.Image = first.spec.Image
	second.spec.Dependencies = []string{first.spec.ID}
	return first, second
}

// simulatePipelines runs pipelines of two jobs while the key-value store is slow. The user of each first job cancels it
// as its last task completes.
func simulatePipelines(seed uint64) *Region {
	ctx, cancel := context.WithCancel(context.Background())
	random := newRandom(seed, streamPipelineScenario)
	r := testRegion{
		settings: faultScenarioSettings, capacityPerKind: 12, random: newRandom(seed, streamRegion),
	}.startControllers(ctx, threeControllers)
	time.Sleep(20 * time.Second)
	cancelsEnd := time.Now().Add(4 * time.Minute)
	r.KV.SlowRequests(slowPipelineRequests, cancelsEnd, seed)
	r.CancelAtCompletion(1, cancelsEnd, seed)
	for i := range pipelineCount {
		first, second := pipelineJobs(i)
		submittedAfter := secondsBetween(random, 0, 120)
		r.SimulateUserAfter(ctx, submittedAfter, first)
		r.SimulateUserAfter(ctx, submittedAfter+8*time.Second, second)
	}
	time.Sleep(time.Until(cancelsEnd))
	r.Checker.FaultsEnded()
	r.waitUntilFinished(90)
	time.Sleep(30 * time.Second)
	r.end(cancel)
	return r
}

// firstJobOutcomes counts the pipelines whose first job's user asked to cancel it, by the final state of the job.
func (r *Region) firstJobOutcomes() map[wire.JobState]int {
	outcomes := map[wire.JobState]int{}
	for _, job := range r.Checker.jobs {
		if job.spec.TaskCount > tuning.FixedChunkTasks && job.cancelRequested {
			outcomes[job.finalState]++
		}
	}
	return outcomes
}

// TestDependentsOfJobsCancelledAtCompletion guards against a job that is cancelled with a job before it that is done:
// the mark of a cancellation may show before the completion of the last task in another record. PIPELINE_DAYS sets the
// number of scenarios.
func TestDependentsOfJobsCancelledAtCompletion(t *testing.T) {
	simulateSeeds(t, "PIPELINE_DAYS", 2, func(t *testing.T, seed uint64) {
		r := simulatePipelines(seed + 1)
		checkRun(t, r)
		outcomes := r.firstJobOutcomes()
		t.Logf("first jobs that were to be cancelled, by outcome: %v", outcomes)
		if min(outcomes[wire.JobDone], outcomes[wire.JobCancelled]) < minCancelledPipelines {
			t.Errorf("want at least %d of each outcome", minCancelledPipelines)
		}
	})
}
