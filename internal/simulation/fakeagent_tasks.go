package simulation

import (
	"context"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// attempt tells one start of a task from its others.
type attempt struct {
	task   record.TaskRef
	number uint64
}

// agentTask is one attempt on a machine. Its state goes from fetching its image over running, for gangs after
// awaiting the others, to exited; a running task that is stopped may checkpoint in between.
type agentTask struct {
	wire.TaskStatus
	agent            *fakeAgent
	attempt          attempt
	spec             wire.JobSpec
	onMachine        bool
	readyAt          time.Time // when its image is fetched, its work done or its checkpoint saved
	peerMissingSince time.Time // for a gang's; zero: all of the gang are there
}

// advance advances the tasks, and ends them with the lease. Callers hold the region's lock.
func (a *fakeAgent) advance(ctx context.Context, now time.Time) {
	if a.removed || a.hung() {
		return
	}
	if now.Sub(a.leaseRenewedAt) > a.region.Settings.LeaseDuration() {
		a.expireLease(now)
	}
	for _, task := range a.tasks {
		task.advance(ctx, now)
	}
}

func (t *agentTask) advance(ctx context.Context, now time.Time) {
	switch t.State {
	case wire.TaskFetchingImage:
		if !now.Before(t.readyAt) {
			t.begin(now)
		}
	case wire.TaskAwaitingGang:
		t.awaitGang(now)
	case wire.TaskRunning:
		if t.spec.Kind == wire.KindGang && len(t.gang()) < t.spec.TaskCount {
			t.missPeers(now)
		} else if t.spec.Kind != wire.KindService && !now.Before(t.readyAt) {
			t.finish(ctx)
		}
	case wire.TaskCheckpointing:
		if now.After(t.readyAt) {
			t.agent.region.workload.checkpointed[t.attempt.task] = true
			t.exit(wire.ExitCauseStopped)
			t.CheckpointSaved = true
		}
	}
}

// begin runs a task whose image is there, unless it is done already.
func (t *agentTask) begin(now time.Time) {
	region := t.agent.region
	t.agent.images[t.spec.Image] = true
	if region.Checker.TaskIsDone(t.attempt.task) {
		t.exit(wire.ExitCauseDone)
		return
	}
	t.onMachine = true
	region.Checker.TaskStarted(t.attempt.task, t.agent.placement())
	t.agent.statusChanged = true
	t.State = wire.TaskRunning
	t.readyAt = now.Add(region.workload.remaining(t.attempt.task))
	if t.spec.Kind == wire.KindGang {
		t.State = wire.TaskAwaitingGang
		t.readyAt = now.Add(config.ToDuration(region.Settings.Deployment.Workers.GangWaitS))
	}
}

// awaitGang runs the whole gang once all of it are there.
func (t *agentTask) awaitGang(now time.Time) {
	gang := t.gang()
	if len(gang) != t.spec.TaskCount {
		if now.After(t.readyAt) {
			t.exit(wire.ExitCauseGangIncomplete)
		}
		return
	}
	runTime := t.agent.region.workload.remaining(record.TaskRef{JobID: t.attempt.task.JobID})
	for _, member := range gang {
		member.agent.statusChanged = true
		member.State = wire.TaskRunning
		member.readyAt = now.Add(runTime)
	}
}

// missPeers ends a gang's task that has missed others for too long.
func (t *agentTask) missPeers(now time.Time) {
	if t.peerMissingSince.IsZero() {
		t.peerMissingSince = now
		return
	}
	if now.Sub(t.peerMissingSince) > config.ToDuration(t.agent.region.Settings.Deployment.Workers.GangPeerS) {
		t.exit(wire.ExitCauseGangMemberLost)
	}
}

// finish completes a task, with all others of its gang, or lets one of them fail that is to fail.
func (t *agentTask) finish(ctx context.Context) {
	region := t.agent.region
	finished := []*agentTask{t}
	if t.spec.Kind == wire.KindGang {
		finished = t.gang()
	}
	failing := slices.IndexFunc(finished, func(member *agentTask) bool {
		return region.workload.failures[member.attempt.task] > 0
	})
	if failing >= 0 {
		member := finished[failing]
		region.workload.failures[member.attempt.task]--
		region.Checker.TaskFailed(member.attempt.task)
		member.exit(wire.ExitCauseError)
		return
	}
	for _, member := range finished {
		region.Checker.TaskCompleted(member.attempt.task)
		member.exit(wire.ExitCauseDone)
	}
	region.taskCompleted(ctx, t.attempt.task.JobID)
}

// exit ends a task, with an empty cause when its lease expired.
func (t *agentTask) exit(cause wire.ExitCause) {
	if t.onMachine {
		t.agent.region.Checker.TaskLeft(t.attempt.task, t.agent.name)
		t.onMachine = false
	}
	t.State, t.ExitCause, t.CheckpointSaved = wire.TaskExited, cause, false
	t.agent.statusChanged = true
}

// gang gives the tasks of the same attempt of a gang that have come together.
func (t *agentTask) gang() []*agentTask {
	var out []*agentTask
	for _, agent := range t.agent.region.agents {
		if agent.hung() {
			continue
		}
		for other, task := range agent.tasks {
			if other.task.JobID == t.attempt.task.JobID && other.number == t.attempt.number && task.joinsGang() {
				out = append(out, task)
			}
		}
	}
	return out
}

func (t *agentTask) joinsGang() bool {
	return t.State == wire.TaskAwaitingGang || t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing
}
