package record

import (
	"errors"
	"testing"

	"sableusher/internal/tuning"
)

// TestInvalidTaskGroupsAreRejected checks that groups with unpaired or out-of-range index runs are rejected, so that a
// corrupt record cannot exhaust the memory.
func TestInvalidTaskGroupsAreRejected(t *testing.T) {
	for _, runs := range [][]int{
		{1}, {-1, 0}, {0, -1}, {0, tuning.FixedChunkTasks}, {tuning.MaxTasksPerJob, 0}, {0, 1 << 40}, {0, 100, 0, 100},
	} {
		tasks, err := expandGroups([]TaskGroup{{State: TaskBound, IndexRuns: runs}})
		if err == nil {
			t.Errorf("index runs %v were accepted as %d tasks", runs, len(tasks))
		}
		var unpaired *IndexRunsError
		var outOfRange *IndexRunRangeError
		if errors.As(err, &unpaired) != (len(runs)%2 != 0) || errors.As(err, &outOfRange) != (len(runs)%2 == 0) {
			t.Errorf("index runs %v failed with %v", runs, err)
		}
	}
}
