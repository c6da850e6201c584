package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// attemptKey names one attempt of a task.
type attemptKey struct {
	ref     record.TaskRef
	attempt uint64
}

// pendingStart is a start command that a worker may still carry out.
type pendingStart struct {
	fencingToken uint64
	// heartbeatSequence is the report whose answer carried the command; the worker's next
	// report settles it. 0: sent straight to the worker.
	heartbeatSequence uint64
	// open: a direct command is on its way. Without an answer it stays in doubt
	// until the worker shows a higher token, a new session, or is deleted.
	inFlight bool
}

// reportedTask is a task as last reported.
type reportedTask struct {
	wire.TaskStatus
	stateSince time.Time
}

// cachedImage is an image a worker is believed to hold.
type cachedImage struct {
	lastUsed time.Time
	sizeGB   float64
}

// machine is what this node knows of a worker.
type machine struct {
	name        string
	address     string
	machineType string
	zone        string
	spot        bool

	session           uint64
	lastSequence      uint64
	heartbeatSequence uint64 // of the last report that asked for an answer
	fencingToken      uint64 // highest the worker has shown in this session
	lastHeard         time.Time
	reclaimAt         time.Time // zero: no notice
	reportedTasks     map[attemptKey]reportedTask
	unboundSince      map[attemptKey]time.Time
	pendingStarts     map[attemptKey][]pendingStart
	cachedImages      map[string]cachedImage

	startRefusedAt time.Time            // a start was refused for want of room
	taskFailures   map[string]time.Time // jobs whose tasks failed here

	commandInFlight    bool      // a direct command is in flight
	commandFailedAt    time.Time // when the last one failed
	inboundConfirmedAt time.Time // when it was last known to hear this node
	lastHeartbeatAt    time.Time // when its last report came that asked for an answer
	firstHeardAt       time.Time // when this node first heard of it
	inboundRestoredAt  time.Time // when it answered a command again, after some without an answer since its last report
	inboundLostSince   time.Time // when the first command since then failed
}

// inboundLost tells whether a machine's reports prove nothing of its hearing: a direct command to it failed,
// and since then it has neither answered one nor stayed with this node after an answer. Its reports arrive
// all the same, so that by them alone each would make it look ready for another task.
func (m *machine) inboundLost() bool { return m.commandFailedAt.After(m.inboundConfirmedAt) }

// inboundConfirmed tells whether a machine is known to hear this node.
func (m *machine) inboundConfirmed() bool { return !m.inboundConfirmedAt.IsZero() && !m.inboundLost() }

// recordCommandFailure notes that a direct command got no answer.
func (m *machine) recordCommandFailure(now time.Time) {
	if !m.inboundLost() {
		m.inboundLostSince = now
	}
	m.commandFailedAt, m.inboundRestoredAt = now, time.Time{}
}

// recordCommandAnswer notes that a direct command got an answer.
func (m *machine) recordCommandAnswer(now time.Time) {
	m.inboundConfirmedAt = now
	if m.commandFailedAt.After(m.lastHeartbeatAt) && m.inboundRestoredAt.IsZero() {
		m.inboundRestoredAt = now
	}
}

// heartbeatExpectedFrom is from when on reports of a machine that answers are to be expected, and how long the first may
// take: a worker that is new to this node, or that was out of reach, first has to find its part's owner. What
// came back from a cut was once taken for mute at once, and its replicas were stopped.
func (m *machine) heartbeatExpectedFrom() (from time.Time, find time.Duration) {
	from = m.lastHeartbeatAt
	for _, t := range []time.Time{m.firstHeardAt, m.inboundRestoredAt} {
		if t.After(from) {
			from, find = t, tuning.FindNode
		}
	}
	return from, find
}

// confirmsPreviousAnswer tells whether a report shows that its worker heard the answer to the one before: after
// a lost answer it would have gone on to another node, and counted that report.
func (m *machine) confirmsPreviousAnswer(r *wire.Heartbeat) bool {
	return r.Session == m.session && m.lastSequence == m.heartbeatSequence && r.Sequence == m.lastSequence+1
}

func newMachine(name string) *machine {
	return &machine{
		name: name, reportedTasks: map[attemptKey]reportedTask{}, unboundSince: map[attemptKey]time.Time{}, pendingStarts: map[attemptKey][]pendingStart{},
		cachedImages: map[string]cachedImage{}, taskFailures: map[string]time.Time{},
	}
}

