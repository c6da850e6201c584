package scheduler

import (
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// Kinds of service-level objectives in the deployment's settings.
const (
	objectiveWait     = "wait"     // a time within which a task starts
	objectiveDeadline = "deadline" // a multiple of the job's own deadline within which it is done
)

// objectiveTimes are the times by which a job should be over by its user's deadline, its class's objectives
// and the jobs that need it, the earliest first; empty if there are none.
func (c *cycle) objectiveTimes(job *clusterstate.Job) []time.Time {
	// A deadline counts from the submission, all else from when the job could start.
	startable, runTime, objectives := job.ReadySince(), c.predictedRunTime(job), c.deadlineObjectives(job)
	for _, objective := range c.settings.Deployment.Objectives {
		switch {
		case objective.Class != job.Spec.Class || objective.WithinS <= 0:
		case objective.Kind == objectiveDeadline && job.Spec.DeadlineSeconds > 0 && objective.Times > 0:
			// It is among the deadline objectives.
		case objective.Kind == objectiveWait:
			objectives = append(objectives, startable.Add(config.ToDuration(objective.WithinS)+runTime))
		default:
			objectives = append(objectives, startable.Add(config.ToDuration(objective.WithinS)))
		}
	}
	if needed := c.needsOfDependents(job.Spec.ID).deadline; !needed.IsZero() {
		objectives = append(objectives, needed)
	}
	slices.SortFunc(objectives, time.Time.Compare)
	return objectives
}

// deadlineObjectives are a job's own deadline and the multiples of it that its class's objectives name,
// counted from its submission, the earliest first; empty without a deadline.
func (c *cycle) deadlineObjectives(job *clusterstate.Job) []time.Time {
	if job.Spec.DeadlineSeconds <= 0 {
		return nil
	}
	after := func(times float64) time.Time {
		return time.UnixMilli(job.SubmittedAtMs).Add(config.ToDuration(job.Spec.DeadlineSeconds * times))
	}
	deadlines := []time.Time{after(1)}
	for _, objective := range c.settings.Deployment.Objectives {
		if objective.Class == job.Spec.Class && objective.Kind == objectiveDeadline && objective.Times > 0 {
			deadlines = append(deadlines, after(objective.Times))
		}
	}
	slices.SortFunc(deadlines, time.Time.Compare)
	return deadlines
}

// firstReachable returns the first of some times by which a task that starts now can still be over, else the
// last, and the slack that is left; negative if it would be late.
func firstReachable(now time.Time, objectives []time.Time, runTime time.Duration) (at time.Time, slack time.Duration) {
	for _, at = range objectives {
		if slack = at.Sub(now) - runTime; slack >= 0 {
			break
		}
	}
	return at, slack
}

// jobDeadline is when a job should be over, as scheduling goes by it.
type jobDeadline struct {
	at         time.Time
	near       bool      // it can still be met, but little slack is left
	validUntil time.Time // when it changes if nothing but time moves
}

// effectiveDeadline is the next of a job's objectives that can still be met, with the capacity there is if
// that was assessed, else the last.
func (c *cycle) effectiveDeadline(job *clusterstate.Job) jobDeadline {
	runTime, objectives, never := c.predictedRunTime(job), c.objectiveTimes(job), c.now.Add(tuning.DefaultDeadline)
	if len(objectives) == 0 {
		return jobDeadline{at: job.ReadySince().Add(tuning.DefaultDeadline), validUntil: never}
	}
	if first, ok := c.order.objectives.attainable[job.Spec.ID]; ok {
		if i := slices.IndexFunc(objectives, func(at time.Time) bool { return !at.Before(first) }); i > 0 {
			objectives = objectives[i:]
		}
	}
	deadline, slack := firstReachable(c.now, objectives, runTime)
	guardTime := max(tuning.MinDeadlineSlack, time.Duration(tuning.DeadlineSlackShare*float64(runTime)))
	switch {
	case slack < 0 || c.order.objectives.unattainable[job.Spec.ID]:
		return jobDeadline{at: deadline, validUntil: never}
	case slack < guardTime:
		return jobDeadline{at: deadline, near: true, validUntil: c.now.Add(slack)}
	default:
		return jobDeadline{at: deadline, validUntil: c.now.Add(slack - guardTime)}
	}
}

// predictedRunTime is how long a task of a job is expected to run, by the runs seen of its class and its
// owner's estimate.
func (c *cycle) predictedRunTime(job *clusterstate.Job) time.Duration {
	return config.ToDuration(c.learning.runTimes.ExpectedRunSeconds(job.Spec.Class, job.Spec.RuntimeEstimateSeconds))
}

// estimatedRunTime is how long a task of a job runs by its owner's estimate, or as predicted without one.
func (c *cycle) estimatedRunTime(job *clusterstate.Job) time.Duration {
	if job.Spec.RuntimeEstimateSeconds > 0 {
		return config.ToDuration(job.Spec.RuntimeEstimateSeconds)
	}
	return c.predictedRunTime(job)
}
