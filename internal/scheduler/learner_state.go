package scheduler

import (
	"math"
	"time"

	"sableusher/internal/learner"
)

// learnerState describes what this round chooses in.
func (c *cycle) learnerState() learner.State {
	state := learner.State{Shares: map[string]float64{}, NextFreeS: math.Inf(1)}
	waiting := 0.0
	for _, job := range c.cluster.Jobs {
		if !job.CanStart() {
			continue
		}
		runTime := c.learning.runTimes.RunS(job.Spec.Class, job.Spec.RuntimeEstimateSeconds)
		// Half of a task's run time is left on average.
		state.RunningS += float64(job.BoundCount) * runTime / 2
		if job.BoundCount > 0 && runTime > 0 {
			state.NextFreeS = min(state.NextFreeS, runTime/2/float64(job.BoundCount))
		}
		if pending := float64(job.PendingCount()); pending > 0 {
			state.BacklogS += pending * runTime
			state.Shares[job.Spec.Team]++
			waiting++
		}
	}
	for team := range state.Shares {
		state.Shares[team] /= waiting
	}
	for _, machine := range c.cluster.Machines {
		if machine.Up && len(machine.Bindings) == 0 {
			state.Idle++
		}
	}
	if state.Idle > 0 || math.IsInf(state.NextFreeS, 1) {
		state.NextFreeS = 0
	}
	return state
}

// ProvisioningState gives what the pool's size is chosen in.
func (e *Engine) ProvisioningState() learner.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	c := &cycle{Engine: e, now: time.Now()}
	return c.learnerState()
}
