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

// learning is the scheduler's reinforcement learning, after the paper cited in docs/design.md. The scheduler implements
// the paper's model of the scheduling problem (section 3.2), and package learner implements the value function Q
// (section 3.3). The files learner_*.go are named after the parts of the paper's model: state, action, reward, value
// and policy. The engine's lock guards the fields of learning; learner and runTimes point to values that are safe for
// concurrent use and have mutexes of their own.
type learning struct {
	operator *config.Operator
	log      *slog.Logger

	learner  *learner.Learner
	runTimes *learner.RunTimeEstimates // by class; the paper's estimated model
	// pendingRewards holds the learner's IDs of the actions whose reward is not known yet.
	pendingRewards map[taskAttempt]int64
	startedAt      map[taskAttempt]time.Time
	utilization    utilization
	// recentResponsiveness is a decaying mean of the responsiveness of ended tasks.
	recentResponsiveness float64
	values               valueCache
}

// taskAttempt identifies one attempt of a task.
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

// recordDecision reports the start of a task to the learner. Each task is a decision of its own, as each of the paper's
// jobs uses one processor. The action is scored again, because the learner's reservoir has changed since the job was
// valued.
func (c *cycle) recordDecision(queued *queuedJob, binding inFlightBinding, attempt uint64) {
	l := &c.learning
	if !l.operator.LearningEnabled {
		return
	}
	choice := c.scoreJob(queued.job)
	l.pendingRewards[taskAttempt{binding.task, attempt}] = l.learner.TakeAction(choice)
	l.log.Debug("task chosen", "task", binding.task, "value", choice.Value, "near_deadline", queued.nearDeadline)
}

// recordRunning records when a task began to run. A service never completes, so its start is rewarded once the task has
// run for tuning.ServiceRewardAfter.
func (l *learning) recordRunning(now time.Time, binding clusterstate.Binding, task agent.TaskObservation) {
	if task.State != wire.TaskRunning {
		return
	}
	start := taskAttempt{binding.Ref, binding.Attempt}
	if _, ok := l.startedAt[start]; !ok {
		l.startedAt[start] = task.StateSince
	}
	id, ok := l.pendingRewards[start]
	if !ok || binding.Job.Spec.Kind != wire.KindService || now.Sub(task.StateSince) <= tuning.ServiceRewardAfter {
		return
	}
	waited := max(0, task.StateSince.Sub(binding.Job.ReadySince()).Seconds())
	ran := tuning.ServiceRewardAfter.Seconds()
	l.reportReward(id, start, ran/(ran+waited))
}

// recordEnd rewards the start of a task that left its machine. The responsiveness is 0 if the task did not complete.
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
		l.utilization.finishedMachineSeconds += runS * shareOfMachine(cluster, spec, machineName)
		if binding.Attempt == 1 { // a later attempt may have resumed from a checkpoint
			l.runTimes.RecordRun(spec.Class, runS, spec.RuntimeEstimateSeconds)
		}
	}
	if id, ok := l.pendingRewards[start]; ok {
		l.reportReward(id, start, responsiveness)
	}
}

// prune drops the cached values of jobs that have ended.
func (l *learning) prune(hasEnded func(job string) bool) {
	maps.DeleteFunc(l.values.byJob, func(job string, _ cachedValue) bool { return hasEnded(job) })
}

// dropStaleAttempts drops the attempts of jobs that have ended and of tasks that are in a later attempt.
func (l *learning) dropStaleAttempts(jobs map[string]*clusterstate.Job) {
	stale := func(start taskAttempt) bool {
		job := jobs[start.task.JobID]
		return job == nil || !job.HasRecord || job.Task(start.task.Index).Attempt > start.attempt
	}
	maps.DeleteFunc(l.pendingRewards, func(start taskAttempt, _ int64) bool { return stale(start) })
	maps.DeleteFunc(l.startedAt, func(start taskAttempt, _ time.Time) bool { return stale(start) })
}
