package record

import (
	"errors"
	"testing"

	"sableusher/internal/tuning"
)

// TestInvalidTaskGroupsAreRefused: a record with indexes out of range is unreadable, not a way to fill the memory.
func TestInvalidTaskGroupsAreRefused(t *testing.T) {
	for _, runs := range [][]int{
		{1}, {-1, 0}, {0, -1}, {0, tuning.FixedChunkTasks}, {tuning.MaxTasksPerJob, 0}, {0, 1 << 40}, {0, 100, 0, 100},
	} {
		tasks, err := expandGroups([]TaskGroup{{State: TaskBound, IndexRuns: runs}})
		if err == nil {
			t.Errorf("%v gave %d tasks", runs, len(tasks))
		}
		var unpaired *IndexRunsError
		var outOfRange *IndexRunRangeError
		if errors.As(err, &unpaired) != (len(runs)%2 != 0) || errors.As(err, &outOfRange) != (len(runs)%2 == 0) {
			t.Errorf("%v gave %v", runs, err)
		}
	}
}
