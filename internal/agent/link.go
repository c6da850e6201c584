package agent

import (
	"time"

	"sableusher/internal/tuning"
)

// linkState follows whether a machine and this node reach each other, each direction by itself. Times are
// zero where the event has not happened.
type linkState struct {
	lastHeard       time.Time // when its last report came: a heartbeat, or the answer to a command
	lastHeartbeat   time.Time // when its last heartbeat came
	firstHeard      time.Time // when this node first heard of it
	commandFailedAt time.Time // when the last direct command without an answer failed
	// inboundConfirmedAt is when it was last known to receive what this node sends.
	inboundConfirmedAt time.Time
	// inboundLostSince is when the first command since then failed.
	inboundLostSince time.Time
	// inboundRestoredAt is when it answered a command again, after some without an answer since its last
	// heartbeat.
	inboundRestoredAt time.Time
}

// inboundLost tells whether a machine's reports prove nothing of what reaches it: a direct command failed, and
// since then it has neither answered one nor stayed with this node after an answer. Its heartbeats arrive all
// the same, so that by them alone each would make it look ready for another task.
func (l *linkState) inboundLost() bool { return l.commandFailedAt.After(l.inboundConfirmedAt) }

// inboundConfirmed tells whether a machine is known to receive what this node sends.
func (l *linkState) inboundConfirmed() bool {
	return !l.inboundConfirmedAt.IsZero() && !l.inboundLost()
}

// commandUnanswered tells whether a direct command since the last report got no answer.
func (l *linkState) commandUnanswered() bool { return l.commandFailedAt.After(l.lastHeard) }

// neverProbed tells whether nothing is known yet of what reaches the machine.
func (l *linkState) neverProbed() bool {
	return l.inboundConfirmedAt.IsZero() && l.commandFailedAt.IsZero()
}

// recordCommandFailure notes that a direct command got no answer.
func (l *linkState) recordCommandFailure(now time.Time) {
	if !l.inboundLost() {
		l.inboundLostSince = now
	}
	l.commandFailedAt, l.inboundRestoredAt = now, time.Time{}
}

// recordCommandResponse notes that a direct command got an answer.
func (l *linkState) recordCommandResponse(now time.Time) {
	l.inboundConfirmedAt = now
	if l.commandFailedAt.After(l.lastHeartbeat) && l.inboundRestoredAt.IsZero() {
		l.inboundRestoredAt = now
	}
}

// recordReport notes that a report came.
func (l *linkState) recordReport(source reportSource, now time.Time) {
	l.lastHeard = now
	if source == fromHeartbeat {
		l.lastHeartbeat, l.inboundRestoredAt = now, time.Time{}
	}
	if l.firstHeard.IsZero() {
		l.firstHeard = now
	}
}

// heartbeatExpected is from when on heartbeats of a machine that answers commands are to be expected, and how
// much longer than usual the first may take: an agent that is new to this node, or was out of reach, first has
// to find its shard's owner. Without that time, machines that came back from a partition counted as outbound
// lost at once, and their replicas were stopped.
func (l *linkState) heartbeatExpected() (from time.Time, reconnectTime time.Duration) {
	from = l.lastHeartbeat
	for _, at := range []time.Time{l.firstHeard, l.inboundRestoredAt} {
		if at.After(from) {
			from, reconnectTime = at, tuning.AgentFailoverTime
		}
	}
	return from, reconnectTime
}

// outboundLost tells whether a machine answers commands while its heartbeats have been due for some time;
// maxSilence is how long a machine that is heard may be silent.
func (l *linkState) outboundLost(maxSilence time.Duration, now time.Time) bool {
	from, reconnectTime := l.heartbeatExpected()
	return l.inboundConfirmed() && now.Sub(from) > maxSilence+reconnectTime &&
		l.inboundConfirmedAt.After(from) && now.Sub(l.lastHeard) < maxSilence
}

// inboundLostForLong tells whether reports arrive while commands have failed for longer than a lost one takes
// to be followed by another.
func (l *linkState) inboundLostForLong(now time.Time) bool {
	return l.inboundLost() && l.lastHeard.After(l.inboundLostSince) &&
		now.Sub(l.inboundLostSince) > tuning.InboundLostAfter
}
