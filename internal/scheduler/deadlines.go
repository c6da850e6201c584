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
	objectiveWait     = "wait"     // the time within which a task must start
	objectiveDeadline = "deadline" // the multiple of the job's own deadline within which the job must be done
)

// objectiveTimes returns the times by which a job should be done according to its user's deadline, its class's
// objectives and the jobs that depend on it, earliest first. It returns none if the job has no objective.
func (c *cycle) objectiveTimes(job *clusterstate.Job) []time.Time {
	// A deadline counts from the submission, all other objectives from when the job could first start.
	readySince, runTime, objectives := job.ReadySince(), c.predictedRunTime(job), c.deadlineObjectives(job)
	for _, objective := range c.settings.Deployment.Objectives {
		switch {
		case objective.Class != job.Spec.Class || objective.WithinS <= 0:
		case objective.Kind == objectiveDeadline && job.Spec.DeadlineSeconds > 0 && objective.Times > 0:
			// deadlineObjectives includes this objective.
		case objective.Kind == objectiveWait:
			objectives = append(objectives, readySince.Add(config.ToDuration(objective.WithinS)+runTime))
		default:
			objectives = append(objectives, readySince.Add(config.ToDuration(objective.WithinS)))
		}
	}
	if needed := c.needsOfDependents(job.Spec.ID).deadline; !needed.IsZero() {
		objectives = append(objectives, needed)
	}
	slices.SortFunc(objectives, time.Time.Compare)
	return objectives
}

// deadlineObjectives returns a job's own deadline and the multiples of it in its class's objectives, counted from its
// submission, earliest first. It returns none if the job has no deadline.
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

// firstReachable returns the first of the objectives that a task started now can meet, or the last objective if it can
// meet none, and the slack until that time. The slack is negative if the task would be late.
func firstReachable(now time.Time, objectives []time.Time, runTime time.Duration) (at time.Time, slack time.Duration) {
	for _, at = range objectives {
		if slack = at.Sub(now) - runTime; slack >= 0 {
			break
		}
	}
	return at, slack
}

// jobDeadline is the deadline by which scheduling orders a job.
type jobDeadline struct {
	at         time.Time
	near       bool      // the deadline can still be met, but little slack is left
	validUntil time.Time // when the deadline changes if nothing but time passes
}

// effectiveDeadline returns the first objective of a job that it can still meet, given the available capacity if that
// was assessed. If the job can meet none, it returns the last one.
func (c *cycle) effectiveDeadline(job *clusterstate.Job) jobDeadline {
	runTime, objectives, farFuture := c.predictedRunTime(job), c.objectiveTimes(job), c.now.Add(tuning.DefaultDeadline)
	if len(objectives) == 0 {
		return jobDeadline{at: job.ReadySince().Add(tuning.DefaultDeadline), validUntil: farFuture}
	}
	if first, ok := c.order.objectives.attainable[job.Spec.ID]; ok {
		if i := slices.IndexFunc(objectives, func(at time.Time) bool { return !at.Before(first) }); i > 0 {
			objectives = objectives[i:]
		}
	}
	deadline, slack := firstReachable(c.now, objectives, runTime)
	minSlack := max(tuning.MinDeadlineSlack, time.Duration(tuning.DeadlineSlackShare*float64(runTime)))
	switch {
	case slack < 0 || c.order.objectives.unattainable[job.Spec.ID]:
		return jobDeadline{at: deadline, validUntil: farFuture}
	case slack < minSlack:
		return jobDeadline{at: deadline, near: true, validUntil: c.now.Add(slack)}
	default:
		return jobDeadline{at: deadline, validUntil: c.now.Add(slack - minSlack)}
	}
}

// predictedRunTime returns the expected run time of a job's tasks, from earlier runs of the job's class and the user's
// estimate.
func (c *cycle) predictedRunTime(job *clusterstate.Job) time.Duration {
	return config.ToDuration(c.learning.runTimes.ExpectedRunSeconds(job.Spec.Class, job.Spec.RuntimeEstimateSeconds))
}

// estimatedRunTime returns the user's estimate of the run time of a job's tasks, or predictedRunTime without one.
func (c *cycle) estimatedRunTime(job *clusterstate.Job) time.Duration {
	if job.Spec.RuntimeEstimateSeconds > 0 {
		return config.ToDuration(job.Spec.RuntimeEstimateSeconds)
	}
	return c.predictedRunTime(job)
}