// recordImageUse notes that an image is held now; beyond the cache's size those used
// longest ago are gone.
func (m *machine) recordImageUse(image string, gb, sizeGB float64, now time.Time) {
	m.cachedImages[image] = cachedImage{now, gb}
	sum := 0.0
	for _, c := range m.cachedImages {
		sum += c.sizeGB
	}
	for sizeGB > 0 && sum > sizeGB && len(m.cachedImages) > 1 {
		oldest := image
		for n, c := range m.cachedImages {
			if n != image && (oldest == image || c.lastUsed.Before(m.cachedImages[oldest].lastUsed)) {
				oldest = n
			}
		}
		sum -= m.cachedImages[oldest].sizeGB
		delete(m.cachedImages, oldest)
	}
}

// applyReport takes in a report; older ones than the last are refused. beat tells
// reports that ask for an answer from those that answer commands. changed tells
// whether the report says anything new.
func (m *machine) applyReport(r *wire.Heartbeat, beat bool, now time.Time) (newer, changed bool) {
	if r.Session < m.session || r.Session == m.session && r.Sequence <= m.lastSequence {
		return false, false
	}
	changed = r.Session > m.session || r.FencingToken > m.fencingToken || (r.ReclaimNoticeSeconds != nil) == m.reclaimAt.IsZero() || len(m.pendingStarts) > 0
	if r.Session > m.session {
		// A new session has none of the old one's tasks, and commands to the
		// old one are refused.
		m.session, m.fencingToken, m.heartbeatSequence = r.Session, 0, 0
		clear(m.reportedTasks)
		clear(m.unboundSince)
		clear(m.pendingStarts)
		// Its images are as they were: only tasks end with a lease.
	}
	m.lastSequence, m.lastHeard = r.Sequence, now
	m.fencingToken = max(m.fencingToken, r.FencingToken)
	m.address, m.machineType, m.zone, m.spot = r.Address, r.MachineType, r.Zone, r.Spot
	m.reclaimAt = time.Time{}
	if r.ReclaimNoticeSeconds != nil {
		m.reclaimAt = now.Add(time.Duration(*r.ReclaimNoticeSeconds * float64(time.Second)))
	}
	if beat {
		m.heartbeatSequence, m.lastHeartbeatAt, m.inboundRestoredAt = r.Sequence, now, time.Time{}
	}
	if m.firstHeardAt.IsZero() {
		m.firstHeardAt = now
	}
	for k, ls := range m.pendingStarts {
		keep := ls[:0]
		for _, l := range ls {
			// The worker has shown a higher token: what was sent under a lower
			// one is either in this report or will be refused.
			fenced := l.fencingToken < m.fencingToken
			settled := l.heartbeatSequence != 0 && l.heartbeatSequence < m.heartbeatSequence
			if !fenced && !settled {
				keep = append(keep, l)
			}
		}
		if len(keep) == 0 {
			delete(m.pendingStarts, k)
		} else {
			m.pendingStarts[k] = keep
		}
	}
	old := m.reportedTasks
	m.reportedTasks = make(map[attemptKey]reportedTask, len(r.Tasks))
	for _, t := range r.Tasks {
		ref, ok := record.ParseTaskRef(t.Task)
		if !ok {
			continue
		}
		k := attemptKey{ref, t.Attempt}
		s := reportedTask{t, now}
		if o, ok := old[k]; ok && o.State == t.State {
			s.stateSince = o.stateSince
		} else {
			changed = true
		}
		m.reportedTasks[k] = s
	}
	return true, changed || len(old) != len(m.reportedTasks)
}

// startPending tells whether a start command for the attempt may still be carried out.
func (m *machine) startPending(k attemptKey) bool { return len(m.pendingStarts[k]) > 0 }

// hasUnresolvedStart tells whether any direct start without an answer is left.
func (m *machine) hasUnresolvedStart(token uint64) bool {
	for _, ls := range m.pendingStarts {
		for _, l := range ls {
			if l.heartbeatSequence == 0 && !l.inFlight && l.fencingToken >= token {
				return true
			}
		}
	}
	return false
}

// stopRequest is what the node wants of a bound task.
type stopRequest struct {
	graceSeconds float64
	requestedAt  time.Time
}

