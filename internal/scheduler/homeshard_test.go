package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestOwnerWaitRestarts checks that a job's wait for the owner of its home shard counts from its first observation,
// and starts again when a task of it has been placed or it was not observed for longer than
// tuning.HomeShardGracePeriod.
func TestOwnerWaitRestarts(t *testing.T) {
	job := &clusterstate.Job{Job: record.Job{Spec: wire.JobSpec{ID: "a", TaskCount: 4}}}
	waits := ownerWaits{}
	for _, step := range []struct {
		name  string
		after time.Duration // since the first step
		bound int
		since time.Duration
	}{
		{"first", 0, 0, 0},
		{"observed again", tuning.HomeShardGracePeriod, 0, 0},
		{"at the end of the grace period", 2 * tuning.HomeShardGracePeriod, 0, 0},
		{"not observed for longer", 3*tuning.HomeShardGracePeriod + 1, 0, 3*tuning.HomeShardGracePeriod + 1},
		{"a task placed", 4 * tuning.HomeShardGracePeriod, 1, 4 * tuning.HomeShardGracePeriod},
		{"observed again after that", 5 * tuning.HomeShardGracePeriod, 1, 4 * tuning.HomeShardGracePeriod},
	} {
		job.BoundCount = step.bound
		if since := waits.observe(testNow.Add(step.after), job).Sub(testNow); since != step.since {
			t.Errorf("%s: waits since %v, want %v", step.name, since, step.since)
		}
	}
	if waits.prune(func(string) bool { return false }); len(waits) != 1 {
		t.Error("a job that has not ended was dropped")
	}
	if waits.prune(func(id string) bool { return id == "a" }); len(waits) != 0 {
		t.Error("a job that has ended was kept")
	}
}
