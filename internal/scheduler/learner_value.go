package scheduler

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
	"sableusher/internal/tuning"
)

// valueCache caches the state and the values of the function Q(s, a) for tuning.LearnerValueMaxAge. The state changes
// little in that time, and computing it iterates over all jobs and machines.
type valueCache struct {
	byJob   map[string]cachedValue
	state   *learner.State
	stateAt time.Time
}

// cachedValue is the value of starting a task of a job, as of computedAt.
type cachedValue struct {
	value      float64
	computedAt time.Time
}

// scoreJob returns the score of starting a task of a job now, with its value Q(s, a) (section 3.1 of the paper cited in
// docs/design.md).
func (c *cycle) scoreJob(job *clusterstate.Job) learner.ScoredAction {
	l := &c.learning
	if l.values.state == nil || c.now.Sub(l.values.stateAt) > tuning.LearnerValueMaxAge {
		state := l.state(c.cluster)
		l.values.state, l.values.stateAt = &state, c.now
	}
	return l.learner.Score(l.values.state, c.jobAction(job))
}

// jobValue returns the value of starting a task of a job, at most tuning.LearnerValueMaxAge old.
func (c *cycle) jobValue(job *clusterstate.Job) float64 {
	cached, ok := c.learning.values.byJob[job.Spec.ID]
	if !ok || c.now.Sub(cached.computedAt) > tuning.LearnerValueMaxAge {
		cached = cachedValue{c.scoreJob(job).Value, c.now}
		c.learning.values.byJob[job.Spec.ID] = cached
	}
	return cached.value
}
