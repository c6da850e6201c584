package simulation

import (
	"context"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// attempt identifies one start of a task among all its starts.
type attempt struct {
	task   record.TaskRef
	number uint64
}

// agentTask is one attempt on a machine. Its states are fetching the image, awaiting the gang (for tasks of gangs),
// running, checkpointing (for running tasks that are stopped) and exited.
type agentTask struct {
	wire.TaskStatus
	agent            *fakeAgent
	attempt          attempt
	spec             wire.JobSpec
	onMachine        bool      // the checker counts the task as running on the machine
	readyAt          time.Time // when the current state ends: image fetched, gang wait over, work done or saved
	peerMissingSince time.Time // when a running gang was first found incomplete, kept from then on; zero: never
}

// advance advances all tasks, and stops them if the lease has expired. A machine that hangs or was removed does
// nothing. Callers hold the region's lock.
func (a *fakeAgent) advance(ctx context.Context, now time.Time) {
	if a.removed || a.hung() {
		return
	}
	if now.Sub(a.leaseRenewedAt) > a.region.Settings.LeaseDuration() {
		a.expireLease(now)
	}
	a.deliverCommandCopies(now)
	for _, task := range a.tasks {
		task.advance(ctx, now)
	}
}

// advance moves the task to its next state if that is due.
func (t *agentTask) advance(ctx context.Context, now time.Time) {
	switch t.State {
	case wire.TaskFetchingImage:
		if !now.Before(t.readyAt) {
			t.begin(now)
		}
	case wire.TaskAwaitingGang:
		t.awaitGang(now)
	case wire.TaskRunning:
		if t.spec.Kind == wire.KindGang && len(t.gangMembers()) < t.spec.TaskCount {
			t.checkPeerTimeout(now)
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

// begin starts a task whose image has been fetched. A task that has already completed exits; a gang's task awaits
// the other members.
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

// awaitGang starts all tasks of the gang once all of them are present, or exits when the wait times out.
func (t *agentTask) awaitGang(now time.Time) {
	gang := t.gangMembers()
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

// checkPeerTimeout exits a gang's task if a member is missing and GangPeerS has passed since one was first missing.
func (t *agentTask) checkPeerTimeout(now time.Time) {
	if t.peerMissingSince.IsZero() {
		t.peerMissingSince = now
		return
	}
	if now.Sub(t.peerMissingSince) > config.ToDuration(t.agent.region.Settings.Deployment.Workers.GangPeerS) {
		t.exit(wire.ExitCauseGangMemberLost)
	}
}

// finish completes a task together with the other tasks of its gang. If a failure was injected into one of them, that
// task fails instead and none completes.
func (t *agentTask) finish(ctx context.Context) {
	region := t.agent.region
	finished := []*agentTask{t}
	if t.spec.Kind == wire.KindGang {
		finished = t.gangMembers()
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

// exit moves the task to the exited state. The cause is empty if the agent's lease expired.
func (t *agentTask) exit(cause wire.ExitCause) {
	if t.onMachine {
		t.agent.region.Checker.TaskLeft(t.attempt.task, t.agent.name)
		t.onMachine = false
	}
	t.State, t.ExitCause, t.CheckpointSaved = wire.TaskExited, cause, false
	t.agent.statusChanged = true
}

// gangMembers returns the tasks of the same attempt of a gang that are present, on machines that don't hang.
func (t *agentTask) gangMembers() []*agentTask {
	var out []*agentTask
	for _, agent := range t.agent.region.agents {
		if agent.hung() {
			continue
		}
		for other, task := range agent.tasks {
			if other.task.JobID == t.attempt.task.JobID && other.number == t.attempt.number && task.isPresentInGang() {
				out = append(out, task)
			}
		}
	}
	return out
}

// isPresentInGang reports whether the other members of the gang can reach the task.
func (t *agentTask) isPresentInGang() bool {
	return t.State == wire.TaskAwaitingGang || t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing
}
