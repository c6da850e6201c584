package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// stopRequest asks for a bound task to be stopped.
type stopRequest struct {
	graceSeconds float64 // for saving a checkpoint; 0: at once
	requestedAt  time.Time
}

// commandPlan compares what an agent reports with what the records bind to its machine, and gives the commands
// that make the first follow the second.
type commandPlan struct {
	machine  *machine
	bindings map[record.TaskRef]clusterstate.Binding
	// attemptEnded tells whether the records have moved past an attempt.
	attemptEnded func(ref record.TaskRef, attempt uint64) bool
	// stopRequest gives the stop that is wanted of a bound task, if any.
	stopRequest func(binding clusterstate.Binding) (stopRequest, bool)
	// fencingToken is the owner's, under which the commands are sent.
	fencingToken uint64
	// heartbeatSequence is the heartbeat that the commands answer, 0 for a direct command.
	heartbeatSequence uint64
	now               time.Time
}

// commands gives at most tuning.MaxCommandsPerAnswer commands; the rest follows with the next answer. The starts among
// them are pending from now on.
func (p *commandPlan) commands() []wire.Command {
	var out []wire.Command
	for key, task := range p.machine.tasks {
		if len(out) >= tuning.MaxCommandsPerAnswer {
			return out
		}
		if command, ok := p.commandForReported(key, task); ok {
			out = append(out, command)
		}
	}
	for ref, binding := range p.bindings {
		if len(out) >= tuning.MaxCommandsPerAnswer {
			break
		}
		if key := (attemptKey{ref, binding.Attempt}); p.missing(key, binding) {
			out = append(out, p.start(key))
		}
	}
	return out
}

// commandForReported gives the command for a task that the agent reports, if there is one.
func (p *commandPlan) commandForReported(key attemptKey, task reportedTask) (wire.Command, bool) {
	binding, ok := p.bindings[key.ref]
	switch {
	case ok && binding.Attempt == key.attempt && binding.Session == p.machine.session.id:
		delete(p.machine.unboundSince, key)
		return p.stopBound(binding, task)
	case task.State == wire.TaskExited:
		return p.forgetExited(key, task)
	default:
		return p.stopUnbound(key, task)
	}
}

// stopBound stops a bound task that is to stop. One that is saving already is stopped only if it is to stop at
// once.
func (p *commandPlan) stopBound(binding clusterstate.Binding, task reportedTask) (wire.Command, bool) {
	request, wanted := p.stopRequest(binding)
	if !wanted || task.State == wire.TaskExited || task.State == wire.TaskCheckpointing && request.graceSeconds != 0 {
		return wire.Command{}, false
	}
	return stopCommand(task.TaskStatus, request.graceSeconds), true
}

// forgetExited makes the agent forget a task that has exited. It must not before the records have moved past
// the attempt and no start of it can arrive any more: it would run again.
func (p *commandPlan) forgetExited(key attemptKey, task reportedTask) (wire.Command, bool) {
	if !p.attemptEnded(key.ref, key.attempt) || p.machine.starts.pending(key) {
		return wire.Command{}, false
	}
	return wire.Command{Kind: wire.CommandForget, Task: task.Task, Attempt: key.attempt}, true
}

// stopUnbound stops a task that is not bound here, once it has been reported for a while: reports may be a
// moment older than records.
func (p *commandPlan) stopUnbound(key attemptKey, task reportedTask) (wire.Command, bool) {
	if !p.attemptEnded(key.ref, key.attempt) {
		return wire.Command{}, false
	}
	since, ok := p.machine.unboundSince[key]
	if !ok {
		p.machine.unboundSince[key] = p.now
		return wire.Command{}, false
	}
	if p.now.Sub(since) <= tuning.UnknownTaskGrace {
		return wire.Command{}, false
	}
	return stopCommand(task.TaskStatus, 0), true
}

// missing tells whether a bound task is to be started: it is bound to the present session, not reported and
// not to stop.
func (p *commandPlan) missing(key attemptKey, binding clusterstate.Binding) bool {
	if binding.Session != p.machine.session.id {
		return false
	}
	if _, reported := p.machine.tasks[key]; reported {
		return false
	}
	_, stop := p.stopRequest(binding)
	return !stop
}

