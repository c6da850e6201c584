package simulation

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// ServeHTTP serves requests that controllers send to the agent directly: commands, and queries of its status.
func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	if a.inboundLost() {
		loseResponse(w)
		return
	}
	if a.removed {
		wire.WriteResponse(w, http.StatusServiceUnavailable, nil)
		return
	}
	if r.URL.Path == "/show" {
		wire.WriteResponse(w, http.StatusOK, a.status())
		return
	}
	var request wire.CommandRequest
	if err := wire.Decode(body, &request); err != nil || request.FencingToken == 0 || request.Session == 0 {
		wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: fmt.Sprint(err)})
		return
	}
	if !a.carryOut(&request) {
		wire.WriteResponse(w, http.StatusConflict, a.status())
		return
	}
	a.duplicateCommand(request)
	wire.WriteResponse(w, http.StatusOK, a.status())
}

// carryOut executes a direct command, and reports false if its token or session is outdated. Callers hold the region's
// lock.
func (a *fakeAgent) carryOut(request *wire.CommandRequest) bool {
	if request.FencingToken < a.fencingToken || request.Session != a.session {
		return false
	}
	a.fencingToken = request.FencingToken
	a.executeCommands(request.Commands)
	return true
}

// executeCommands executes commands in order. Callers hold the region's lock.
func (a *fakeAgent) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		if _, ok := record.ParseTaskRef(command.Task); !ok {
			a.region.Checker.AddViolation(RuleProtocol, "malformed task reference: "+command.Task)
			continue
		}
		a.execute(command, attemptOf(command))
	}
}

// attemptOf returns the attempt that a command with a well-formed task reference is for.
func attemptOf(command wire.Command) attempt {
	ref, _ := record.ParseTaskRef(command.Task)
	return attempt{ref, command.Attempt}
}

// execute executes one command. A command that doesn't apply to the task's current state has no effect.
func (a *fakeAgent) execute(command wire.Command, attempt attempt) {
	task := a.tasks[attempt]
	switch {
	case command.Kind == wire.CommandForget && task != nil && task.State == wire.TaskExited:
		if task.ExitCause == wire.ExitCauseError {
			a.region.Checker.FailureAcknowledged(attempt.task)
		}
		delete(a.tasks, attempt)
		a.forgotten[attempt] = true
	case command.Kind == wire.CommandStop && task != nil && task.State != wire.TaskExited:
		graceSeconds := 0.0
		if command.GraceSeconds != nil {
			graceSeconds = *command.GraceSeconds
		}
		task.stop(graceSeconds)
	case command.Kind == wire.CommandStart && task == nil:
		if a.forgotten[attempt] {
			a.region.Checker.Observe(ObservedForgottenAttemptStarted, 1)
		}
		a.startTask(attempt)
	}
}

// stop stops a task. A running task saves a checkpoint first if its job has checkpoints and the grace period is
// long enough. A task that is already checkpointing goes on unless the grace period is 0.
func (t *agentTask) stop(graceSeconds float64) {
	saves := t.spec.CheckpointIntervalSeconds > 0 && graceSeconds >= t.spec.CheckpointSaveSeconds
	switch {
	case t.State == wire.TaskRunning && saves:
		t.State = wire.TaskCheckpointing
		t.readyAt = time.Now().Add(config.ToDuration(t.spec.CheckpointSaveSeconds))
		t.agent.statusChanged = true
	case t.State != wire.TaskCheckpointing || graceSeconds == 0:
		t.exit(wire.ExitCauseStopped)
	}
}

// startTask starts fetching a task's image. A task that can't run on the machine exits immediately.
func (a *fakeAgent) startTask(attempt attempt) {
	spec, ok := a.region.Checker.JobSpec(attempt.task.JobID)
	task := &agentTask{
		TaskStatus: wire.TaskStatus{
			Task:    attempt.task.String(),
			Attempt: attempt.number,
			State:   wire.TaskFetchingImage,
		},
		agent:   a,
		attempt: attempt,
		spec:    spec,
	}
	a.tasks[attempt] = task
	a.statusChanged = true
	switch {
	case !ok || attempt.task.Index >= spec.TaskCount:
		task.exit(wire.ExitCauseUnknownTask)
	case a.runsOtherAttempt(attempt):
		task.exit(wire.ExitCauseAlreadyRunning)
	case a.overcommitted(), a.region.commands.refusals.occurs():
		task.exit(wire.ExitCauseNoCapacity)
	default:
		task.readyAt = time.Now()
		if !a.images[spec.Image] {
			task.readyAt = task.readyAt.Add(config.ToDuration(spec.ImageSizeGB / a.machineType.ImageFetchGBps))
		}
	}
}

// runsOtherAttempt reports whether the machine has another attempt of the same task that has not exited.
func (a *fakeAgent) runsOtherAttempt(attempt attempt) bool {
	for other, task := range a.tasks {
		if other != attempt && other.task == attempt.task && task.State != wire.TaskExited {
			return true
		}
	}
	return false
}
