package simulation

import (
	"context"
	"time"
)

// leaderPollInterval is the interval at which a fault checks whether another process has become the leader.
const leaderPollInterval = 20 * time.Millisecond

// heartbeatFaults are the faults that deliver heartbeats more than once.
type heartbeatFaults struct {
	duplicates faultRate                    // selects heartbeats that are delivered again later
	capture    faultRate                    // selects heartbeats that are kept for the next leader
	captured   map[string]capturedHeartbeat // the last captured heartbeat, by machine
	copies     int                          // number of copies sent or scheduled so far
}

// capturedHeartbeat is a heartbeat that the network delivers again when the leader changes.
type capturedHeartbeat struct {
	body   []byte
	sentAt time.Time
}

// DuplicateHeartbeats delivers copies of a share of the heartbeats until a time. A copy is sent between 2 s and two and
// a half lease durations after the original.
func (r *Region) DuplicateHeartbeats(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats.duplicates = newFaultRate(share, until, seed, streamDuplicates)
}

// redeliverLater sends a copy of a heartbeat after a random delay. Callers hold the lock.
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

// redeliver sends a copy of a heartbeat and discards the response.
func (r *Region) redeliver(ctx context.Context, machine, address string, body []byte) {
	_, _, _ = postHeartbeat(ctx, r.Network.Transport(machine, alwaysAlive), address, body)
}

// captureHeartbeat keeps a copy of a heartbeat for the next leader if the fault selects it. Callers hold the lock.
func (r *Region) captureHeartbeat(machine string, body []byte) {
	if r.heartbeats.capture.occurs() {
		r.heartbeats.captured[machine] = capturedHeartbeat{body, time.Now()}
	}
}

// ReplayToNextLeader captures a share of the heartbeats until a time, the last one of each machine. Each time the
// leader changes before then, the region sends the captured heartbeats to all controllers, once.
func (r *Region) ReplayToNextLeader(ctx context.Context, share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	r.heartbeats.capture = newFaultRate(share, until, seed, streamHeartbeatCapture)
	r.mu.Unlock()
	watch := tokenWatch{interval: leaderPollInterval, until: until, token: r.leaderToken}
	r.wg.Go(func() {
		watch.run(ctx, func() { r.replayCaptured(ctx) })
	})
}

// replayCaptured sends the captured heartbeats to all controllers.
func (r *Region) replayCaptured(ctx context.Context) {
	for machine, heartbeat := range r.takeCaptured() {
		for _, controller := range r.controllers {
			r.wg.Go(func() { r.redeliver(ctx, machine, controller.Address, heartbeat.body) })
		}
	}
}

// takeCaptured removes and returns the captured heartbeats. It reports to the checker how many of them are of machines
// that have sent no newer heartbeat, as the new owners receive these copies before any live heartbeat.
func (r *Region) takeCaptured() map[string]capturedHeartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	captured := r.heartbeats.captured
	r.heartbeats.captured = map[string]capturedHeartbeat{}
	beforeLive := 0
	for machine, heartbeat := range captured {
		if agent := r.agents[machine]; agent != nil && agent.lastHeartbeat.Equal(heartbeat.sentAt) {
			beforeLive++
		}
	}
	r.heartbeats.copies += len(captured) * len(r.controllers)
	r.Checker.Observe(ObservedCopyBeforeLiveHeartbeat, beforeLive)
	return captured
}
