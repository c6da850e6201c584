package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/tuning"
)

// TestBackoffDoublesUpToItsBound checks that each failure of a job doubles its backoff, from tuning.MinJobBackoff up to
// tuning.MaxJobBackoff, and that other jobs and jobs that have ended have no backoff.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	table := backoffTable{}
	now, want := testNow, tuning.MinJobBackoff
	for range 20 {
		table.extend("a", now)
		if !table.active("a", now.Add(want-1)) || table.active("a", now.Add(want)) {
			t.Errorf("backoff %+v, want %v from %v", table["a"], want, now)
		}
		now, want = now.Add(time.Hour), min(2*want, tuning.MaxJobBackoff)
	}
	if want != tuning.MaxJobBackoff {
		t.Errorf("backoff still grows at %v", want)
	}
	if table.active("b", now) {
		t.Error("a job that never failed is in backoff")
	}
	if table.prune(func(jobID string) bool { return jobID == "a" }); len(table) != 0 {
		t.Errorf("backoffs kept after the job ended: %v", table)
	}
}
