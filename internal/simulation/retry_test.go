package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestRetriesUnderFaults plays generated days on which tasks fail by themselves while
// nodes end, machines die and links are cut: no failure that was acknowledged goes
// uncounted, no job is called failed whose tasks had repeats left, whatever awaits a failed one
// falls, and all others are done.
func TestRetriesUnderFaults(t *testing.T) {
	failed, repeated := 0, 0
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			r := simulateFailureDay(seed)
			if len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
				t.Errorf("seed %d, broken rules:\n%s", seed, strings.Join(append(r.Checker.Violations, r.KV.Violations...), "\n"))
			}
			if left := r.Checker.UnfinishedJobs(); len(left) > 0 {
				t.Errorf("seed %d, never finished: %v", seed, left)
			}
			ended, again := r.Checker.EndedJobs()
			failed += ended[wire.JobFailed]
			repeated += again
		})
	}
	if failed < 5 || repeated < 5 {
		t.Errorf("%d jobs failed, %d were done after failures", failed, repeated)
	}
}

// simulateFailureDay plays one such day.
func simulateFailureDay(seed uint64) *Region {
	rnd := rand.New(rand.NewPCG(seed, 17))
	ctx, cancel := context.WithCancel(context.Background())
	r := NewRegion(ctx, testSettings(0), testTypes, 6, rand.New(rand.NewPCG(seed, 18)), testLogger())
	r.ConfigureOperator = func(op *config.Operator) {
		op.Classes = []config.Class{{Name: "c", Repeats: 2, PauseS: 3, PauseMaxS: 10}}
	}
	r.Checker.RetryLimits = map[string]int{"c": 2}
	for i := range 3 {
		r.AddController(testSettings(i))
	}
	for i := range 24 {
		s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			TaskCount: 1 + rnd.IntN(6), CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 10}}
		if rnd.IntN(3) == 0 {
			s.Kind, s.Priority, s.TaskCount, s.SameZone = wire.KindGang, wire.PriorityHigh, 1+rnd.IntN(3), true
		}
		limit := 2
		if rnd.IntN(3) == 0 {
			limit = rnd.IntN(2)
			s.MaxRetries = &limit
		}
		if i > 0 && rnd.IntN(3) == 0 {
			s.Dependencies = []string{fmt.Sprintf("run-%06d", 1+rnd.IntN(i))}
		}
		for range rnd.IntN(3) {
			r.InjectTaskFailures(record.TaskRef{JobID: s.ID, Index: rnd.IntN(s.TaskCount)}, 1+rnd.IntN(3))
		}
		at := time.Duration(i*5) * time.Second
		r.wg.Go(func() {
			time.Sleep(at)
			r.SimulateUser(ctx, s, float64(3+len(s.ID)%5), 0)
		})
	}
	time.Sleep(20 * time.Second)
	for range 8 {
		time.Sleep(time.Duration(1+rnd.IntN(20)) * time.Second)
		r.Log.Info("TROUBLE", "what", injectRandomFault(r, rnd))
	}
	for range 120 {
		time.Sleep(5 * time.Second)
		if r.Checker.AllAccepted([]string{"run-000024"}) && len(r.Checker.UnfinishedJobs()) == 0 {
			break
		}
	}
	time.Sleep(30 * time.Second)
	cancel()
	r.Wait()
	time.Sleep(3 * time.Minute)
	return r
}
