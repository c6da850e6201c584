package scheduler

import (
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// taskAttempt names one start of a task.
type taskAttempt struct {
	task    clusterstate.TaskRef
	attempt uint64
}

// learning is what the engine keeps for the learner: decisions whose payoff is
// due, run times, and the two sides of utilization.
type learning struct {
	learner        *learner.Learner
	runTimes       *learner.Estimates
	pendingRewards map[taskAttempt]int64
	startedAt      map[taskAttempt]time.Time

	finishedMachineSeconds float64 // run time of completed tasks, in machine seconds, fading
	heldMachineSeconds     float64 // time of machines held, fading
	accruedAt              time.Time
	recentResponsiveness   float64 // responsiveness of late, fading
}

// utilization is the finished share of the machine time paid for.
func (l *learning) utilization() float64 {
	if l.heldMachineSeconds <= 0 {
		return 0
	}
	return min(1, l.finishedMachineSeconds/l.heldMachineSeconds)
}

// recordRunning notes when a task began to run, and pays a service's start once it has
// run for a while: it never completes.
func (c *cycle) recordRunning(binding clusterstate.Binding, task agent.TaskObservation) {
	if task.State != wire.TaskRunning {
		return
	}
	start := taskAttempt{binding.Ref, binding.Attempt}
	if _, ok := c.learning.startedAt[start]; !ok {
		c.learning.startedAt[start] = task.Since
	}
	if id, ok := c.learning.pendingRewards[start]; ok && binding.Job.Spec.Kind == wire.KindService && c.now.Sub(task.Since) > tuning.ServicePayoff {
		waited := task.Since.Sub(binding.Job.ReadySince()).Seconds()
		ran := tuning.ServicePayoff.Seconds()
		c.giveReward(id, start, ran/(ran+max(0, waited)))
	}
}

// recordEnd pays the start of a task that left its machine. Responsiveness is run
// time over run time plus all other time since submission; a start that did not
// lead to the end has none of it.
func (c *cycle) recordEnd(binding clusterstate.Binding, done bool, machine string) {
	start := taskAttempt{binding.Ref, binding.Attempt}
	began, ran := c.learning.startedAt[start]
	delete(c.learning.startedAt, start)
	spec := &binding.Job.Spec
	responsiveness := 0.0
	if done && ran {
		run := c.now.Sub(began).Seconds()
		total := max(run, c.now.Sub(binding.Job.ReadySince()).Seconds())
		if total > 0 {
			responsiveness = run / total
		}
		if record := c.cluster.Machines[machine]; record != nil {
			if typ, ok := c.cluster.Types[record.Type]; ok {
				capacity := clusterstate.Capacity(&typ)
				c.learning.finishedMachineSeconds += run * (1 - binpack.FreeFraction(capacity.AddTimes(clusterstate.TaskResources(spec), -1), capacity))
			}
		}
		if binding.Attempt == 1 { // a later attempt may have resumed saved work
			c.learning.runTimes.Completed(spec.Class, run, spec.RuntimeEstimateSeconds)
		}
	}
	if id, ok := c.learning.pendingRewards[start]; ok {
		c.giveReward(id, start, responsiveness)
	}
}

// recordDecision tells the learner of a task that was started. Each is a decision of its
// own, as the paper's jobs take one processor each; the memory has moved on
// since the job was valued, so it is scored anew.
func (c *cycle) recordDecision(queued *queuedJob, binding pendingBinding, attempt uint64) {
	if !c.operator.Learn {
		return
	}
	choice := c.scoreAction(queued.job)
	c.learning.pendingRewards[taskAttempt{binding.task, attempt}] = c.learning.learner.Take(choice)
	c.log.Debug("task chosen", "task", binding.task, "value", choice.Value, "pressing", queued.nearDeadline)
}

// dropStaleDecisions drops what no task needs any more.
func (e *Engine) dropStaleDecisions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	stale := func(start taskAttempt) bool {
		job := e.cluster.Jobs[start.task.Job]
		return job == nil || !job.HasRecord || job.Task(start.task.Index).Attempt > start.attempt
	}
	for start := range e.learning.pendingRewards {
		if stale(start) {
			delete(e.learning.pendingRewards, start)
		}
	}
	for start := range e.learning.startedAt {
		if stale(start) {
			delete(e.learning.startedAt, start)
		}
	}
}
