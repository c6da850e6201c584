package scheduler

import (
	"math"

	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
)

// state returns the state s in which an action is chosen, described by the five variables of the grid model of the
// paper cited in docs/design.md (section 3.2, "State Space"): the remaining work of running jobs, the time until a
// machine becomes free, the backlog, the idle machines, and each team's share of the waiting jobs.
func (l *learning) state(cluster *clusterstate.State) learner.State {
	state := learner.State{TeamShares: map[string]float64{}, NextFreeSeconds: math.Inf(1)}
	waitingJobs := 0.0
	for _, job := range cluster.Jobs {
		if !job.CanStart() {
			continue
		}
		runS := l.runTimes.ExpectedRunSeconds(job.Spec.Class, job.Spec.RuntimeEstimateSeconds)
		// On average a running task has half of its run time left.
		state.RunningWorkSeconds += float64(job.BoundCount) * runS / 2
		if job.BoundCount > 0 && runS > 0 {
			state.NextFreeSeconds = min(state.NextFreeSeconds, runS/2/float64(job.BoundCount))
		}
		if pending := float64(job.PendingCount()); pending > 0 {
			state.BacklogSeconds += pending * runS
			state.TeamShares[job.Spec.Team]++
			waitingJobs++
		}
	}
	for team := range state.TeamShares {
		state.TeamShares[team] /= waitingJobs
	}
	for _, machine := range cluster.Machines {
		if machine.Up && len(machine.Bindings) == 0 {
			state.IdleMachines++
		}
	}
	if state.IdleMachines > 0 || math.IsInf(state.NextFreeSeconds, 1) {
		state.NextFreeSeconds = 0
	}
	return state
}

// ProvisioningState returns the state in which the number of machines is chosen.
func (e *Engine) ProvisioningState() learner.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	return e.learning.state(e.cluster)
}
