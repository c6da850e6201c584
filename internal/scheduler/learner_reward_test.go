package scheduler

import (
	"math"
	"testing"
	"time"

	"sableusher/internal/tuning"
)

// TestUtilizationIsFinishedOverHeld checks that utilization is the machine time of finished tasks divided by the time
// held, never above 1, and that both times halve within tuning.UtilizationHalfLife.
func TestUtilizationIsFinishedOverHeld(t *testing.T) {
	var used utilization
	if used.value() != 0 {
		t.Errorf("utilization without machines is %v", used.value())
	}
	used.accrue(testNow, 10)
	if used.heldMachineSeconds != 0 {
		t.Errorf("%v s held before any time has passed", used.heldMachineSeconds)
	}
	now := testNow.Add(time.Second)
	used.accrue(now, 10)
	used.finishedMachineSeconds += 4
	if math.Abs(used.value()-0.4) > 1e-3 {
		t.Errorf("utilization is %v, want 0.4", used.value())
	}
	used.accrue(now.Add(tuning.UtilizationHalfLife), 0)
	if math.Abs(used.finishedMachineSeconds-2) > 1e-3 || math.Abs(used.heldMachineSeconds-5) > 1e-2 {
		t.Errorf("%v s finished and %v s held after one half-life",
			used.finishedMachineSeconds, used.heldMachineSeconds)
	}
	if used.finishedMachineSeconds = 1000; used.value() != 1 {
		t.Errorf("utilization is %v, want at most 1", used.value())
	}
}

// TestResponsivenessIsRunTimeOverAllTime checks equation 1 of the paper.
func TestResponsivenessIsRunTimeOverAllTime(t *testing.T) {
	for _, test := range []struct{ runS, sinceReadyS, want float64 }{
		{10, 40, 0.25},
		{10, 10, 1},
		{10, 5, 1}, // clock skew: the run time exceeds the time since the job was ready
		{0, 0, 0},
		{0, 10, 0},
	} {
		if got := responsivenessOf(test.runS, test.sinceReadyS); got != test.want {
			t.Errorf("responsiveness of %v s in %v s is %v, want %v", test.runS, test.sinceReadyS, got, test.want)
		}
	}
}