// commands compares what the worker reports with what is bound to it. It marks
// the starts it gives as on their way; seq is the report answered, 0 for a
// direct command.
func (m *machine) commands(bound map[record.TaskRef]clusterstate.Binding, known func(ref record.TaskRef, attempt uint64) bool,
	wish func(b clusterstate.Binding) (stopRequest, bool), token, seq uint64, now time.Time) []wire.Command {
	var out []wire.Command
	for k, s := range m.reportedTasks {
		if len(out) >= tuning.OrdersMax {
			return out // the rest follows with the next answer
		}
		b, ok := bound[k.ref]
		here := ok && b.Attempt == k.attempt && b.Session == m.session
		if here {
			delete(m.unboundSince, k)
			if w, stop := wish(b); stop && s.State != wire.TaskExited && (s.State != wire.TaskCheckpointing || w.graceSeconds == 0) {
				g := w.graceSeconds
				out = append(out, wire.Command{Kind: wire.CommandStop, Task: s.Task, Attempt: k.attempt, GraceSeconds: &g})
			}
			continue
		}
		if s.State == wire.TaskExited {
			// Forgotten only once the record has moved past this attempt and no
			// start of it can arrive any more: it would run again.
			if known(k.ref, k.attempt) && !m.startPending(k) {
				out = append(out, wire.Command{Kind: wire.CommandForget, Task: s.Task, Attempt: k.attempt})
			}
			continue
		}
		if !known(k.ref, k.attempt) {
			continue
		}
		since, ok := m.unboundSince[k]
		if !ok {
			m.unboundSince[k] = now
		} else if now.Sub(since) > tuning.StrayAfter {
			zero := 0.0
			out = append(out, wire.Command{Kind: wire.CommandStop, Task: s.Task, Attempt: k.attempt, GraceSeconds: &zero})
		}
	}
	for ref, b := range bound {
		if len(out) >= tuning.OrdersMax {
			break
		}
		if b.Session != m.session {
			continue
		}
		k := attemptKey{ref, b.Attempt}
		if _, ok := m.reportedTasks[k]; ok {
			continue
		}
		if _, stop := wish(b); stop {
			continue
		}
		m.pendingStarts[k] = append(m.pendingStarts[k], pendingStart{fencingToken: token, heartbeatSequence: seq, inFlight: seq == 0})
		out = append(out, wire.Command{Kind: wire.CommandStart, Task: ref.String(), Attempt: b.Attempt})
	}
	return out
}

// resolveStarts settles the direct starts of one command that got an answer, or
// leaves them in doubt.
func (m *machine) resolveStarts(sent []wire.Command, session, token uint64, ok bool) {
	if session != m.session {
		return
	}
	for _, o := range sent {
		ref, _ := record.ParseTaskRef(o.Task)
		k := attemptKey{ref, o.Attempt}
		ls := m.pendingStarts[k]
		for i := range ls {
			if ls[i].inFlight && ls[i].fencingToken == token {
				if ok {
					ls = append(ls[:i], ls[i+1:]...)
				} else {
					ls[i].inFlight = false
				}
				break
			}
		}
		if len(ls) == 0 {
			delete(m.pendingStarts, k)
		} else {
			m.pendingStarts[k] = ls
		}
	}
}

// TaskPresence is what became of a bound task.
type TaskPresence int

// Fates.
const (
	PresenceUnknown TaskPresence = iota // not to be told yet
	PresenceAlive
	PresenceExited
	PresenceSessionEnded // a new session of the worker: it is gone
	PresenceAbsent       // not there, and no command can bring it there
)

// presence tells what the worker's last report says of a binding.
func (m *machine) presence(b clusterstate.Binding, token uint64) (TaskPresence, reportedTask) {
	if m.session > b.Session {
		return PresenceSessionEnded, reportedTask{}
	}
	if m.session < b.Session {
		return PresenceUnknown, reportedTask{}
	}
	k := attemptKey{b.Ref, b.Attempt}
	if s, ok := m.reportedTasks[k]; ok {
		if s.State == wire.TaskExited {
			return PresenceExited, s
		}
		return PresenceAlive, s
	}
	// Commands of earlier owners are fenced only when the worker shows our token.
	if m.fencingToken == token && !m.startPending(k) {
		return PresenceAbsent, reportedTask{}
	}
	return PresenceUnknown, reportedTask{}
}
