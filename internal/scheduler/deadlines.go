package scheduler

import (
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// objectiveTimes are the times by which a job should be over by what its user, its class's aims and
// the jobs that need it say, the earliest first; none if nobody says any.
func (c *cycle) objectiveTimes(job *clusterstate.Job) []time.Time {
	// A deadline counts from the submission, all else from when the job could start.
	startable, runTime, objectives := job.ReadySince(), c.predictedRunTime(job), c.deadlineObjectives(job)
	for _, objective := range c.settings.Deployment.Objectives {
		switch {
		case objective.Class != job.Spec.Class || objective.WithinS <= 0:
		case objective.Kind == "deadline" && job.Spec.DeadlineSeconds > 0 && objective.Times > 0: // one of the cutoffs
		case objective.Kind == "wait":
			objectives = append(objectives, startable.Add(config.Seconds(objective.WithinS)+runTime))
		default:
			objectives = append(objectives, startable.Add(config.Seconds(objective.WithinS)))
		}
	}
	if needed := c.needsOfDependents(job.Spec.ID).deadline; !needed.IsZero() {
		objectives = append(objectives, needed)
	}
	slices.SortFunc(objectives, time.Time.Compare)
	return objectives
}

// deadlineObjectives are a job's own deadline and the multiples of it that its class's aims
// name, counted from its submission, the earliest first; none without a deadline.
func (c *cycle) deadlineObjectives(job *clusterstate.Job) []time.Time {
	if job.Spec.DeadlineSeconds <= 0 {
		return nil
	}
	after := func(times float64) time.Time {
		return time.UnixMilli(job.SubmittedAtMs).Add(config.Seconds(job.Spec.DeadlineSeconds * times))
	}
	deadlines := []time.Time{after(1)}
	for _, objective := range c.settings.Deployment.Objectives {
		if objective.Class == job.Spec.Class && objective.Kind == "deadline" && objective.Times > 0 {
			deadlines = append(deadlines, after(objective.Times))
		}
	}
	slices.SortFunc(deadlines, time.Time.Compare)
	return deadlines
}

// firstReachable gives the first of some times by which a run can still be over, else
// the last, and the slack that is left.
func (c *cycle) firstReachable(objectives []time.Time, runTime time.Duration) (at time.Time, slack time.Duration) {
	for _, at = range objectives {
		if slack = at.Sub(c.now) - runTime; slack >= 0 {
			break
		}
	}
	return at, slack
}

// effectiveDeadline is when a job should be over: the next of its aims that can still be met, with
// the room there is if that was looked at, else the last. It is pressing when little slack is
// left. turn is until when that holds, if nothing but time moves.
func (c *cycle) effectiveDeadline(job *clusterstate.Job) (deadline time.Time, nearDeadline bool, validUntil time.Time) {
	runTime, objectives, never := c.predictedRunTime(job), c.objectiveTimes(job), c.now.Add(tuning.NoDeadline)
	if len(objectives) == 0 {
		return job.ReadySince().Add(tuning.NoDeadline), false, never
	}
	if first, ok := c.objectives.attainable[job.Spec.ID]; ok {
		if i := slices.IndexFunc(objectives, func(at time.Time) bool { return !at.Before(first) }); i > 0 {
			objectives = objectives[i:]
		}
	}
	deadline, slack := c.firstReachable(objectives, runTime)
	switch guardTime := max(tuning.DeadlineGuardMin, time.Duration(tuning.DeadlineGuard*float64(runTime))); {
	case slack < 0 || c.objectives.unattainable[job.Spec.ID]:
		return deadline, false, never
	case slack < guardTime:
		return deadline, true, c.now.Add(slack)
	default:
		return deadline, false, c.now.Add(slack - guardTime)
	}
}

// predictedRunTime is how long a task of a job is expected to run.
func (c *cycle) predictedRunTime(job *clusterstate.Job) time.Duration {
	return config.Seconds(c.learning.runTimes.RunS(job.Spec.Class, job.Spec.RuntimeEstimateSeconds))
}

// estimatedRunTime is how long a task of a job runs as far as its owner knows, else as its class does.
func (c *cycle) estimatedRunTime(job *clusterstate.Job) time.Duration {
	if job.Spec.RuntimeEstimateSeconds > 0 {
		return config.Seconds(job.Spec.RuntimeEstimateSeconds)
	}
	return c.predictedRunTime(job)
}
