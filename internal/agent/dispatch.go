package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// dispatchQueue has the names of machines that wait for a direct command. A full queue drops further names; their
// commands are sent in the response to the machine's next heartbeat. It is safe for concurrent use.
type dispatchQueue chan string

func (q dispatchQueue) add(machineName string) {
	select {
	case q <- machineName:
	default:
	}
}

// RequestDispatch requests a direct command to a machine, so that it does not have to wait for its next heartbeat.
func (r *Registry) RequestDispatch(machineName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatchQueue.add(machineName)
}

// Run sends direct commands and removes expired entries until ctx ends, and returns the error of ctx. Before it
// returns, it waits for the commands in flight.
func (r *Registry) Run(ctx context.Context) error {
	var dispatches sync.WaitGroup
	defer dispatches.Wait()
	removal := time.NewTicker(r.settings.HeartbeatInterval())
	defer removal.Stop()
	pauseCheck := time.NewTicker(tuning.PauseCheckInterval)
	defer pauseCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pauseCheck.C:
			r.recordRunning(time.Now())
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
	request     wire.CommandRequest
	timeout     time.Duration
	// inboundLost is set if the machine's inbound direction counted as lost when the command was composed. Such a
	// command is an empty probe.
	inboundLost bool
}

// dispatch sends a machine its commands directly. At most one command per machine is in flight.
func (r *Registry) dispatch(ctx context.Context, machineName string) {
	d, ok := r.prepareDispatch(machineName)
	if !ok {
		return
	}
	response, err := r.client.send(ctx, d.address, &d.request, d.timeout)
	r.finishDispatch(d, response, err)
}

// prepareDispatch composes the command for a machine, and reports whether one is to be sent now.
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
	params := commandParams{recorded: recorded, now: time.Now()}
	if m.commandInFlight || m.address == "" || r.inCommandBackoff(m, params.now) {
		return nil, false
	}
	m.token.adopt(ownership.FencingToken, m.session.fencingToken)
	d, ok := r.composeDispatch(m, params)
	if ok {
		m.commandInFlight = true
	}
	return d, ok
}

// composeDispatch composes the command for a machine and reports whether it is to be sent. If there is nothing to
// command, it composes a probe for a machine whose report is overdue or whose inbound direction is lost, and a
// request for a report for a machine whose agent has not yet reported this owner's fencing token. Callers hold the
// cluster state's lock and mu.
func (r *Registry) composeDispatch(m *machine, params commandParams) (*directDispatch, bool) {
	overdue := r.reportOverdue(m, params.now)
	d := &directDispatch{
		machineName: params.recorded.Name, machine: m, address: m.address, timeout: tuning.CommandTimeout,
		request: wire.CommandRequest{
			FencingToken: m.token.current, Session: max(m.session.id, firstSession), Commands: []wire.Command{},
		},
		inboundLost: m.link.inboundLost(),
	}
	// A machine that is overdue and did not answer its last command is only probed: each start command to it would
	// become another unresolved start.
	onlyProbe := d.inboundLost || overdue && m.link.commandUnanswered()
	if m.session.id != 0 && !onlyProbe {
		d.request.Commands = append(d.request.Commands, r.commandsFor(m, params)...)
	}
	if len(d.request.Commands) > 0 {
		return d, true
	}
	if overdue || d.inboundLost {
		d.timeout = tuning.ProbeTimeout
		return d, true
	}
	return d, !membership.TokenRangeOf(m.token.current).Contains(m.session.fencingToken)
}

// reportOverdue reports whether a machine's next report should have arrived by now.
func (r *Registry) reportOverdue(m *machine, now time.Time) bool {
	return now.Sub(m.link.lastReport) > r.heartbeatIntervals(tuning.ProbeAfterIntervals)
}

// inCommandBackoff reports whether the last command to a machine failed so recently that no other command is sent
// yet. Usually the pause lasts for one heartbeat interval, in which the next heartbeat should arrive. A machine whose
// report is overdue is probed every tuning.ProbeInterval until it counts as dead, so that a report from a machine
// that was only briefly unreachable arrives before that.
func (r *Registry) inCommandBackoff(m *machine, now time.Time) bool {
	pause := r.settings.HeartbeatInterval()
	if r.reportOverdue(m, now) && now.Sub(m.link.lastReport) < r.heartbeatIntervals(tuning.DeadAfterIntervals) {
		pause = tuning.ProbeInterval
	}
	return m.link.commandUnanswered() && now.Sub(m.link.commandFailedAt) < pause
}

// finishDispatch processes the response to a direct command, or the error if there was no response.
func (r *Registry) finishDispatch(d *directDispatch, response commandResponse, err error) {
	r.clusterState.RLock()
	defer r.clusterState.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	m := d.machine
	m.commandInFlight = false
	m.resolveCommand(&d.request, err == nil)
	if err != nil {
		m.link.recordCommandFailure(now)
		r.logger.Debug("direct command unanswered", "machine", d.machineName, "err", err)
		return
	}
	m.link.recordCommandResponse(now)
	if d.inboundLost {
		r.dispatchQueue.add(d.machineName) // the probe was answered, so commands can be sent
		r.updates.machineChanged(d.machineName)
	}
	if response.report.Machine == d.machineName {
		r.applyCommandResponse(d, &response.report, now)
	}
	if response.status != http.StatusOK {
		r.logger.Debug("direct command refused", "machine", d.machineName, "status", response.status)
	}
}

// applyCommandResponse applies the report in the response to a direct command. Callers hold the cluster state's lock
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
	// If the outbound direction is lost, this response is the only message that shows a new session of the agent.
	// Until the session is recorded, other nodes bind gangs and services to the recorded session and this node
	// releases them at once, again and again. If heartbeats do arrive, they report the session: recording all
	// sessions of a zone at once after a partition delayed the restart of its replicas.
	recorded := r.clusterState.Machines[d.machineName]
	if r.outboundLost(m, now) && recorded != nil && max(recorded.Session, firstSession) != m.session.id {
		r.updates.addOutdatedRecord(report)
	}
	if m.session.id != previousSession || m.session.fencingToken < d.request.FencingToken {
		// A new session can be sent commands now; an agent that has not reported the owner's token is asked again.
		r.dispatchQueue.add(d.machineName)
	}
}

// resolveCommand removes the pending starts of a direct command that was answered, and marks them as unresolved if it
// was not. It ignores commands to an earlier session, whose starts were removed when the new session began.
func (m *machine) resolveCommand(request *wire.CommandRequest, answered bool) {
	switch {
	case request.Session != m.session.id:
	case answered:
		m.starts.commandAnswered(request.Commands, request.FencingToken)
	default:
		m.starts.commandUnanswered(request.Commands, request.FencingToken)
	}
}
