package agent

import (
	"time"

	"sableusher/internal/membership"
	"sableusher/internal/tuning"
)

// MachineStatus is the scheduler's view of a machine and its agent. A time is zero if its event has not happened.
type MachineStatus struct {
	LastReportAt time.Time // when its last report arrived
	Session      uint64    // of its agent; 0 before the first report
	// Schedulable is set if the machine may get another task: it recently sent a report with the owner's fencing
	// token, neither direction of its link is known to be lost, it is not being reclaimed, it has not refused a start
	// recently, and tasks of fewer than tuning.MachineMaxFailedJobs jobs have failed on it.
	Schedulable bool
	ReclaimAt   time.Time // when the cloud reclaims a spot machine
	// UnresolvedStart is set if a direct start to the machine got no response and may still be carried out.
	UnresolvedStart bool
	// ForgetsHeld is set if tuning.MaxHeldForgets exited tasks can't be forgotten until the shard's token is raised.
	ForgetsHeld bool
	// CommandUnanswered is set if a direct command has failed since the last report.
	CommandUnanswered bool
	InboundLost       bool // its heartbeats arrive, but commands to it have failed for some time
	InboundConfirmed  bool // it is known to receive what this node sends
	OutboundLost      bool // it answers commands, but its heartbeats have been overdue for some time
	// LeaseExpiry is the latest time at which its lease may expire if no further heartbeat of it arrives.
	LeaseExpiry time.Time
	// DirectionLostSince is the time since which its inbound or outbound direction has been lost.
	DirectionLostSince time.Time
	FailedJobs         int // number of jobs whose tasks failed on it
}

// MachineStatus returns a machine's status for an owner with the given fencing token, or the zero value if this node
// has no entry for the machine.
func (r *Registry) MachineStatus(machineName string, fencingToken uint64) MachineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.machines[machineName]
	if m == nil {
		return MachineStatus{}
	}
	now := time.Now()
	heartbeatExpectedFrom, _ := m.link.heartbeatExpected()
	status := MachineStatus{
		LastReportAt: m.link.lastReport, Session: m.session.id, ReclaimAt: m.reclaimAt, FailedJobs: len(m.failedJobs),
		UnresolvedStart: m.starts.hasUnresolved(fencingToken), ForgetsHeld: m.heldForgets >= tuning.MaxHeldForgets,
		CommandUnanswered: m.link.commandUnanswered(),
		InboundLost:       m.link.inboundLostForLong(now), InboundConfirmed: m.link.inboundConfirmed(),
		OutboundLost: r.outboundLost(m, now), LeaseExpiry: heartbeatExpectedFrom.Add(r.settings.LeaseDuration()),
	}
	switch {
	case status.OutboundLost:
		status.DirectionLostSince = heartbeatExpectedFrom
	case status.InboundLost:
		status.DirectionLostSince = m.link.inboundLostSince
	}
	hasOwnersToken := membership.TokenRangeOf(fencingToken).Contains(m.session.fencingToken)
	status.Schedulable = m.session.id != 0 && hasOwnersToken &&
		r.linkUsable(m, &status, now) && m.acceptsTasks(now)
	return status
}

// linkUsable reports whether a machine sent a report recently and neither direction of its link is known to be lost.
func (r *Registry) linkUsable(m *machine, status *MachineStatus, now time.Time) bool {
	return now.Sub(m.link.lastReport) < r.maxSilence() &&
		!status.CommandUnanswered && !m.link.inboundLost() && !status.OutboundLost
}

// acceptsTasks reports whether the machine is not being reclaimed and has not refused a start recently, and tasks of
// fewer than tuning.MachineMaxFailedJobs jobs have failed on it.
func (m *machine) acceptsTasks(now time.Time) bool {
	return m.reclaimAt.IsZero() && now.Sub(m.startRefusedAt) > tuning.StartRefusalBackoff &&
		len(m.failedJobs) < tuning.MachineMaxFailedJobs
}

// outboundLost reports whether a machine answers commands although its heartbeats have been overdue for some time.
// Callers hold mu.
func (r *Registry) outboundLost(m *machine, now time.Time) bool {
	return m.link.outboundLost(r.maxSilence(), now)
}

// maxSilence returns the longest time that may pass between two reports of a reachable machine.
func (r *Registry) maxSilence() time.Duration {
	return r.heartbeatIntervals(tuning.MaxSilenceIntervals)
}

// RecordStartRefusal records that a machine refused a start. The machine is not schedulable for
// tuning.StartRefusalBackoff.
func (r *Registry) RecordStartRefusal(machineName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.machines[machineName]; m != nil {
		m.startRefusedAt = time.Now()
	}
}

// RecordTaskFailure records that a job's task failed by itself on a machine. A machine is not schedulable any more
// once tasks of tuning.MachineMaxFailedJobs jobs have failed on it.
func (r *Registry) RecordTaskFailure(machineName, jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.machines[machineName]; m != nil {
		m.failedJobs[jobID] = struct{}{}
	}
}
