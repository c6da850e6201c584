package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// attemptEnded reports whether an attempt of a task has ended according to the records: a later attempt exists, the
// attempt is not bound any more, or the job has ended. A result of false does not prove that the attempt has not ended,
// because the cluster state may be older than the agent's report. Callers hold the cluster state's lock.
func (r *Registry) attemptEnded(ref record.TaskRef, attempt uint64) bool {
	job := r.clusterState.Jobs[ref.JobID]
	if job == nil {
		return true // a task only starts after its binding is durable, so the job existed and has ended
	}
	if !job.HasRecord || ref.Index >= job.Spec.TaskCount {
		return false
	}
	task := job.Task(ref.Index)
	return task.Attempt > attempt || task.Attempt == attempt && task.State != record.TaskBound
}

// commandParams has the inputs of commandsFor.
type commandParams struct {
	recorded          *clusterstate.Machine // the machine in the cluster state
	heartbeatSequence uint64                // 0 for a direct command
	now               time.Time
}

// commandsFor returns the commands for a machine and records the start commands among them as pending. Callers hold
// the cluster state's lock and mu.
func (r *Registry) commandsFor(m *machine, params commandParams) []wire.Command {
	plan := commandPlan{
		machine: m, bindings: params.recorded.Bindings, attemptEnded: r.attemptEnded, stopRequest: r.stopRequestFor,
		heartbeatSequence: params.heartbeatSequence, now: params.now,
		endedAlive: func(task reportedTask, since time.Time) {
			r.reportEndedAttemptAlive(params.recorded.Name, task, since, params.now)
		},
	}
	commands := plan.commands()
	r.logCommands(commands, m, params)
	return commands
}

// staleStateResponse returns the response that renews the lease if the cluster state may be stale. The response starts
// no tasks. It stops the tasks of cancelled jobs, as far as the state shows the cancellation, without a grace period
// for saving a checkpoint. recorded is the machine in the cluster state, or nil
// if it has no record.
func staleStateResponse(
	heartbeat *wire.Heartbeat, recorded *clusterstate.Machine, fencingToken uint64,
) wire.HeartbeatResponse {
	response := emptyResponse(fencingToken)
	if recorded == nil {
		return response
	}
	for _, task := range heartbeat.Tasks {
		if len(response.Commands) >= tuning.MaxCommandsPerResponse {
			break
		}
		ref, ok := record.ParseTaskRef(task.Task)
		binding, bound := recorded.Bindings[ref]
		if ok && bound && binding.Attempt == task.Attempt && binding.Job.Stopping() && task.State != wire.TaskExited {
			response.Commands = append(response.Commands, stopCommand(task, 0))
		}
	}
	return response
}

// emptyResponse returns a response that renews the lease and has no commands. Its command list is empty and not nil,
// because nil is encoded differently.
func emptyResponse(fencingToken uint64) wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: fencingToken, Commands: []wire.Command{}}
}
