package simulation

import (
	"context"
	"strings"
	"testing"
	"time"

	"sableusher/internal/record"
)

// reappliedPrefixes are the prefixes of the keys of which a copy of an answered transaction may hold again;
// docs/meetings.md says what each costs.
var reappliedPrefixes = []string{record.RentalPrefix, record.MachinePrefix, "l/"}

// maxReappliedRecordAge is how long capacity that does not exist may be counted: no job may wait longer for room.
const maxReappliedRecordAge = 90 * time.Second

// TestCopiesOfAnsweredTransactionsBreakNoRule checks that no copy of an answered transaction breaks a rule, and that
// only copies of rentals, machine records and learner checkpoints are applied.
func TestCopiesOfAnsweredTransactionsBreakNoRule(t *testing.T) {
	simulateSeedsInParallel(t, "WRITE_COPY_DAYS", 2, simulateWriteCopies)
}

func simulateWriteCopies(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	random := newRandom(seed, streamWriteCopyScenario)
	r := threeControllerRegion(ctx, 8, seed)
	r.KV.DuplicateWrites(0.5, time.Now().Add(5*time.Minute), seed)
	longest := r.watchReappliedRecords(ctx)
	for i := range 30 {
		r.SimulateUserAfter(ctx, seconds(random, 200), randomUnevenJob(random, i+1))
	}
	for range 6 {
		time.Sleep(secondsBetween(random, 20, 30))
		injection{r, random, time.Now().Add(20 * time.Second)}.forThirdOfMachines(r.FailMachine)
		restartLeader(ctx, injection{region: r, random: random})
	}
	r.waitUntilFinished(90)
	time.Sleep(2 * time.Minute)
	r.end(cancel)
	checkRun(t, r)
	if r.KV.TransactionCopies == 0 || len(r.KV.ReappliedKeys) == 0 {
		t.Errorf("%d copies, %d keys applied again", r.KV.TransactionCopies, len(r.KV.ReappliedKeys))
	}
	counts := map[string]int{}
	for _, key := range r.KV.ReappliedKeys {
		counts[reappliedPrefix(key)]++
	}
	if *longest > maxReappliedRecordAge {
		t.Errorf("a record that a copy had written again remained for %v", *longest)
	}
	if counts[""] > 0 {
		t.Errorf("copies were applied to other keys: %v", r.KV.ReappliedKeys)
	}
	t.Logf("%d copies, applied again %v, for up to %v", r.KV.TransactionCopies, counts, *longest)
}

// watchReappliedRecords returns the longest time, in a run until ctx ends, for which a machine record or rental that a
// copy had written again remained.
func (r *Region) watchReappliedRecords(ctx context.Context) *time.Duration {
	longest := new(time.Duration)
	r.wg.Go(func() {
		since := map[string]time.Time{}
		for ; ctx.Err() == nil; time.Sleep(time.Second) {
			present := r.KV.presentReapplied()
			for key := range since {
				if !present[key] {
					delete(since, key)
				}
			}
			for key := range present {
				if _, seen := since[key]; !seen {
					since[key] = time.Now()
				}
				*longest = max(*longest, time.Since(since[key]))
			}
		}
	})
	return longest
}

// presentReapplied returns the keys of the machine records and rentals that copies have written again and that exist.
func (kv *FakeKV) presentReapplied() map[string]bool {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	present := map[string]bool{}
	for _, key := range kv.ReappliedKeys {
		if _, exists := kv.rows[key]; exists && strings.HasPrefix(key, record.LivePrefix) {
			present[key] = true
		}
	}
	return present
}

// reappliedPrefix returns the one of the reappliedPrefixes that a key has, or the empty string.
func reappliedPrefix(key string) string {
	for _, prefix := range reappliedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return prefix
		}
	}
	return ""
}
