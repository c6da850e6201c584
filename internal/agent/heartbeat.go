package agent

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// redirectLoopWindow is the time within which an agent that comes back after a redirection did not get through
// to the owner it was sent to: naming that again would make a loop.
const redirectLoopWindow = 2 * time.Second

var heartbeatsDropped = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "sableusher_reports_dropped_total",
	Help: "Heartbeats that prove nothing any more, by reason: of an earlier session, out of order, received twice.",
}, []string{"reason"})

// HeartbeatResult is the answer to a heartbeat.
type HeartbeatResult struct {
	Outcome  HeartbeatOutcome
	Response wire.HeartbeatResponse // of a renewal
	Redirect wire.HeartbeatRedirect // of a redirection
}

// HeartbeatOutcome is what becomes of a heartbeat.
type HeartbeatOutcome int

// Outcomes of heartbeats.
const (
	HeartbeatUnanswerable HeartbeatOutcome = iota // this node knows nothing sure; the agent may try again
	HeartbeatRenewed                              // the lease is renewed, and there may be commands
	HeartbeatRedirected                           // another node is to be asked
)

// String is the outcome's name in logs.
func (o HeartbeatOutcome) String() string {
	return [...]string{"unanswerable", "renewed", "redirected"}[o]
}

// HTTPResponse gives the answer's status and body; a nil body is none.
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

// redirected sends an agent to another node; an empty name leaves the choice to the agent.
func redirected(node string) HeartbeatResult {
	return HeartbeatResult{Outcome: HeartbeatRedirected, Redirect: wire.HeartbeatRedirect{ControllerAddress: node}}
}

// heartbeatRequest is a heartbeat with what this node knew when it came.
type heartbeatRequest struct {
	report       *wire.Heartbeat
	now          time.Time
	shard        int
	fencingToken uint64                // of this node as the shard's owner
	completeAsOf time.Time             // of the cluster state; zero: there is none
	recorded     *clusterstate.Machine // the machine in the cluster state; nil: it has no record
}

// stateAge is how old the cluster state is.
func (h *heartbeatRequest) stateAge() time.Duration { return h.now.Sub(h.completeAsOf) }

// HandleHeartbeat takes in a heartbeat and answers it. An answer that renews the lease carries the commands
// that follow from it.
func (r *Registry) HandleHeartbeat(heartbeat *wire.Heartbeat) HeartbeatResult {
	now := time.Now()
	r.clusterState.RLock()
	defer r.clusterState.RUnlock()
	shard := record.ShardOf(heartbeat.Machine, r.clusterState.ShardCount)
	fencingToken, entitled := r.membership.MayServeAgents(shard)
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
	case !entitled:
		return r.answerForOtherOwner(h)
	case heartbeat.FencingToken > fencingToken:
		// It has a newer owner, of whom this node does not know yet. It would drop our answer and stay here
		// all the same, until its lease has run out.
		return redirected("")
	case !r.leases.mayRenew(now, h.completeAsOf), h.recorded != nil && h.recorded.Deleting:
		return HeartbeatResult{}
	}
	return r.answerAsOwner(h)
}

