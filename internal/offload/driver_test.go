package offload

import (
	"maps"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
)

const propertySeeds = 40 // number of simulation runs, each with a seed of its own

// runSeed simulates one run and returns the first violation of a rule, or "" if there is none.
func runSeed(t *testing.T, seed uint64, ignoredConditions string, seen *events) (violation string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		violation = newTestWorld(seed, ignoredConditions, seen).run(t)
	})
	return violation
}

// TestOneCellStartsAJob simulates two Offloaders that exchange jobs under faults: messages are lost, duplicated and
// delayed, transactions are executed without a response or much later, cluster states lag, Offloaders restart and
// leaders change. At any time at most one cell may hold the right to start a job. No job may run in two cells or
// start after its end, and each must end once, as done only if it ran. When the faults stop all jobs must end, and
// no record but their final ones may be left. Each kind of fault and event must occur in at least one run.
func TestOneCellStartsAJob(t *testing.T) {
	seen := &events{}
	for seed := range uint64(propertySeeds) {
		if violation := runSeed(t, seed, "", seen); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	t.Logf("%+v", *seen)
	counts := reflect.ValueOf(*seen)
	for i := range counts.NumField() {
		if counts.Field(i).Int() == 0 {
			t.Errorf("%s: did not occur in any run", counts.Type().Field(i).Name)
		}
	}
}

// TestMissingConditionsAreFound checks that the rules of TestOneCellStartsAJob are violated if the Offloaders'
// transactions lack the conditions on the records of jobs, or on those of cells.
func TestMissingConditionsAreFound(t *testing.T) {
	for name, prefix := range map[string]string{"job": record.JobPrefix, "cell": record.CellPrefix} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(propertySeeds) {
				if violation := runSeed(t, seed, prefix, &events{}); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no rule was violated in runs of %d seeds", propertySeeds)
		})
	}
}

// deposedLeaderChanges offers a job from a deposed leader, whose cluster state does not have the election yet. It
// returns the keys that the leader changes.
func deposedLeaderChanges(t *testing.T, ignoredConditions string) []string {
	t.Helper()
	world := newTestWorld(1, ignoredConditions, &events{})
	cell := world.cells[0]
	for range joinSeconds {
		world.step(t.Context(), 0)
	}
	world.addJob(cell)
	cell.store.refresh(cell.state)
	time.Sleep(10 * time.Second) // longer than tuning.OffloadMinWait, so that the job may be offered
	if err := cell.offloader.exchange(t.Context(), cell.operator.Cells[0]); err != nil {
		t.Fatal(err) // an offer requires a recent digest
	}
	cell.elect()
	before := maps.Clone(cell.store.values)
	err := cell.offloader.offerJobs(t.Context())
	changed := changedKeys(before, cell.store.values)
	if (err == nil) != (len(changed) > 0) {
		t.Errorf("the offer returned the error %v and changed %v", err, changed)
	}
	return changed
}

// TestDeposedLeaderChangesNothing checks that the transactions of a deposed leader are rejected, and that the
// condition on the leader's record is what rejects them.
func TestDeposedLeaderChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if changed := deposedLeaderChanges(t, ""); len(changed) > 0 {
			t.Errorf("a deposed leader changed %v", changed)
		}
		if changed := deposedLeaderChanges(t, record.ShardPrefix); len(changed) == 0 {
			t.Error("nothing is offered, even without the condition on the leader's record")
		}
	})
}

// changedKeys returns the keys in after that were written since before, sorted.
func changedKeys(before, after map[string]storedValue) []string {
	var changed []string
	for key, value := range after {
		if before[key].modRevision != value.modRevision {
			changed = append(changed, key)
		}
	}
	slices.Sort(changed)
	return changed
}
