package scheduler

import (
	"cmp"
	"slices"

	"sableusher/internal/tuning"
)

// orderByValue puts the first of the jobs in line in the order of their learned values, within
// what value never crosses: priority, guarantee and danger. Values are asked for only
// if there is room to start any, and while the learner is cold not at all.
func (c *cycle) orderByValue(queue []queuedJob, hasCapacity bool) {
	if !hasCapacity || !c.operator.Learn || len(queue) == 0 || !c.learning.learner.Warm() {
		return
	}
	first := queue[:min(len(queue), tuning.LearnCandidates)]
	for i := range first {
		queued := &first[i]
		cached, ok := c.cachedValues[queued.job.Spec.ID]
		if !ok || c.now.Sub(cached.computedAt) > tuning.ValueLife {
			cached = cachedValue{c.scoreAction(queued.job).Value, c.now}
			c.cachedValues[queued.job.Spec.ID] = cached
		}
		queued.value = cached.value
	}
	slices.SortStableFunc(first, func(a, b queuedJob) int {
		order := a.key.ComparePrecedence(b.key)
		if order == 0 && !a.nearDeadline {
			order = -cmp.Compare(a.value, b.value)
		}
		return order
	})
	// A random pick comes first among its equals in priority and danger.
	if i, ok := c.learning.learner.Explore(len(queue)); ok {
		first := slices.IndexFunc(queue, func(queued queuedJob) bool { return queued.key.ComparePrecedence(queue[i].key) == 0 })
		c.log.Debug("random pick", "job", queue[i].job.Spec.ID)
		picked := queue[i]
		copy(queue[first+1:i+1], queue[first:i])
		queue[first] = picked
	}
}
