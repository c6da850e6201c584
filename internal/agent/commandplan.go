package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// commandPlan compares the tasks that an agent reports with the tasks that the records bind to its machine, and
// returns the commands that make the agent match the records.
type commandPlan struct {
	machine  *machine
	bindings map[record.TaskRef]clusterstate.Binding
	// attemptEnded reports whether an attempt has ended according to the records.
	attemptEnded func(ref record.TaskRef, attempt uint64) bool
	// stopRequest returns the pending request to stop a bound task, if there is one.
	stopRequest func(binding clusterstate.Binding) (stopRequest, bool)
	// endedAlive is called with an ended attempt that is stopped because the agent has reported it as not exited
	// since a time. It is called once for each such attempt.
	endedAlive func(task reportedTask, since time.Time)
	// heartbeatSequence is the sequence number of the heartbeat whose response has the commands, or 0 for a direct
	// command.
	heartbeatSequence uint64
	now               time.Time
}

// commands returns at most tuning.MaxCommandsPerResponse commands; the rest follow with the next response. It records
// the start commands among them as pending. The message that has the commands must have the machine's token as it is
// after the call.
func (p *commandPlan) commands() []wire.Command {
	p.machine.heldForgets = 0
	var out []wire.Command
	for key, task := range p.machine.tasks {
		if len(out) >= tuning.MaxCommandsPerResponse {
			return out
		}
		if command, ok := p.commandForReported(key, task); ok {
			out = append(out, command)
		}
	}
	for ref, binding := range p.bindings {
		if len(out) >= tuning.MaxCommandsPerResponse {
			break
		}
		if key := (attemptKey{ref, binding.Attempt}); p.missing(key, binding) {
			out = append(out, p.start(key))
		}
	}
	return out
}

// commandForReported returns the command for a task that the agent reports, if one is needed.
func (p *commandPlan) commandForReported(key attemptKey, task reportedTask) (wire.Command, bool) {
	binding, ok := p.bindings[key.ref]
	switch {
	case ok && binding.Attempt == key.attempt && binding.Session == p.machine.session.id:
		delete(p.machine.unbound, key)
		return p.stopBound(binding, task)
	case task.State == wire.TaskExited:
		return p.forgetExited(key, task)
	default:
		return p.stopUnbound(key, task)
	}
}

// stopBound returns the command that stops a bound task, if a stop is requested. A task that is already saving its
// checkpoint is commanded again only if it has to stop at once.
func (p *commandPlan) stopBound(binding clusterstate.Binding, task reportedTask) (wire.Command, bool) {
	request, wanted := p.stopRequest(binding)
	if !wanted || task.State == wire.TaskExited || task.State == wire.TaskCheckpointing && request.graceSeconds != 0 {
		return wire.Command{}, false
	}
	return stopCommand(task.TaskStatus, request.graceSeconds), true
}

// forgetExited returns the command that makes the agent forget a task that has exited. It returns none while the
// records do not show the end of the attempt or a start command for it may still be carried out, for the first time or
// once more: an agent that has forgotten the task would run it again.
func (p *commandPlan) forgetExited(key attemptKey, task reportedTask) (wire.Command, bool) {
	if !p.attemptEnded(key.ref, key.attempt) || p.machine.starts.pending(key) {
		return wire.Command{}, false
	}
	if !p.fenceStarts() {
		if p.machine.token.isLast() {
			p.machine.heldForgets++
		}
		return wire.Command{}, false
	}
	if unbound := p.machine.unbound[key]; unbound == nil || !unbound.forgotten {
		p.machine.unbound[key] = &unboundTask{since: p.now, forgotten: true}
	}
	return wire.Command{Kind: wire.CommandForget, Task: task.Task, Attempt: key.attempt}, true
}

// fenceStarts reports whether the agent, once it has received the message, refuses every direct start that was sent
// before. It raises the token of the message if that is needed. Only the response to a heartbeat may have a higher
// token: were a direct command with it to overtake a response, the agent would drop that response and not renew its
// lease. While a direct command is in flight the token is kept, so that the agent does not refuse that command.
func (p *commandPlan) fenceStarts() bool {
	token := &p.machine.token
	if token.fencesStarts() {
		return true
	}
	return p.heartbeatSequence != 0 && !p.machine.commandInFlight && token.raise()
}

// stopUnbound returns the command that stops a task that is not bound to this machine and session. It returns none
// while the records do not show the end of the attempt, or until the task has been reported for
// tuning.UnknownTaskGrace after that. The delay is needed because reports may be slightly older than records; a report
// that follows that of the attempt's exit is not.
func (p *commandPlan) stopUnbound(key attemptKey, task reportedTask) (wire.Command, bool) {
	if !p.attemptEnded(key.ref, key.attempt) {
		return wire.Command{}, false
	}
	unbound, ok := p.machine.unbound[key]
	if !ok {
		unbound = &unboundTask{since: p.now}
		p.machine.unbound[key] = unbound
	}
	if !unbound.forgotten && p.now.Sub(unbound.since) <= tuning.UnknownTaskGrace {
		return wire.Command{}, false
	}
	if !unbound.reported {
		unbound.reported = true
		p.endedAlive(task, unbound.since)
	}
	return stopCommand(task.TaskStatus, 0), true
}

// missing reports whether a bound task has to be started: it is bound to the agent's current session, the agent does
// not report it, and no stop is requested.
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

// start returns the command that starts an attempt and records it as pending.
func (p *commandPlan) start(key attemptKey) wire.Command {
	token := &p.machine.token
	isDirect := p.heartbeatSequence == 0
	if isDirect {
		token.lastDirectStart = token.current
	}
	p.machine.starts.add(key, pendingStart{
		fencingToken: token.current, heartbeatSequence: p.heartbeatSequence, inFlight: isDirect,
	})
	return wire.Command{Kind: wire.CommandStart, Task: key.ref.String(), Attempt: key.attempt}
}

// stopCommand returns the command that stops a reported task, with the given time to save a checkpoint.
func stopCommand(task wire.TaskStatus, graceSeconds float64) wire.Command {
	return wire.Command{Kind: wire.CommandStop, Task: task.Task, Attempt: task.Attempt, GraceSeconds: &graceSeconds}
}
