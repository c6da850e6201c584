package agent

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// redirectLoopWindow is the time after a redirect within which a further heartbeat of the same agent means that it
// did not reach the owner it was redirected to. Naming the same owner again would create a redirect loop.
const redirectLoopWindow = 2 * time.Second

var heartbeatsDropped = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "sableusher_reports_dropped_total",
	Help: "Heartbeats that prove nothing any more, by reason: of an earlier session, out of order, received twice.",
}, []string{"reason"})

// HeartbeatResult is the result of handling a heartbeat.
type HeartbeatResult struct {
	Outcome  HeartbeatOutcome
	Response wire.HeartbeatResponse // set for HeartbeatRenewed
	Redirect wire.HeartbeatRedirect // set for HeartbeatRedirected
}

// HeartbeatOutcome is the kind of response to a heartbeat.
type HeartbeatOutcome int

// Outcomes of heartbeats.
const (
	HeartbeatUnanswerable HeartbeatOutcome = iota // neither renewed nor redirected; the agent may retry
	HeartbeatRenewed                              // the lease is renewed, and the response may have commands
	HeartbeatRedirected                           // the agent has to contact another node
)

// String returns the outcome's name in logs.
func (o HeartbeatOutcome) String() string {
	return [...]string{"unanswerable", "renewed", "redirected"}[o]
}

// HTTPResponse returns the HTTP status and the body of the response; a nil body means no body.
func (r *HeartbeatResult) HTTPResponse() (status int, body any) {
	switch r.Outcome {
	case HeartbeatRenewed:
		return http.StatusOK, r.Response
	case HeartbeatRedirected:
		return http.StatusMisdirectedRequest, r.Redirect
	default:
		return http.StatusServiceUnavailable, nil
	}
}

func renewed(response wire.HeartbeatResponse) HeartbeatResult {
	return HeartbeatResult{Outcome: HeartbeatRenewed, Response: response}
}

// redirected redirects an agent to another node. If node is empty, the agent chooses one.
func redirected(node string) HeartbeatResult {
	return HeartbeatResult{Outcome: HeartbeatRedirected, Redirect: wire.HeartbeatRedirect{ControllerAddress: node}}
}

// heartbeatRequest is a received heartbeat together with this node's view of its machine at that time.
type heartbeatRequest struct {
	report       *wire.Heartbeat
	now          time.Time
	shard        int
	fencingToken uint64                // of this node, if it owns the shard
	completeAsOf time.Time             // when the cluster state was last complete; zero if there is none
	recorded     *clusterstate.Machine // the machine in the cluster state; nil if it has no record
}

// stateAge returns the age of the cluster state.
func (h *heartbeatRequest) stateAge() time.Duration { return h.now.Sub(h.completeAsOf) }

// HandleHeartbeat applies a heartbeat and returns the response to it. A response that renews the lease may have
// commands for the agent.
func (r *Registry) HandleHeartbeat(heartbeat *wire.Heartbeat) HeartbeatResult {
	now := time.Now()
	r.clusterState.RLock()
	defer r.clusterState.RUnlock()
	shard := record.ShardOf(heartbeat.Machine, r.clusterState.ShardCount)
	fencingToken, mayServe := r.membership.MayServeAgents(shard)
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &heartbeatRequest{
		report: heartbeat, now: now, shard: shard, fencingToken: fencingToken,
		completeAsOf: r.completeAsOf(), recorded: r.clusterState.Machines[heartbeat.Machine],
	}
	if reason := r.newestHeartbeats.accept(h); reason != notDropped {
		r.dropHeartbeat(h, reason)
		return HeartbeatResult{}
	}
	switch {
	case r.leases.mayRenewWithoutState(h):
		return renewed(emptyResponse(heartbeat.FencingToken))
	case !mayServe:
		return r.answerForOtherOwner(h)
	case heartbeat.FencingToken > membership.TokenRangeOf(fencingToken).Last:
		// The shard has a newer owner, which this node does not know yet. The agent would ignore a response with a
		// lower token and keep sending its heartbeats here until its lease has expired.
		return redirected("")
	case !r.leases.mayRenew(now, h.completeAsOf), h.recorded != nil && h.recorded.Deleting:
		return HeartbeatResult{}
	}
	return r.answerAsOwner(h)
}

// answerForOtherOwner answers an agent whose shard another node owns. It renews the lease on the owner's behalf if
// leaseKeeper.mayRenewForOwner allows it. Otherwise it redirects the agent to the owner, or to no particular node if
// the owner's session is not live or the agent was redirected less than redirectLoopWindow ago.
func (r *Registry) answerForOtherOwner(h *heartbeatRequest) HeartbeatResult {
	name := h.report.Machine
	if shard, ok := r.clusterState.Shards[h.shard]; ok && r.leases.mayRenewForOwner(h, shard) {
		// The agent drops a response with a lower token than it has seen.
		fencingToken := max(shard.FencingToken, h.report.FencingToken)
		return renewed(staleStateResponse(h.report, h.recorded, fencingToken))
	}
	owner, live := r.membership.OwnerOf(h.shard)
	lastRedirect := r.redirectedAt[name]
	r.redirectedAt[name] = h.now
	if !live || h.now.Sub(lastRedirect) < redirectLoopWindow {
		owner = ""
	}
	delete(r.machines, name)
	return redirected(owner)
}

