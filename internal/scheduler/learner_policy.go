package scheduler

import (
	"cmp"
	"slices"

	"sableusher/internal/tuning"
)

// orderByValue applies the policy of the paper cited in docs/design.md (section 3.1, algorithm 1): the waiting job with
// the highest value goes first or, with a small probability, a random one (epsilon-greedy). It reorders only jobs of
// the same precedence, so a value never overrides priority, guarantee and the other fields that ComparePrecedence
// compares. It does nothing if there is no capacity to start anything, or before the learner has received enough
// rewards; until then the earliest deadline decides.
func (c *cycle) orderByValue(queue []queuedJob, hasCapacity bool) {
	if !hasCapacity || !c.operator.LearningEnabled || len(queue) == 0 || !c.learning.learner.Warm() {
		return
	}
	c.exploit(queue[:min(len(queue), tuning.LearnerCandidatesPerCycle)])
	c.explore(queue)
}

// exploit orders jobs of the same precedence by descending value. Jobs near their deadline keep their order.
func (c *cycle) exploit(queue []queuedJob) {
	for i := range queue {
		queue[i].value = c.jobValue(queue[i].job)
	}
	slices.SortStableFunc(queue, func(a, b queuedJob) int {
		order := a.key.ComparePrecedence(b.key)
		if order == 0 && !a.nearDeadline {
			order = -cmp.Compare(a.value, b.value)
		}
		return order
	})
}

// explore asks the learner whether to explore, and if so moves a random job before all others of its precedence.
func (c *cycle) explore(queue []queuedJob) {
	drawn, ok := c.learning.learner.Explore(len(queue))
	if !ok {
		return
	}
	picked := queue[drawn]
	first := slices.IndexFunc(queue, func(queued queuedJob) bool {
		return queued.key.ComparePrecedence(picked.key) == 0
	})
	c.log.Debug("moving a random job to the front of its precedence", "job_id", picked.job.Spec.ID)
	copy(queue[first+1:drawn+1], queue[first:drawn])
	queue[first] = picked
}
