package scheduler

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
	"sableusher/internal/tuning"
)

// cachedValue is a job's value as of a time.
type cachedValue struct {
	value      float64
	computedAt time.Time
}

// scoreAction values a job in the state of this round.
func (c *cycle) scoreAction(job *clusterstate.Job) learner.Choice {
	if c.cachedState == nil || c.now.Sub(c.cachedStateAt) > tuning.ValueLife {
		state := c.learnerState()
		c.cachedState, c.cachedStateAt = &state, c.now
	}
	return c.learning.learner.Score(c.cachedState, c.learnerAction(job))
}
