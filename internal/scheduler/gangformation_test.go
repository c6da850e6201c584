package scheduler

import (
	"testing"

	"sableusher/internal/tuning"
)

// TestGangTimesOutByItsSize checks that a partly bound gang times out, later the more tasks it has, and that the time
// starts again after the gang was bound completely.
func TestGangTimesOutByItsSize(t *testing.T) {
	formation := gangFormation{}
	const tasks = 10
	limit := testNow.Add(tuning.GangFormTimeout + tasks*tuning.GangFormTimeoutPerTask)
	if formation.timedOut("a", tasks, testNow) || formation.timedOut("a", tasks, limit) {
		t.Error("timed out too early")
	}
	if formation.timedOut("a", tasks+1, limit.Add(1)) || !formation.timedOut("a", tasks, limit.Add(1)) {
		t.Error("the timeout does not follow the number of tasks")
	}
	formation.recordFormed("a")
	if formation.timedOut("a", tasks, limit.Add(1)) {
		t.Error("timed out immediately after all tasks were bound")
	}
	if formation.prune(func(jobID string) bool { return jobID == "a" }); len(formation) != 0 {
		t.Errorf("entries kept after the job ended: %v", formation)
	}
}
