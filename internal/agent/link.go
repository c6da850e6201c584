package agent

import (
	"time"

	"sableusher/internal/tuning"
)

// linkState tracks whether a machine and this node reach each other, separately for each direction. A time is zero if
// its event has not happened.
type linkState struct {
	lastReport      time.Time // when its last report arrived: a heartbeat or the response to a command
	lastHeartbeat   time.Time // when its last heartbeat arrived
	firstReport     time.Time // when its first report to this node arrived
	commandFailedAt time.Time // when a direct command to it last failed
	// inboundConfirmedAt is when the machine was last known to receive what this node sends.
	inboundConfirmedAt time.Time
	// inboundLostSince is when the first command after inboundConfirmedAt failed.
	inboundLostSince time.Time
	// inboundRestoredAt is when the machine answered a command again after commands had failed since its last
	// heartbeat.
	inboundRestoredAt time.Time
}

// inboundLost reports whether the inbound direction is lost: a direct command failed, and since then nothing has
// confirmed that the machine receives what this node sends (the response to a command, or a heartbeat that followed a
// response). Heartbeats alone are no such proof: they keep arriving and would make the machine look ready for another
// task each time.
func (l *linkState) inboundLost() bool { return l.commandFailedAt.After(l.inboundConfirmedAt) }

// inboundConfirmed reports whether the machine is known to receive what this node sends.
func (l *linkState) inboundConfirmed() bool {
	return !l.inboundConfirmedAt.IsZero() && !l.inboundLost()
}

// commandUnanswered reports whether a direct command has failed since the last report.
func (l *linkState) commandUnanswered() bool { return l.commandFailedAt.After(l.lastReport) }

// neverProbed reports whether nothing is known yet about the inbound direction.
func (l *linkState) neverProbed() bool {
	return l.inboundConfirmedAt.IsZero() && l.commandFailedAt.IsZero()
}

// recordCommandFailure records that a direct command got no response.
func (l *linkState) recordCommandFailure(now time.Time) {
	if !l.inboundLost() {
		l.inboundLostSince = now
	}
	l.commandFailedAt, l.inboundRestoredAt = now, time.Time{}
}

// recordCommandResponse records that a direct command got a response.
func (l *linkState) recordCommandResponse(now time.Time) {
	l.inboundConfirmedAt = now
	if l.commandFailedAt.After(l.lastHeartbeat) && l.inboundRestoredAt.IsZero() {
		l.inboundRestoredAt = now
	}
}

// recordReport records that a report arrived.
func (l *linkState) recordReport(source reportSource, now time.Time) {
	l.lastReport = now
	if source == fromHeartbeat {
		l.lastHeartbeat, l.inboundRestoredAt = now, time.Time{}
	}
	if l.firstReport.IsZero() {
		l.firstReport = now
	}
}

// heartbeatExpected returns the time from which heartbeats are expected from a machine that answers commands, and how
// much longer than usual the first one may take. An agent that is new to this node or was unreachable first has to
// find the owner of its shard. Without this extra time, machines that became reachable again after a partition
// counted as outbound lost at once, and their replicas were stopped.
func (l *linkState) heartbeatExpected() (from time.Time, reconnectTime time.Duration) {
	from = l.lastHeartbeat
	for _, at := range []time.Time{l.firstReport, l.inboundRestoredAt} {
		if at.After(from) {
			from, reconnectTime = at, tuning.AgentFailoverTime
		}
	}
	return from, reconnectTime
}

// outboundLost reports whether a machine answers commands although its heartbeats have been overdue for some time.
// maxSilence is the longest time that may pass between two reports of a reachable machine.
func (l *linkState) outboundLost(maxSilence time.Duration, now time.Time) bool {
	from, reconnectTime := l.heartbeatExpected()
	return l.inboundConfirmed() && now.Sub(from) > maxSilence+reconnectTime &&
		l.inboundConfirmedAt.After(from) && now.Sub(l.lastReport) < maxSilence
}

// inboundLostForLong reports whether reports keep arriving while commands have failed for longer than
// tuning.InboundLostAfter. That is long enough for a second command to be sent after a single lost one.
func (l *linkState) inboundLostForLong(now time.Time) bool {
	return l.inboundLost() && l.lastReport.After(l.inboundLostSince) &&
		now.Sub(l.inboundLostSince) > tuning.InboundLostAfter
}
