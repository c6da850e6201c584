package agent

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// machine is what this node knows of a machine and its agent. Registry.mu guards it.
type machine struct {
	address string // of the agent, host and port
	session sessionProgress
	link    linkState

	tasks map[attemptKey]reportedTask // as last reported
	// unboundSince is when a task was first reported that the records bind elsewhere or not at all.
	unboundSince map[attemptKey]time.Time
	starts       pendingStarts
	images       imageCache
	// commandInFlight: a direct command is on its way; there is one at a time.
	commandInFlight bool

	reclaimAt      time.Time           // when the cloud takes a spot machine back; zero: no notice
	startRefusedAt time.Time           // when the agent last refused a start for want of resources
	failedJobs     map[string]struct{} // whose tasks failed here
}

func newMachine() *machine {
	return &machine{
		tasks: map[attemptKey]reportedTask{}, unboundSince: map[attemptKey]time.Time{}, starts: pendingStarts{},
		images: imageCache{}, failedJobs: map[string]struct{}{},
	}
}

// sessionProgress is how far this node has followed an agent's session.
type sessionProgress struct {
	id                uint64 // 0: nothing was heard yet
	sequence          uint64 // of the newest report
	heartbeatSequence uint64 // of the newest heartbeat; answers to commands count in sequence alone
	fencingToken      uint64 // the highest that the agent has shown in this session
}

// follows tells whether a report is newer than all before.
func (s *sessionProgress) follows(report *wire.Heartbeat) bool {
	return report.Session > s.id || report.Session == s.id && report.Sequence > s.sequence
}

// confirmsResponse tells whether a heartbeat shows that its agent received the answer to the one before: after a
// lost answer it would have gone on to another node, and counted that heartbeat.
func (s *sessionProgress) confirmsResponse(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Session == s.id && s.sequence == s.heartbeatSequence && heartbeat.Sequence == s.sequence+1
}

// reportSource is how a report came.
type reportSource int

// Sources of reports.
const (
	fromHeartbeat       reportSource = iota // the agent sent it, and expects an answer
	fromCommandResponse                     // it answers a direct command
)

// String is the source's name in logs.
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
	reportOutdated  reportEffect = iota // an older one than the newest: nothing changed
	reportUnchanged                     // newer, and the same as before
	reportChanged                       // newer, and different
)

// String is the effect's name in logs.
func (e reportEffect) String() string {
	return [...]string{"outdated", "unchanged", "changed"}[e]
}

// applyReport takes in a report that is newer than all before.
func (m *machine) applyReport(report *wire.Heartbeat, source reportSource, now time.Time) reportEffect {
	if !m.session.follows(report) {
		return reportOutdated
	}
	changed := report.Session > m.session.id || report.FencingToken > m.session.fencingToken ||
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

// beginSession forgets what belongs to an earlier session of the agent: a new one has none of its tasks, and
// refuses commands to it. The images are as they were.
func (m *machine) beginSession(session uint64) {
	m.session = sessionProgress{id: session}
	clear(m.tasks)
	clear(m.unboundSince)
	clear(m.starts)
}

// reclaimTime is when the cloud takes the machine back, zero without a notice.
func reclaimTime(report *wire.Heartbeat, now time.Time) time.Time {
	if report.ReclaimNoticeSeconds == nil {
		return time.Time{}
	}
	return now.Add(time.Duration(*report.ReclaimNoticeSeconds * float64(time.Second)))
}

// replaceTasks takes in the tasks of a report and tells whether any is new, over or in another state.
func (m *machine) replaceTasks(reports []wire.TaskStatus, now time.Time) (changed bool) {
	previous := m.tasks
	m.tasks = make(map[attemptKey]reportedTask, len(reports))
	for _, report := range reports {
		ref, ok := record.ParseTaskRef(report.Task)
		if !ok {
			continue
		}
		key := attemptKey{ref, report.Attempt}
		task := reportedTask{report, now}
		if before, ok := previous[key]; ok && before.State == report.State {
			task.stateSince = before.stateSince
		} else {
			changed = true
		}
		m.tasks[key] = task
	}
	return changed || len(previous) != len(m.tasks)
}
