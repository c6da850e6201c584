package scheduler

import (
	"log/slog"
	"maps"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// learning is the scheduler's part of reinforcement learning, after the paper that docs/design.md follows:
// the model of the scheduling problem (section 3.2) is here, the value function Q (section 3.3) in
// package learner. The files learner_*.go hold its parts by their names there: state, action, reward,
// value, policy. The engine's lock guards it.
type learning struct {
	operator *config.Operator
	log      *slog.Logger

	learner  *learner.Learner
	runTimes *learner.RunTimeEstimates // of each class, the paper's estimated model
	// pendingRewards are the actions taken whose reward is not known yet, by the learner's number.
	pendingRewards map[taskAttempt]int64
	startedAt      map[taskAttempt]time.Time
	utilization    utilization
	// recentResponsiveness is a fading mean of the responsiveness of the tasks that ended.
	recentResponsiveness float64
	values               valueCache
}

// taskAttempt names one attempt of a task.
type taskAttempt struct {
	task    record.TaskRef
	attempt uint64
}

// initialResponsiveness is the responsiveness assumed before any task has ended.
const initialResponsiveness = 0.5

func newLearning(operator *config.Operator, seed uint64, log *slog.Logger) learning {
	return learning{
		operator: operator,
		log:      log,
		learner: learner.New(learner.Config{
			LearningRate:    operator.LearningRate,
			Discount:        operator.Discount,
			ExplorationRate: operator.Exploration,
			WarmUpRewards:   operator.WarmUpRewards,
			Seed:            seed,
			Logger:          log,
		}),
		runTimes:             learner.NewRunTimeEstimates(),
		pendingRewards:       map[taskAttempt]int64{},
		startedAt:            map[taskAttempt]time.Time{},
		recentResponsiveness: initialResponsiveness,
		values:               valueCache{byJob: map[string]cachedValue{}},
	}
}

// recordDecision tells the learner of a task that was started. Each task is a decision of its own, as
// the paper's jobs take one processor each; the reservoir has moved on since the job was valued, so
// the action is scored anew.
func (c *cycle) recordDecision(queued *queuedJob, binding pendingBinding, attempt uint64) {
	l := &c.learning
	if !l.operator.LearningEnabled {
		return
	}
	choice := c.scoreJob(queued.job)
	l.pendingRewards[taskAttempt{binding.task, attempt}] = l.learner.TakeAction(choice)
	l.log.Debug("task chosen", "task", binding.task, "value", choice.Value, "near_deadline", queued.nearDeadline)
}

// recordRunning notes when a task began to run, and rewards a service's start once it has run for a
// while, as a service never completes.
func (l *learning) recordRunning(now time.Time, binding clusterstate.Binding, task agent.TaskObservation) {
	if task.State != wire.TaskRunning {
		return
	}
	start := taskAttempt{binding.Ref, binding.Attempt}
	if _, ok := l.startedAt[start]; !ok {
		l.startedAt[start] = task.Since
	}
	id, ok := l.pendingRewards[start]
	if !ok || binding.Job.Spec.Kind != wire.KindService || now.Sub(task.Since) <= tuning.ServiceRewardAfter {
		return
	}
	waited := max(0, task.Since.Sub(binding.Job.ReadySince()).Seconds())
	ran := tuning.ServiceRewardAfter.Seconds()
	l.giveReward(id, start, ran/(ran+waited))
}

// recordEnd rewards the start of a task that left its machine. A start that did not lead to the end of
// the task has no responsiveness.
func (l *learning) recordEnd(
	now time.Time, cluster *clusterstate.State, binding clusterstate.Binding, done bool, machineName string,
) {
	start := taskAttempt{binding.Ref, binding.Attempt}
	startedAt, started := l.startedAt[start]
	delete(l.startedAt, start)
	spec := &binding.Job.Spec
	responsiveness := 0.0
	if done && started {
		runS := now.Sub(startedAt).Seconds()
		responsiveness = responsivenessOf(runS, now.Sub(binding.Job.ReadySince()).Seconds())
		l.utilization.finishedMachineS += runS * shareOfMachine(cluster, spec, machineName)
		if binding.Attempt == 1 { // a later attempt may have resumed from a checkpoint
			l.runTimes.RecordRun(spec.Class, runS, spec.RuntimeEstimateSeconds)
		}
	}
	if id, ok := l.pendingRewards[start]; ok {
		l.giveReward(id, start, responsiveness)
	}
}

// prune drops what is kept of jobs that are over.
func (l *learning) prune(isOver func(job string) bool) {
	maps.DeleteFunc(l.values.byJob, func(job string, _ cachedValue) bool { return isOver(job) })
}

// dropStaleAttempts drops what no attempt of a task needs any more.
func (l *learning) dropStaleAttempts(jobs map[string]*clusterstate.Job) {
	stale := func(start taskAttempt) bool {
		job := jobs[start.task.JobID]
		return job == nil || !job.HasRecord || job.Task(start.task.Index).Attempt > start.attempt
	}
	maps.DeleteFunc(l.pendingRewards, func(start taskAttempt, _ int64) bool { return stale(start) })
	maps.DeleteFunc(l.startedAt, func(start taskAttempt, _ time.Time) bool { return stale(start) })
}