// start gives the command that starts an attempt, and notes it as pending.
func (p *commandPlan) start(key attemptKey) wire.Command {
	p.machine.starts.add(key, pendingStart{
		fencingToken: p.fencingToken, heartbeatSequence: p.heartbeatSequence, inFlight: p.heartbeatSequence == 0,
	})
	return wire.Command{Kind: wire.CommandStart, Task: key.ref.String(), Attempt: key.attempt}
}

// stopCommand stops a reported task after a grace in seconds.
func stopCommand(task wire.TaskStatus, graceSeconds float64) wire.Command {
	return wire.Command{Kind: wire.CommandStop, Task: task.Task, Attempt: task.Attempt, GraceSeconds: &graceSeconds}
}

// cancelledTaskStops are the commands on a cluster state that may be old: nothing starts, but what it knows to
// be cancelled stops at once. recorded is the machine in the cluster state; nil: it has no record.
func cancelledTaskStops(
	heartbeat *wire.Heartbeat, recorded *clusterstate.Machine, fencingToken uint64,
) wire.HeartbeatResponse {
	answer := emptyResponse(fencingToken)
	if recorded == nil {
		return answer
	}
	for _, task := range heartbeat.Tasks {
		if len(answer.Commands) >= tuning.MaxCommandsPerAnswer {
			break
		}
		ref, ok := record.ParseTaskRef(task.Task)
		binding, bound := recorded.Bindings[ref]
		if ok && bound && binding.Attempt == task.Attempt && binding.Job.Stopping() && task.State != wire.TaskExited {
			answer.Commands = append(answer.Commands, stopCommand(task, 0))
		}
	}
	return answer
}

// emptyResponse renews a lease without a command. Its list is empty, not nil, which is encoded differently.
func emptyResponse(fencingToken uint64) wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: fencingToken, Commands: []wire.Command{}}
}

// RequestStop asks for a bound task to be stopped after a grace in seconds. An earlier request with a shorter
// grace stays.
func (r *Registry) RequestStop(binding clusterstate.Binding, machineName string, graceSeconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := keyOf(binding)
	if request, ok := r.stopRequests[key]; ok && request.graceSeconds <= graceSeconds {
		return
	}
	r.stopRequests[key] = stopRequest{graceSeconds: graceSeconds, requestedAt: time.Now()}
	r.dispatchQueue.add(machineName)
}

// StopRequested tells whether a bound task is to stop: on request, or since its job is cancelled.
func (r *Registry) StopRequested(binding clusterstate.Binding) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.stopRequestFor(binding)
	return ok
}

// stopRequestFor gives the stop that is wanted of a bound task, if any. Callers hold the cluster state's lock
// and mu.
func (r *Registry) stopRequestFor(binding clusterstate.Binding) (stopRequest, bool) {
	if binding.Job.Stopping() {
		return stopRequest{}, true
	}
	request, ok := r.stopRequests[keyOf(binding)]
	return request, ok
}

// attemptEnded tells whether the records have moved past an attempt of a task: it is bound elsewhere, was
// given up, or its job is over. Otherwise the cluster state may be older than the report. Callers hold the
// cluster state's lock.
func (r *Registry) attemptEnded(ref record.TaskRef, attempt uint64) bool {
	job := r.clusterState.Jobs[ref.JobID]
	if job == nil {
		return true // starts follow durable bindings, so the job was there and is over
	}
	if !job.HasRecord || ref.Index >= job.Spec.TaskCount {
		return false
	}
	task := job.Task(ref.Index)
	return task.Attempt > attempt || task.Attempt == attempt && task.State != record.TaskBound
}

// commandParams says for whom and under which heartbeat commands are wanted.
type commandParams struct {
	recorded          *clusterstate.Machine // the machine in the cluster state
	fencingToken      uint64
	heartbeatSequence uint64 // 0: for a direct command
	now               time.Time
}

// commandsFor gives the commands for a machine and notes the starts among them as pending. Callers hold the
// cluster state's lock and mu.
func (r *Registry) commandsFor(m *machine, request commandParams) []wire.Command {
	plan := commandPlan{
		machine: m, bindings: request.recorded.Bindings, attemptEnded: r.attemptEnded, stopRequest: r.stopRequestFor,
		fencingToken: request.fencingToken, heartbeatSequence: request.heartbeatSequence, now: request.now,
	}
	return plan.commands()
}