// answerAsOwner answers an agent of a shard that this node owns.
func (r *Registry) answerAsOwner(h *heartbeatRequest) HeartbeatResult {
	name := h.report.Machine
	m := r.ensureMachine(name)
	if r.confirmsInbound(m, h) {
		m.link.inboundConfirmedAt = h.now
	}
	effect := m.applyReport(h.report, fromHeartbeat, h.now)
	if effect == reportOutdated { // the response to a command arrived before it
		heartbeatsDropped.WithLabelValues(droppedOutOfOrder.metricLabel()).Inc()
		return HeartbeatResult{}
	}
	if m.link.inboundLost() {
		r.dispatchQueue.add(name) // probe it until it answers
	}
	if effect == reportChanged {
		r.updates.machineChanged(name)
	}
	m.token.adopt(h.fencingToken, m.session.fencingToken)
	if h.stateAge() > r.leases.maxStateAge() {
		return renewed(staleStateResponse(h.report, h.recorded, m.token.current)) // too old to start tasks from
	}
	if r.recordOutdated(m, h) {
		r.updates.addOutdatedRecord(h.report)
	}
	var commands []wire.Command
	if _, owns := r.membership.Ownership(h.shard); h.recorded != nil && owns {
		commands = r.commandsFor(m, commandParams{h.recorded, h.report.Sequence, h.now})
	}
	response := emptyResponse(m.token.current)
	response.Commands = append(response.Commands, commands...)
	return renewed(response)
}

// confirmsInbound reports whether a heartbeat proves that its agent receives what this node sends. The sequence of its
// heartbeats proves it only if there are other nodes, which the agent would have contacted after a lost response. For a
// machine that was never probed, it is also proof if the agent reports this owner's fencing token, which it can only
// have from an earlier response.
func (r *Registry) confirmsInbound(m *machine, h *heartbeatRequest) bool {
	if len(r.settings.Peers) > 0 && m.session.confirmsResponse(h.report) {
		return true
	}
	return m.link.neverProbed() && membership.TokenRangeOf(h.fencingToken).Contains(h.report.FencingToken)
}

// recordOutdated reports whether a machine's record is missing or does not match its heartbeat. A machine that was up
// before and is recorded as not up counts as up again only once it is known to receive what this owner sends.
func (r *Registry) recordOutdated(m *machine, h *heartbeatRequest) bool {
	recorded := h.recorded
	if recorded == nil {
		return true
	}
	cameUp := !recorded.Up && (recorded.Address == "" || m.link.inboundConfirmed())
	return cameUp || recorded.Address != h.report.Address || max(recorded.Session, firstSession) != h.report.Session
}

func (r *Registry) dropHeartbeat(h *heartbeatRequest, reason dropReason) {
	heartbeatsDropped.WithLabelValues(reason.metricLabel()).Inc()
	r.logger.Debug("heartbeat dropped", "machine", h.report.Machine, "reason", reason,
		"session", h.report.Session, "sequence", h.report.Sequence)
}

// dropReason is the reason for which a heartbeat is dropped.
type dropReason int

// Reasons for dropping a heartbeat.
const (
	notDropped            dropReason = iota // the heartbeat is the newest one
	droppedEarlierSession                   // a newer session of its agent is known
	droppedDuplicate                        // the same heartbeat was received before
	droppedOutOfOrder                       // a newer heartbeat of its session was received before
)

// String returns the reason's name in logs.
func (d dropReason) String() string {
	return [...]string{"not dropped", "earlier session", "duplicate", "out of order"}[d]
}

// metricLabel returns the reason's label in sableusher_reports_dropped_total.
func (d dropReason) metricLabel() string {
	return [...]string{"", "session", "twice", "order"}[d]
}

// heartbeatPosition identifies a heartbeat among those of its agent, with the time when it was received.
type heartbeatPosition struct {
	session, sequence uint64
	receivedAt        time.Time
}

// heartbeatHistory has the newest heartbeat of each machine that this node received, whichever node owned the
// machine's shard. Entries are kept when the shard moves to another owner and its machines are removed from the
// Registry: a copy that the network delivers later must neither count as a sign of life of a machine that may be
// dead, nor restore a session or a task that has ended.
type heartbeatHistory map[string]heartbeatPosition

// accept records a heartbeat that is newer than all earlier ones of its machine. Otherwise it returns the reason to
// drop the heartbeat. Callers hold the cluster state's lock and Registry.mu.
func (history heartbeatHistory) accept(h *heartbeatRequest) dropReason {
	report := h.report
	newest := history[report.Machine]
	switch {
	case report.Session < newest.session:
		return droppedEarlierSession
	case report.Session == newest.session && report.Sequence == newest.sequence:
		return droppedDuplicate
	case report.Session == newest.session && report.Sequence < newest.sequence:
		return droppedOutOfOrder
	// The records may name a newer session than this process has received heartbeats of.
	case h.recorded != nil && report.Session < h.recorded.Session:
		return droppedEarlierSession
	}
	history[report.Machine] = heartbeatPosition{report.Session, report.Sequence, h.now}
	return notDropped
}

// removeOld removes the heartbeats that are so old that no copy of them can still arrive.
func (history heartbeatHistory) removeOld(lease time.Duration, now time.Time) {
	for name, position := range history {
		if now.Sub(position.receivedAt) > tuning.HeartbeatRetentionLeases*lease {
			delete(history, name)
		}
	}
}

// RecentlyReporting returns those of the named machines whose agents have recently sent a report to this node, even if
// another node owns them: agents send their heartbeats here if their owner does not answer.
func (r *Registry) RecentlyReporting(machineNames []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An agent that cannot reach one node tries the next one within seconds, so an older report does not show that
	// its agent still reports to this node.
	limit := r.heartbeatIntervals(tuning.RecentReportIntervals)
	var out []string
	for _, name := range machineNames {
		lastReport := r.redirectedAt[name]
		if m := r.machines[name]; m != nil && m.link.lastReport.After(lastReport) {
			lastReport = m.link.lastReport
		}
		if !lastReport.IsZero() && time.Since(lastReport) < limit {
			out = append(out, name)
		}
	}
	return out
}
