package simulation

import (
	"slices"
	"time"

	"sableusher/internal/wire"
)

// commandFaults are the faults of direct commands and of the starts in them.
type commandFaults struct {
	duplicates faultRate // selects answered commands that are delivered again later
	refusals   faultRate // selects starts that are refused for lack of capacity
}

// commandCopy is a copy of a direct command that an agent has carried out and answered.
type commandCopy struct {
	request   wire.CommandRequest
	arrivesAt time.Time
}

// DuplicateCommands delivers copies of a share of the answered direct commands until a time. A copy arrives between 2 s
// and two and a half lease durations after the original. The agent carries it out if token and session still match;
// then the fault may select it again.
func (r *Region) DuplicateCommands(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands.duplicates = newFaultRate(share, until, seed, streamCommandCopies)
}

// RefuseStarts makes agents refuse a share of the starts for lack of capacity until a time.
func (r *Region) RefuseStarts(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands.refusals = newFaultRate(share, until, seed, streamStartRefusals)
}

// duplicateCommand schedules a copy of a command that was carried out, if the fault selects it. Callers hold the
// region's lock.
func (a *fakeAgent) duplicateCommand(request wire.CommandRequest) {
	duplicates := &a.region.commands.duplicates
	if !duplicates.occurs() {
		return
	}
	delay := duplicates.duration(2*time.Second, 5*a.region.Settings.LeaseDuration()/2)
	a.commandCopies = append(a.commandCopies, commandCopy{request, time.Now().Add(delay)})
}

// deliverCommandCopies delivers the copies of commands that are due. A copy is lost if the machine can't receive
// messages. Callers hold the region's lock.
func (a *fakeAgent) deliverCommandCopies(now time.Time) {
	var due []wire.CommandRequest
	a.commandCopies = slices.DeleteFunc(a.commandCopies, func(duplicate commandCopy) bool {
		isDue := !now.Before(duplicate.arrivesAt)
		if isDue {
			due = append(due, duplicate.request)
		}
		return isDue
	})
	if a.inboundLost() {
		return
	}
	for _, request := range due {
		a.receiveCopy(&request)
	}
}

// receiveCopy carries out a copy of a command. It reports to the checker if the copy has a start of an attempt that
// the agent was told to forget.
func (a *fakeAgent) receiveCopy(request *wire.CommandRequest) {
	checker := a.region.Checker
	checker.Observe(ObservedCommandCopy, 1)
	forgotten := slices.ContainsFunc(request.Commands, func(command wire.Command) bool {
		return command.Kind == wire.CommandStart && a.forgotten[attemptOf(command)]
	})
	if forgotten && request.Session == a.session {
		checker.Observe(ObservedStartCopyAfterForget, 1)
	}
	if a.carryOut(request) {
		a.duplicateCommand(*request)
	}
}
