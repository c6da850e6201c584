package simulation

import (
	"context"
	"time"
)

// leaderPollInterval is how often a fault looks whether another process leads.
const leaderPollInterval = 20 * time.Millisecond

// heartbeatFaults are the faults by which heartbeats arrive again.
type heartbeatFaults struct {
	duplicates faultRate                    // heartbeats of which a copy arrives later
	capture    faultRate                    // heartbeats of which a copy is kept for the next leader
	captured   map[string]capturedHeartbeat // the last one kept, by machine
	copies     int                          // copies that were sent so far
}

// capturedHeartbeat is a heartbeat that the network delivers again to a new leader.
type capturedHeartbeat struct {
	body   []byte
	sentAt time.Time
}

// DuplicateHeartbeats lets a copy of a share of the heartbeats arrive again, from 2 s to more than two leases
// later, until a time.
func (r *Region) DuplicateHeartbeats(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats.duplicates = newFaultRate(share, until, seed, streamDuplicates)
}

// redeliverLater sends a heartbeat again later. Callers hold the lock.
func (r *Region) redeliverLater(ctx context.Context, machine, address string, body []byte) {
	delay := r.heartbeats.duplicates.duration(2*time.Second, 5*r.Settings.LeaseDuration()/2)
	r.heartbeats.copies++
	r.wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		r.redeliver(ctx, machine, address, body)
	})
}

// redeliver lets a heartbeat arrive once more; nobody sees the answer.
func (r *Region) redeliver(ctx context.Context, machine, address string, body []byte) {
	_, _, _ = postHeartbeat(ctx, r.Network.Transport(machine, alwaysAlive), address, body)
}

// captureHeartbeat keeps a copy of a share of the heartbeats for the next leader. Callers hold the lock.
func (r *Region) captureHeartbeat(machine string, body []byte) {
	if r.heartbeats.capture.occurs() {
		r.heartbeats.captured[machine] = capturedHeartbeat{body, time.Now()}
	}
}

// ReplayToNextLeader keeps copies of a share of the heartbeats until a time, and delivers them to every
// controller at the moment at which another process leads.
func (r *Region) ReplayToNextLeader(ctx context.Context, share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	r.heartbeats.capture = newFaultRate(share, until, seed, streamHeartbeatCapture)
	r.mu.Unlock()
	watch := tokenWatch{interval: leaderPollInterval, until: until, token: r.leaderToken}
	r.wg.Go(func() {
		watch.run(ctx, func() { r.replayCaptured(ctx) })
	})
}

func (r *Region) replayCaptured(ctx context.Context) {
	for machine, heartbeat := range r.takeCaptured() {
		for _, controller := range r.controllers {
			r.wg.Go(func() { r.redeliver(ctx, machine, controller.Address, heartbeat.body) })
		}
	}
}

// takeCaptured gives the copies that are kept, and counts those that are the first that the new owners hear
// of their machine: nothing was sent since.
func (r *Region) takeCaptured() map[string]capturedHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	captured := r.heartbeats.captured
	r.heartbeats.captured = map[string]capturedHeartbeat{}
	first := 0
	for machine, heartbeat := range captured {
		if agent := r.agents[machine]; agent != nil && agent.lastHeartbeat.Equal(heartbeat.sentAt) {
			first++
		}
	}
	r.heartbeats.copies += len(captured) * len(r.controllers)
	r.Checker.Observe(ObservedCopyBeforeLiveHeartbeat, first)
	return captured
}