// answerForOtherOwner answers an agent whose shard another node owns: in the owner's stead where both are cut
// off together, else by naming the owner.
func (r *Registry) answerForOtherOwner(h *heartbeatRequest) HeartbeatResult {
	name := h.report.Machine
	if shard, ok := r.clusterState.Shards[h.shard]; ok && r.leases.mayRenewForOwner(h, shard) {
		return renewed(cancelledTaskStops(h.report, h.recorded, shard.FencingToken))
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

// answerAsOwner answers an agent of one of this node's shards.
func (r *Registry) answerAsOwner(h *heartbeatRequest) HeartbeatResult {
	name := h.report.Machine
	m := r.ensureMachine(name)
	if r.confirmsInbound(m, h) {
		m.link.inboundConfirmedAt = h.now
	}
	effect := m.applyReport(h.report, fromHeartbeat, h.now)
	if effect == reportOutdated { // the answer to a command overtook it
		heartbeatsDropped.WithLabelValues(droppedOutOfOrder.metricLabel()).Inc()
		return HeartbeatResult{}
	}
	if m.link.inboundLost() {
		r.dispatchQueue.add(name) // it is probed until it answers
	}
	if effect == reportChanged {
		r.updates.machineChanged(name)
	}
	if h.stateAge() > r.leases.maxStateAge() {
		return renewed(cancelledTaskStops(h.report, h.recorded, h.fencingToken)) // the tasks it has go on
	}
	if r.recordOutdated(m, h) {
		r.updates.adopt(h.report)
	}
	answer := emptyResponse(h.fencingToken)
	if _, owns := r.membership.Ownership(h.shard); h.recorded != nil && owns {
		commands := r.commandsFor(m, commandParams{h.recorded, h.fencingToken, h.report.Sequence, h.now})
		answer.Commands = append(answer.Commands, commands...)
	}
	return renewed(answer)
}

// confirmsInbound tells whether a heartbeat shows that its agent receives what this node sends. That it has
// seen this owner's token shows as well that it received an answer once.
func (r *Registry) confirmsInbound(m *machine, h *heartbeatRequest) bool {
	if len(r.settings.Peers) > 0 && m.session.confirmsResponse(h.report) {
		return true
	}
	return m.link.neverProbed() && h.report.FencingToken == h.fencingToken
}

// recordOutdated tells whether a machine's record is missing or behind its heartbeat. One that was up and is
// recorded as not up has to be known to receive what this owner sends.
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

// dropReason is why a heartbeat proves nothing any more.
type dropReason int

// Reasons to drop a heartbeat.
const (
	notDropped            dropReason = iota // it is the newest
	droppedEarlierSession                   // a newer session of its agent is known
	droppedDuplicate                        // it came before
	droppedOutOfOrder                       // a newer one of its session came before
)

// String is the reason's name in logs.
func (d dropReason) String() string {
	return [...]string{"not dropped", "earlier session", "duplicate", "out of order"}[d]
}

// metricLabel is the reason's label in sableusher_reports_dropped_total.
func (d dropReason) metricLabel() string {
	return [...]string{"", "session", "twice", "order"}[d]
}

// heartbeatPosition is where a heartbeat stands among those of its agent.
type heartbeatPosition struct {
	session, sequence uint64
	receivedAt        time.Time
}

// heartbeatHistory has the newest heartbeat of each machine that came to this node, whoever was its owner. It
// outlives what is known of the machine, which goes with the machine's shard: a copy that the network delivers
// later must neither count as a sign of life of a machine that may be dead, nor bring back what is over.
type heartbeatHistory map[string]heartbeatPosition

// accept notes a heartbeat that is newer than all before; otherwise it says why it is to be dropped. Callers
// hold the cluster state's lock.
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
	// The records tell of sessions that this process has not heard of.
	case h.recorded != nil && report.Session < h.recorded.Session:
		return droppedEarlierSession
	}
	history[report.Machine] = heartbeatPosition{report.Session, report.Sequence, h.now}
	return notDropped
}

// removeOld forgets the heartbeats that came longer ago than any copy of them could still arrive.
func (history heartbeatHistory) removeOld(lease time.Duration, now time.Time) {
	for name, position := range history {
		if now.Sub(position.receivedAt) > tuning.HeartbeatMemoryLeases*lease {
			delete(history, name)
		}
	}
}

// RecentlyHeard gives those of the machines whose agents have reported to this node lately, though it may not
// own them: they came because their owner did not answer.
func (r *Registry) RecentlyHeard(machineNames []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An agent that lost its way to one node tries the next after seconds.
	limit := r.heartbeatIntervals(tuning.RecentlyHeardIntervals)
	var out []string
	for _, name := range machineNames {
		lastHeard := r.redirectedAt[name]
		if m := r.machines[name]; m != nil && m.link.lastHeard.After(lastHeard) {
			lastHeard = m.link.lastHeard
		}
		if !lastHeard.IsZero() && time.Since(lastHeard) < limit {
			out = append(out, name)
		}
	}
	return out
}
