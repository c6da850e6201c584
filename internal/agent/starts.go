package agent

import (
	"slices"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// pendingStart is a start command that an agent may still carry out.
type pendingStart struct {
	// fencingToken is the token of the owner that sent the command.
	fencingToken uint64
	// heartbeatSequence is the sequence number of the heartbeat whose response has the command, or 0 for a direct
	// command. The agent's next heartbeat resolves a start that was sent in a response.
	heartbeatSequence uint64
	// inFlight is set while the direct command with the start is in flight. If the command gets no response, the
	// start stays unresolved until the agent reports a higher fencing token or a new session, or its machine is
	// deleted.
	inFlight bool
}

// unresolved reports whether the start was sent directly and got no response.
func (s pendingStart) unresolved() bool { return s.heartbeatSequence == 0 && !s.inFlight }

// pendingStarts has the start commands to one machine that may still be carried out, by attempt. A command is kept
// until the agent has proved that it was carried out or never will be (safety invariants 6 and 21).
type pendingStarts map[attemptKey][]pendingStart

// add records a start command that is about to be sent.
func (p pendingStarts) add(key attemptKey, start pendingStart) { p[key] = append(p[key], start) }

// pending reports whether a start command for the attempt may still be carried out.
func (p pendingStarts) pending(key attemptKey) bool { return len(p[key]) > 0 }

// hasUnresolved reports whether a direct start without a response remains that was sent under the given fencing token
// or a higher one.
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

// resolveByReport removes the starts that a report resolves. If the agent has reported a higher fencing token, a
// start that was sent under a lower token is either shown in the report or will be refused. A start that was sent in
// the response to a heartbeat is resolved by the next heartbeat.
func (p pendingStarts) resolveByReport(session sessionProgress) {
	for key, starts := range p {
		p.set(key, slices.DeleteFunc(starts, func(start pendingStart) bool {
			fenced := start.fencingToken < session.fencingToken
			answered := start.heartbeatSequence != 0 && start.heartbeatSequence < session.heartbeatSequence
			return fenced || answered
		}))
	}
}

// commandAnswered removes the starts of a direct command that got a response: the agent has processed it.
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

// commandUnanswered marks the starts of a direct command that got no response as unresolved.
func (p pendingStarts) commandUnanswered(sent []wire.Command, fencingToken uint64) {
	for _, command := range sent {
		starts := p[keyOfCommand(command)]
		if i := inFlightIndex(starts, fencingToken); i >= 0 {
			starts[i].inFlight = false
		}
	}
}

// set replaces the starts of an attempt. It deletes the entry if there are none.
func (p pendingStarts) set(key attemptKey, starts []pendingStart) {
	if len(starts) == 0 {
		delete(p, key)
	} else {
		p[key] = starts
	}
}

// inFlightIndex returns the index of the first start that is in flight under the token, or -1 if there is none.
func inFlightIndex(starts []pendingStart, fencingToken uint64) int {
	return slices.IndexFunc(starts, func(start pendingStart) bool {
		return start.inFlight && start.fencingToken == fencingToken
	})
}

// keyOfCommand returns the attempt that a command is for.
func keyOfCommand(command wire.Command) attemptKey {
	// This node composed the command, so its task reference is valid.
	ref, _ := record.ParseTaskRef(command.Task)
	return attemptKey{ref, command.Attempt}
}
