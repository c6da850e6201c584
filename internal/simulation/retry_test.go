package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

const (
	failureDays     = 3
	failureJobs     = 24
	classRetryLimit = 2
)

// TestRetriesUnderFaults plays generated days on which tasks fail by themselves while
// controllers end, machines fail and links are cut: no failure that was acknowledged goes
// uncounted, no job is called failed whose tasks had retries left, whatever awaits a failed one
// is cancelled, and all others are done.
func TestRetriesUnderFaults(t *testing.T) {
	failed, retried := 0, 0
	for seed := range uint64(failureDays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := simulateFailureDay(seed)
				checkDay(t, r)
				byState, done := r.Checker.EndedJobs()
				failed += byState[wire.JobFailed]
				retried += done
			})
		})
	}
	if failed < 5 || retried < 5 {
		t.Errorf("%d jobs failed, %d were done after failures", failed, retried)
	}
}

// simulateFailureDay plays one such day.
func simulateFailureDay(seed uint64) *Region {
	random := newRandom(seed, streamFailureDay)
	ctx, cancel := context.WithCancel(context.Background())
	r := testRegion{
		capacityPerKind: 6,
		random:          newRandom(seed, streamFailureRegion),
		configureOperator: func(operator *config.Operator) {
			class := config.Class{Name: "c", MaxRetries: classRetryLimit, RetryBackoffSeconds: 3,
				MaxRetryBackoffSeconds: 10}
			operator.Classes = []config.Class{class}
		},
	}.start(ctx)
	r.Checker.RetryLimits = map[string]int{"c": classRetryLimit}
	for i := range threeControllers {
		r.AddController(ctx, testSettings(i))
	}
	for i := range failureJobs {
		job := randomFailingJob(random, i)
		for range random.IntN(3) {
			task := record.TaskRef{JobID: job.spec.ID, Index: random.IntN(job.spec.TaskCount)}
			r.InjectTaskFailures(task, 1+random.IntN(3))
		}
		r.SimulateUserAfter(ctx, time.Duration(i*5)*time.Second, job)
	}
	time.Sleep(20 * time.Second)
	for range 8 {
		time.Sleep(secondsBetween(random, 1, 20))
		r.injectRandomFault(ctx, random)
	}
	r.waitUntil(120, func() bool {
		return r.Checker.AllAccepted([]string{jobID(failureJobs)}) && len(r.Checker.UnfinishedJobs()) == 0
	})
	time.Sleep(30 * time.Second)
	r.end(cancel)
	return r
}

// randomFailingJob draws an array or a gang, some of them with a limit of their own, some that await another.
func randomFailingJob(random *rand.Rand, index int) userJob {
	spec := newSpec(index+1, wire.KindArray)
	spec.TaskCount, spec.RuntimeEstimateSeconds = 1+random.IntN(6), 10
	if oneInThree(random) {
		spec.Kind, spec.Priority = wire.KindGang, wire.PriorityHigh
		spec.TaskCount, spec.SameZone = 1+random.IntN(3), true
	}
	if oneInThree(random) {
		limit := random.IntN(2)
		spec.MaxRetries = &limit
	}
	if index > 0 && oneInThree(random) {
		spec.Dependencies = []string{jobID(1 + random.IntN(index))}
	}
	return userJob{spec: spec, runSeconds: float64(3 + len(spec.ID)%5)}
}
