package agent

import (
	"time"

	"sableusher/internal/tuning"
)

// MachineStatus is what a scheduler needs to know of a machine. Times are zero where the event has not
// happened.
type MachineStatus struct {
	LastHeard time.Time // when its last report came
	Session   uint64    // of its agent; 0: nothing was heard yet
	// Schedulable: it was heard lately under the owner's fencing token, reaches this node and is reached, is not
	// reclaimed, and neither refused a start lately nor fails tasks of several jobs.
	Schedulable bool
	ReclaimAt   time.Time // when the cloud takes a spot machine back
	// UnresolvedStart: a direct start without an answer is left.
	UnresolvedStart bool
	// CommandUnanswered: a direct command since the last report got no answer.
	CommandUnanswered bool
	InboundLost       bool // its heartbeats arrive, while for some time commands to it did not
	InboundConfirmed  bool // it is known to receive what this node sends
	OutboundLost      bool // it answers commands, while for some time no heartbeat of it came here
	// LeaseExpiry is when its lease expires if no heartbeat of it comes any more.
	LeaseExpiry time.Time
	// OneWaySince is since when its inbound or outbound direction has been lost.
	OneWaySince time.Time
	FailedJobs  int // how many jobs' tasks failed on it
}

// MachineStatus gives a machine's status for an owner with the given fencing token; the zero value if nothing
// is known of it.
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
		LastHeard: m.link.lastHeard, Session: m.session.id, ReclaimAt: m.reclaimAt, FailedJobs: len(m.failedJobs),
		UnresolvedStart: m.starts.hasUnresolved(fencingToken), CommandUnanswered: m.link.commandUnanswered(),
		InboundLost: m.link.inboundLostForLong(now), InboundConfirmed: m.link.inboundConfirmed(),
		OutboundLost: r.outboundLost(m, now), LeaseExpiry: heartbeatExpectedFrom.Add(r.settings.LeaseDuration()),
	}
	switch {
	case status.OutboundLost:
		status.OneWaySince = heartbeatExpectedFrom
	case status.InboundLost:
		status.OneWaySince = m.link.inboundLostSince
	}
	status.Schedulable = m.session.id != 0 && m.session.fencingToken == fencingToken &&
		r.linkUsable(m, &status, now) && m.acceptsTasks(now)
	return status
}

// linkUsable tells whether a machine was heard lately and both directions are not known to be lost.
func (r *Registry) linkUsable(m *machine, status *MachineStatus, now time.Time) bool {
	return now.Sub(m.link.lastHeard) < r.maxSilence() &&
		!status.CommandUnanswered && !m.link.inboundLost() && !status.OutboundLost
}

// acceptsTasks tells whether nothing that the machine did speaks against another task on it.
func (m *machine) acceptsTasks(now time.Time) bool {
	return m.reclaimAt.IsZero() && now.Sub(m.startRefusedAt) > tuning.StartRefusalBackoff &&
		len(m.failedJobs) < tuning.MachineMaxFailedJobs
}

// outboundLost tells whether a machine answers commands while its heartbeats have been due for some time.
// Callers hold mu.
func (r *Registry) outboundLost(m *machine, now time.Time) bool {
	return m.link.outboundLost(r.maxSilence(), now)
}

// maxSilence is how long a machine that is in reach may be silent.
func (r *Registry) maxSilence() time.Duration {
	return r.heartbeatIntervals(tuning.SuspectAfterIntervals)
}

// RecordStartRefusal keeps a machine that refused a start out of scheduling for tuning.StartRefusalBackoff.
func (r *Registry) RecordStartRefusal(machineName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.machines[machineName]; m != nil {
		m.startRefusedAt = time.Now()
	}
}

// RecordTaskFailure notes that a job's task failed by itself on a machine. One on which tasks of
// tuning.MachineMaxFailedJobs jobs failed is not scheduled any more.
func (r *Registry) RecordTaskFailure(machineName, jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.machines[machineName]; m != nil {
		m.failedJobs[jobID] = struct{}{}
	}
}
