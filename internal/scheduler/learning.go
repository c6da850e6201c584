package scheduler

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// taskAttempt names one start of a task.
type taskAttempt struct {
	task    record.TaskRef
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

// Payoff mixes responsiveness and utilization.
func (e *Engine) reward(responsiveness float64) float64 {
	return e.operator.Lambda*responsiveness + (1-e.operator.Lambda)*e.learning.utilization()
}

// accrueMachineTime moves utilization's paid side on; machines of this node's parts count.
func (c *cycle) accrueMachineTime() {
	learning := &c.learning
	if !learning.accruedAt.IsZero() {
		elapsed := c.now.Sub(learning.accruedAt)
		fade := math.Pow(0.5, elapsed.Seconds()/tuning.UtilizationFade.Seconds())
		machines := 0
		for shard := range c.shardRevisions {
			machines += len(c.cluster.MachinesByShard[shard])
		}
		learning.finishedMachineSeconds, learning.heldMachineSeconds = learning.finishedMachineSeconds*fade, learning.heldMachineSeconds*fade+float64(machines)*elapsed.Seconds()
	}
	learning.accruedAt = c.now
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
		if machineEntry := c.cluster.Machines[machine]; machineEntry != nil {
			if typ, ok := c.cluster.Catalog.Types[machineEntry.Type]; ok {
				capacity := record.Capacity(&typ)
				c.learning.finishedMachineSeconds += run * (1 - binpack.FreeFraction(capacity.AddTimes(record.TaskResources(spec), -1), capacity))
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

func (c *cycle) giveReward(id int64, start taskAttempt, responsiveness float64) {
	delete(c.learning.pendingRewards, start)
	c.learning.recentResponsiveness += (responsiveness - c.learning.recentResponsiveness) / 16
	reward := c.reward(responsiveness)
	c.learning.learner.Pay(id, reward)
	c.log.Debug("payoff", "task", start.task, "responsiveness", responsiveness, "utilization", c.learning.utilization(), "payoff", reward)
}

// dependentNeeds is what the jobs that need one ask of it: the highest of their
// priorities, and by when it should be over for them to meet their deadlines.
type dependentNeeds struct {
	rank     int
	deadline time.Time
}

// needsOfDependents follows the jobs that need one, directly or through others; those that
// are cancelled ask nothing any more. It reads records only, so that all nodes
// find the same but for their estimates of what lies between.
func (c *cycle) needsOfDependents(id string) dependentNeeds {
	needs := dependentNeeds{rank: wire.PriorityCount}
	dependents := c.cluster.Dependents(id)
	if len(dependents) == 0 {
		return needs
	}
	if known, ok := c.dependentNeedsByJob[id]; ok {
		return known
	}
	for dependent := range dependents {
		job := c.cluster.Jobs[dependent]
		if job == nil || !job.HasRecord || job.Cancelled() || job.DependencyCancelled {
			continue
		}
		further := c.needsOfDependents(dependent)
		needs.rank = min(needs.rank, further.rank, job.Spec.Priority.Rank())
		own, _ := c.firstReachable(c.deadlineObjectives(job), c.predictedRunTime(job))
		if by := earliestNonZero(further.deadline, own); !by.IsZero() {
			needs.deadline = earliestNonZero(needs.deadline, by.Add(-c.predictedRunTime(job)))
		}
	}
	if c.dependentNeedsByJob == nil {
		c.dependentNeedsByJob = map[string]dependentNeeds{}
	}
	c.dependentNeedsByJob[id] = needs
	return needs
}

// earliestNonZero gives the earlier of two times, of which either may be none.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// effectiveRank is a job's priority, raised to that of a job that needs it. Production
// stays for services that users watch: what only leads to something is never
// above high, so that a long pipeline can't push them aside.
func (c *cycle) effectiveRank(job *clusterstate.Job) int {
	return min(job.Spec.Priority.Rank(), max(c.needsOfDependents(job.Spec.ID).rank, wire.PriorityHigh.Rank()))
}

// learnerState describes what this round chooses in.
func (c *cycle) learnerState() learner.State {
	state := learner.State{Shares: map[string]float64{}, NextFreeS: math.Inf(1)}
	waiting := 0.0
	for _, job := range c.cluster.Jobs {
		if !job.CanStart() {
			continue
		}
		runTime := c.learning.runTimes.RunS(job.Spec.Class, job.Spec.RuntimeEstimateSeconds)
		// Half of a task's run time is left on average.
		state.RunningS += float64(job.BoundCount) * runTime / 2
		if job.BoundCount > 0 && runTime > 0 {
			state.NextFreeS = min(state.NextFreeS, runTime/2/float64(job.BoundCount))
		}
		if pending := float64(job.PendingCount()); pending > 0 {
			state.BacklogS += pending * runTime
			state.Shares[job.Spec.Team]++
			waiting++
		}
	}
	for team := range state.Shares {
		state.Shares[team] /= waiting
	}
	for _, machine := range c.cluster.Machines {
		if machine.Up && len(machine.Bindings) == 0 {
			state.Idle++
		}
	}
	if state.Idle > 0 || math.IsInf(state.NextFreeS, 1) {
		state.NextFreeS = 0
	}
	return state
}

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

func (c *cycle) learnerAction(job *clusterstate.Job) *learner.Action {
	return &learner.Action{Class: job.Spec.Class, Team: job.Spec.Team, RunS: c.learning.runTimes.RunS(job.Spec.Class, job.Spec.RuntimeEstimateSeconds),
		Interactive: c.effectiveRank(job) <= wire.PriorityHigh.Rank()}
}

// scoreAction values a job in the state of this round.
func (c *cycle) scoreAction(job *clusterstate.Job) learner.Choice {
	if c.cachedState == nil || c.now.Sub(c.cachedStateAt) > tuning.ValueLife {
		state := c.learnerState()
		c.cachedState, c.cachedStateAt = &state, c.now
	}
	return c.learning.learner.Score(c.cachedState, c.learnerAction(job))
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

// ProvisioningState gives what the pool's size is chosen in.
func (e *Engine) ProvisioningState() learner.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	c := &cycle{Engine: e, now: time.Now()}
	return c.learnerState()
}

// ProvisioningReward is what a size has earned: responsiveness of late and utilization.
func (e *Engine) ProvisioningReward() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reward(e.learning.recentResponsiveness)
}

// Learner gives the learner that the pool shares.
func (e *Engine) Learner() *learner.Learner { return e.learning.learner }

// RunLearner keeps the readout fitted and saved until ctx ends.
func (e *Engine) RunLearner(ctx context.Context) error {
	key := record.LearnerCheckpointKey(e.settings.Node)
	e.restoreCheckpoint(ctx, key)
	refit := time.NewTicker(config.Seconds(e.operator.RefitS))
	defer refit.Stop()
	save := time.NewTicker(tuning.LearnSave)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-refit.C:
			if err := e.learning.learner.Refit(); err != nil {
				e.log.Info("values not refitted", "err", err)
			}
			e.dropStaleDecisions()
		case <-save.C:
			checkpoint := e.learning.learner.Save()
			e.learning.runTimes.Save(&checkpoint)
			saveCtx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
			if _, err := e.committer.Commit(saveCtx, kvstore.Transaction{Ops: e.checkpointOps(key, checkpoint)}); err != nil {
				e.log.Debug("values not saved", "err", err)
			}
			cancel()
		}
	}
}

// checkpointOps gives the changes that save what was learned, in the form that is written.
func (e *Engine) checkpointOps(key string, checkpoint learner.Saved) []wire.Op {
	e.cluster.RLock()
	level := e.cluster.SchemaVersion
	e.cluster.RUnlock()
	if level < tuning.LevelPipelines {
		return []wire.Op{kvstore.PutOp(key, checkpoint)}
	}
	var ops []wire.Op
	for i, piece := range checkpoint.Split(e.committer.MaxRecordBytes(), time.Now().UnixMilli()) {
		ops = append(ops, kvstore.PutOp(record.LearnerCheckpointPieceKey(e.settings.Node, i), piece))
	}
	return ops
}

// readCheckpoint reads a record, again and again while the state service doesn't answer.
func (e *Engine) readCheckpoint(ctx context.Context, key string) (learner.Saved, error) {
	for {
		var checkpoint learner.Saved
		row, err := e.reader.Get(ctx, key)
		switch {
		case err == nil:
			return checkpoint, wire.Decode(row.Value, &checkpoint)
		case errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil:
			return checkpoint, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.StateRetry):
		}
	}
}

