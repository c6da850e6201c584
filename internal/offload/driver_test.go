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

const propertySeeds = 40

// runSeed plays one run and returns the first violation of a rule, or "".
func runSeed(t *testing.T, seed uint64, ignoredConditions string, seen *events) (violation string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		violation = newTestWorld(seed, ignoredConditions, seen).run(t)
	})
	return violation
}

// TestOneCellStartsAJob: two drivers exchange jobs while messages are lost, doubled and late, transactions are
// carried out without an answer or much later, cluster states lag, drivers forget what they know and leaders
// change. At any time at most one cell holds the right to start a job, no job runs in two cells or after its
// end, each ends once, as done only if it ran, and when the troubles are over all end and nothing is left.
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
			t.Errorf("no %s", counts.Type().Field(i).Name)
		}
	}
}

// TestMissingConditionsAreFound: the property fails if the drivers' transactions lack the conditions on the
// records of jobs, or on those of cells.
func TestMissingConditionsAreFound(t *testing.T) {
	for name, prefix := range map[string]string{"job": record.JobPrefix, "cell": record.CellPrefix} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(propertySeeds) {
				if violation := runSeed(t, seed, prefix, &events{}); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("no violation in %d seeds", propertySeeds)
		})
	}
}

// deposedLeaderChanges lets a leader that another one has succeeded, and that has not learned of it, offer a job.
// It returns the keys that it changes.
func deposedLeaderChanges(t *testing.T, ignoredConditions string) []string {
	t.Helper()
	world := newTestWorld(1, ignoredConditions, &events{})
	cell := world.cells[0]
	for range joinSeconds {
		world.step(t.Context(), 0)
	}
	world.addJob(cell)
	cell.store.refresh(cell.state)
	time.Sleep(10 * time.Second) // the job has waited for long enough to be offered
	if err := cell.offloader.exchange(t.Context(), cell.operator.Cells[0]); err != nil {
		t.Fatal(err) // without a recent digest there is no offer
	}
	cell.elect()
	before := maps.Clone(cell.store.values)
	err := cell.offloader.offerJobs(t.Context())
	changed := changedKeys(before, cell.store.values)
	if (err == nil) != (len(changed) > 0) {
		t.Errorf("the offer ends with %v and changes %v", err, changed)
	}
	return changed
}

// TestDeposedLeaderChangesNothing: the transactions of a deposed leader are refused, and it is the condition on
// the leader's record that refuses them.
func TestDeposedLeaderChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if changed := deposedLeaderChanges(t, ""); len(changed) > 0 {
			t.Errorf("a deposed leader changes %v", changed)
		}
		if changed := deposedLeaderChanges(t, record.ShardPrefix); len(changed) == 0 {
			t.Error("without the condition on the leader's record nothing is offered either")
		}
	})
}

// changedKeys lists the keys whose values differ.
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
