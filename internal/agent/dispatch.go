package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// dispatchQueue holds the machines that wait for a direct command. A full queue drops what comes: the answer
// to the machine's next heartbeat brings the commands. It is safe for concurrent use.
type dispatchQueue chan string

func (q dispatchQueue) add(machineName string) {
	select {
	case q <- machineName:
	default:
	}
}

// RequestDispatch asks for a direct command to a machine, ahead of its next heartbeat.
func (r *Registry) RequestDispatch(machineName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatchQueue.add(machineName)
}

// Run sends direct commands and removes what is not needed any more until ctx ends, and returns its error. It
// waits for the commands on their way.
func (r *Registry) Run(ctx context.Context) error {
	var dispatches sync.WaitGroup
	defer dispatches.Wait()
	removal := time.NewTicker(r.settings.HeartbeatInterval())
	defer removal.Stop()
	running := time.NewTicker(tuning.PauseCheckInterval)
	defer running.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-running.C:
			r.noteRunning(time.Now())
		case machineName := <-r.dispatchQueue:
			if r.dispatchSlots.Acquire(ctx, 1) != nil {
				return ctx.Err()
			}
			dispatches.Go(func() {
				defer r.dispatchSlots.Release(1)
				r.dispatch(ctx, machineName)
			})
		case <-removal.C:
			r.removeExpired()
		}
	}
}

// directDispatch is a direct command to one machine.
type directDispatch struct {
	machineName string
	machine     *machine
	address     string
	command     wire.CommandRequest
	timeout     time.Duration
	// inboundLost: the machine's inbound direction counted as lost when the command was made, which asks only
	// whether it is there.
	inboundLost bool
}

// dispatch gives a machine its commands directly. One command to it is on its way at a time.
func (r *Registry) dispatch(ctx context.Context, machineName string) {
	d, ok := r.prepareDispatch(machineName)
	if !ok {
		return
	}
	answer, err := r.client.send(ctx, d.address, &d.command, d.timeout)
	r.finishDispatch(d, answer, err)
}

// prepareDispatch decides whether a machine is sent a command now, and which.
func (r *Registry) prepareDispatch(machineName string) (*directDispatch, bool) {
	r.clusterState.RLock()
	defer r.clusterState.RUnlock()
	recorded := r.clusterState.Machines[machineName]
	ownership, owns := r.membership.Ownership(record.ShardOf(machineName, r.clusterState.ShardCount))
	if recorded == nil || recorded.Deleting || !owns || time.Since(r.completeAsOf()) > r.leases.maxStateAge() {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.ensureMachine(machineName)
	if m.address == "" {
		m.address = recorded.Address
	}
	params := commandParams{recorded: recorded, fencingToken: ownership.FencingToken, now: time.Now()}
	if m.commandInFlight || m.address == "" || r.awaitsHeartbeat(m, params.now) {
		return nil, false
	}
	d, ok := r.composeDispatch(m, params)
	if ok {
		m.commandInFlight = true
	}
	return d, ok
}

// composeDispatch makes the command for a machine. Where there is nothing to command, one that is overdue or
// whose inbound direction is lost is probed, and one that has not shown this owner's fencing token is asked for
// a report. Callers hold the cluster state's lock and mu.
func (r *Registry) composeDispatch(m *machine, params commandParams) (*directDispatch, bool) {
	overdue := r.overdue(m, params.now)
	d := &directDispatch{
		machineName: params.recorded.Name, machine: m, address: m.address, timeout: tuning.CommandTimeout,
		command: wire.CommandRequest{
			FencingToken: params.fencingToken, Session: max(m.session.id, firstSession), Commands: []wire.Command{},
		},
		inboundLost: m.link.inboundLost(),
	}
	// One that did not answer while overdue is only probed: each command would be one more unresolved start.
	onlyProbe := d.inboundLost || overdue && m.link.commandUnanswered()
	if m.session.id != 0 && !onlyProbe {
		d.command.Commands = append(d.command.Commands, r.commandsFor(m, params)...)
	}
	if len(d.command.Commands) > 0 {
		return d, true
	}
	if overdue || d.inboundLost {
		d.timeout = tuning.ProbeTimeout
		return d, true
	}
	return d, m.session.fencingToken != params.fencingToken
}

// overdue tells whether a machine's next report should have come by now.
func (r *Registry) overdue(m *machine, now time.Time) bool {
	return now.Sub(m.link.lastHeard) > r.heartbeatIntervals(tuning.ProbeAfterIntervals)
}

// awaitsHeartbeat tells whether a command failed so lately that none is sent yet. As a rule the next heartbeat
// is awaited. A machine whose heartbeat is overdue is probed again and again until it is given up, so that one
// that was out of reach for a moment is heard before.
func (r *Registry) awaitsHeartbeat(m *machine, now time.Time) bool {
	pause := r.settings.HeartbeatInterval()
	if r.overdue(m, now) && now.Sub(m.link.lastHeard) < r.heartbeatIntervals(tuning.DeadAfterIntervals) {
		pause = tuning.ProbeInterval
	}
	return m.link.commandUnanswered() && now.Sub(m.link.commandFailedAt) < pause
}

// finishDispatch takes in the answer to a direct command, or that there was none.
func (r *Registry) finishDispatch(d *directDispatch, answer commandResponse, err error) {
	r.clusterState.RLock()
	defer r.clusterState.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	m := d.machine
	m.commandInFlight = false
	m.resolveCommand(&d.command, err == nil)
	if err != nil {
		m.link.recordCommandFailure(now)
		r.logger.Debug("direct command unanswered", "machine", d.machineName, "err", err)
		return
	}
	m.link.recordCommandResponse(now)
	if d.inboundLost {
		r.dispatchQueue.add(d.machineName) // commands can follow
		r.updates.machineChanged(d.machineName)
	}
	if answer.report.Machine == d.machineName {
		r.applyCommandResponse(d, &answer.report, now)
	}
	if answer.status != http.StatusOK {
		r.logger.Debug("direct command refused", "machine", d.machineName, "status", answer.status)
	}
}

// applyCommandResponse takes in the report that answers a direct command. Callers hold the cluster state's lock
// and mu.
func (r *Registry) applyCommandResponse(d *directDispatch, report *wire.Heartbeat, now time.Time) {
	m := d.machine
	previousSession := m.session.id
	effect := m.applyReport(report, fromCommandResponse, now)
	if effect == reportOutdated {
		return
	}
	if effect == reportChanged {
		r.updates.machineChanged(d.machineName)
	}
	// An agent whose outbound direction is lost tells of a new session here alone. Other nodes bind gangs and
	// services to the one on record, which this node ends at once, and both over and over. Where a heartbeat
	// follows it tells of the session: recording all sessions of a zone at once as it came back kept its
	// replicas waiting.
	recorded := r.clusterState.Machines[d.machineName]
	if r.outboundLost(m, now) && recorded != nil && max(recorded.Session, firstSession) != m.session.id {
		r.updates.adopt(report)
	}
	if m.session.id != previousSession || m.session.fencingToken < d.command.FencingToken {
		r.dispatchQueue.add(d.machineName) // a new session, or its first report: commands can follow now
	}
}

// resolveCommand resolves the starts of a direct command that was answered, and leaves them unresolved if it
// was not. A new session of the agent has resolved those of earlier ones.
func (m *machine) resolveCommand(command *wire.CommandRequest, answered bool) {
	switch {
	case command.Session != m.session.id:
	case answered:
		m.starts.commandAnswered(command.Commands, command.FencingToken)
	default:
		m.starts.commandUnanswered(command.Commands, command.FencingToken)
	}
}