// loadCheckpoint reads the values saved under the node's name: in pieces, or as one
// record, as they were before LevelPipelines.
func (e *Engine) loadCheckpoint(ctx context.Context, key string) (learner.Saved, error) {
	checkpoint, err := e.readCheckpoint(ctx, record.LearnerCheckpointPieceKey(e.settings.Node, 0))
	if errors.Is(err, kvstore.ErrNotFound) {
		return e.readCheckpoint(ctx, key)
	}
	for i := 1; i < checkpoint.Of && err == nil; i++ {
		var piece learner.Saved
		if piece, err = e.readCheckpoint(ctx, record.LearnerCheckpointPieceKey(e.settings.Node, i)); err == nil {
			err = checkpoint.Join(piece)
		}
	}
	return checkpoint, err
}

// restoreCheckpoint goes on from the values saved under the node's name. They are advice
// only: what is corrupt or of another form is ignored.
func (e *Engine) restoreCheckpoint(ctx context.Context, key string) {
	checkpoint, err := e.loadCheckpoint(ctx, key)
	if err == nil {
		err = e.learning.learner.Restore(checkpoint)
	}
	switch {
	case errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil:
	case err != nil:
		e.log.Info("saved values ignored", "err", err)
	default:
		e.learning.runTimes.Restore(checkpoint)
		e.log.Info("goes on from saved values", "payoffs", checkpoint.Paid)
	}
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
