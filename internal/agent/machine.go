package agent

import (
	"time"

	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// machine is this node's view of a machine and its agent. Registry.mu guards it.
type machine struct {
	address string // of the agent, host and port
	session sessionProgress
	link    linkState

	tasks map[attemptKey]reportedTask // as last reported
	// unbound has the tasks whose attempts have ended and are not bound to this machine and session, according to the
	// records, and that were reported after that or are forgotten.
	unbound map[attemptKey]*unboundTask
	starts  pendingStarts
	token   issuedToken
	// heldForgets is the number of exited tasks that no message can make the agent forget under the shard's token,
	// because a copy of their starts could still be carried out.
	heldForgets int
	images      imageCache
	// commandInFlight is set while a direct command to the machine is in flight; there is at most one.
	commandInFlight bool

	reclaimAt      time.Time           // when the cloud reclaims a spot machine; zero without a notice
	startRefusedAt time.Time           // when the agent last refused a start because of insufficient resources
	failedJobs     map[string]struct{} // IDs of the jobs whose tasks failed on the machine
}

func newMachine() *machine {
	return &machine{
		tasks: map[attemptKey]reportedTask{}, unbound: map[attemptKey]*unboundTask{}, starts: pendingStarts{},
		images: imageCache{}, failedJobs: map[string]struct{}{},
	}
}

// sessionProgress has the newest known position in an agent's session.
type sessionProgress struct {
	id                uint64 // 0 before the first report
	sequence          uint64 // of the newest report
	heartbeatSequence uint64 // of the newest heartbeat; responses to commands only advance sequence
	fencingToken      uint64 // the highest that the agent has reported in this session
}

// follows reports whether a report is newer than all earlier ones.
func (s *sessionProgress) follows(report *wire.Heartbeat) bool {
	return report.Session > s.id || report.Session == s.id && report.Sequence > s.sequence
}

// confirmsResponse reports whether a heartbeat proves that its agent received the response to the previous one. If
// the response had been lost, the agent would have sent its next heartbeat to another node, which would have used up
// the next sequence number.
func (s *sessionProgress) confirmsResponse(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Session == s.id && s.sequence == s.heartbeatSequence && heartbeat.Sequence == s.sequence+1
}

// reportSource is the kind of message in which a report arrived.
type reportSource int

// Sources of reports.
const (
	fromHeartbeat       reportSource = iota // a heartbeat, which expects a response
	fromCommandResponse                     // the response to a direct command
)

// String returns the source's name in logs.
func (s reportSource) String() string {
	if s == fromCommandResponse {
		return "command response"
	}
	return "heartbeat"
}

// reportEffect is what a report changed.
type reportEffect int

// Effects of reports.
const (
	reportOutdated  reportEffect = iota // not newer than the last report, so it was ignored
	reportUnchanged                     // newer, without a change that matters to the scheduler
	reportChanged                       // newer, with a change that may matter to the scheduler
)

// String returns the effect's name in logs.
func (e reportEffect) String() string {
	return [...]string{"outdated", "unchanged", "changed"}[e]
}

// applyReport applies a report if it is newer than all earlier ones.
func (m *machine) applyReport(report *wire.Heartbeat, source reportSource, now time.Time) reportEffect {
	if !m.session.follows(report) {
		return reportOutdated
	}
	newOwnership := report.FencingToken > membership.TokenRangeOf(m.session.fencingToken).Last
	changed := report.Session > m.session.id || newOwnership ||
		(report.ReclaimNoticeSeconds != nil) == m.reclaimAt.IsZero() || len(m.starts) > 0
	if report.Session > m.session.id {
		m.beginSession(report.Session)
	}
	m.session.sequence = report.Sequence
	if source == fromHeartbeat {
		m.session.heartbeatSequence = report.Sequence
	}
	m.session.fencingToken = max(m.session.fencingToken, report.FencingToken)
	m.link.recordReport(source, now)
	m.address = report.Address
	m.reclaimAt = reclaimTime(report, now)
	m.starts.resolveByReport(m.session)
	tasksChanged := m.replaceTasks(report.Tasks, now)
	if changed || tasksChanged {
		return reportChanged
	}
	return reportUnchanged
}

// beginSession begins a new session of the agent. It removes the tasks and starts of the earlier session: the new one
// has none of those tasks and refuses commands to the earlier one. The cached images remain.
func (m *machine) beginSession(session uint64) {
	m.session = sessionProgress{id: session}
	clear(m.tasks)
	clear(m.unbound)
	clear(m.starts)
}

// removeForgotten removes the attempts that were forgotten long ago.
func (m *machine) removeForgotten(now time.Time) {
	for key, unbound := range m.unbound {
		if unbound.forgotten && now.Sub(unbound.since) > tuning.ForgottenAttemptRetention {
			delete(m.unbound, key)
		}
	}
}

// reclaimTime returns when the cloud reclaims the machine, or the zero time without a notice.
func reclaimTime(report *wire.Heartbeat, now time.Time) time.Time {
	if report.ReclaimNoticeSeconds == nil {
		return time.Time{}
	}
	return now.Add(time.Duration(*report.ReclaimNoticeSeconds * float64(time.Second)))
}

// replaceTasks replaces the tasks by those of a report, and reports whether a task was added, was removed or changed
// its state.
func (m *machine) replaceTasks(statuses []wire.TaskStatus, now time.Time) (changed bool) {
	previous := m.tasks
	m.tasks = make(map[attemptKey]reportedTask, len(statuses))
	for _, status := range statuses {
		ref, ok := record.ParseTaskRef(status.Task)
		if !ok {
			continue
		}
		key := attemptKey{ref, status.Attempt}
		task := reportedTask{status, now}
		if before, ok := previous[key]; ok && before.State == status.State {
			task.stateSince = before.stateSince
		} else {
			changed = true
		}
		m.tasks[key] = task
	}
	return changed || len(previous) != len(m.tasks)
}
