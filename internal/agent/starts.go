package agent

import (
	"slices"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// pendingStart is a start command that an agent may still carry out.
type pendingStart struct {
	// fencingToken is the owner's under which the command was sent.
	fencingToken uint64
	// heartbeatSequence is the heartbeat whose answer carried the command; the agent's next heartbeat
	// resolves it. 0: it was sent directly.
	heartbeatSequence uint64
	// inFlight: a direct command is on its way. Without an answer it stays unresolved until the agent shows
	// a higher fencing token or a new session, or its machine is deleted.
	inFlight bool
}

// unresolved tells whether the start was sent directly and got no answer.
func (s pendingStart) unresolved() bool { return s.heartbeatSequence == 0 && !s.inFlight }

// pendingStarts are the start commands to one machine that may still be carried out, by attempt. A command is
// kept until the agent has shown that it was carried out or never will be (safety invariants 6 and 21).
type pendingStarts map[attemptKey][]pendingStart

// add notes that a start command is about to be sent.
func (p pendingStarts) add(key attemptKey, start pendingStart) { p[key] = append(p[key], start) }

// pending tells whether a start command for the attempt may still be carried out.
func (p pendingStarts) pending(key attemptKey) bool { return len(p[key]) > 0 }

// hasUnresolved tells whether a direct start without an answer is left under the given fencing token or a
// higher one.
func (p pendingStarts) hasUnresolved(fencingToken uint64) bool {
	for _, starts := range p {
		for _, start := range starts {
			if start.unresolved() && start.fencingToken >= fencingToken {
				return true
			}
		}
	}
	return false
}

// resolveByReport removes the starts that a report proves to be over. Where the agent has shown a higher
// fencing token, what was sent under a lower one is either in the report or will be refused; what an
// answer carried is resolved by the next heartbeat.
func (p pendingStarts) resolveByReport(session sessionProgress) {
	for key, starts := range p {
		p.set(key, slices.DeleteFunc(starts, func(start pendingStart) bool {
			fenced := start.fencingToken < session.fencingToken
			answered := start.heartbeatSequence != 0 && start.heartbeatSequence < session.heartbeatSequence
			return fenced || answered
		}))
	}
}

// commandAnswered removes the starts of a direct command that was answered: the agent has acted on it.
func (p pendingStarts) commandAnswered(sent []wire.Command, fencingToken uint64) {
	for _, command := range sent {
		key := keyOfCommand(command)
		starts := p[key]
		if i := inFlightIndex(starts, fencingToken); i >= 0 {
			starts = slices.Delete(starts, i, i+1)
		}
		p.set(key, starts)
	}
}

// commandUnanswered leaves the starts of a direct command that got no answer unresolved.
func (p pendingStarts) commandUnanswered(sent []wire.Command, fencingToken uint64) {
	for _, command := range sent {
		starts := p[keyOfCommand(command)]
		if i := inFlightIndex(starts, fencingToken); i >= 0 {
			starts[i].inFlight = false
		}
	}
}

// set keeps the starts of an attempt, and no entry for none.
func (p pendingStarts) set(key attemptKey, starts []pendingStart) {
	if len(starts) == 0 {
		delete(p, key)
	} else {
		p[key] = starts
	}
}

// inFlightIndex is the position of the first start that is on its way under the token, -1 if there is none.
func inFlightIndex(starts []pendingStart, fencingToken uint64) int {
	return slices.IndexFunc(starts, func(start pendingStart) bool {
		return start.inFlight && start.fencingToken == fencingToken
	})
}

// keyOfCommand names the attempt that a command is about.
func keyOfCommand(command wire.Command) attemptKey {
	// The commands are our own, so their references parse.
	ref, _ := record.ParseTaskRef(command.Task)
	return attemptKey{ref, command.Attempt}
}
