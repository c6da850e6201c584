package simulation

import (
	"maps"
	"slices"
	"time"
)

// FailMachine stops a machine and marks it as failed in the cloud's list.
func (r *Region) FailMachine(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failMachine(name)
}

// RemoveAllMachines stops all running machines at once and removes them from the cloud's list.
func (r *Region) RemoveAllMachines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.agents)) {
		r.removeMachine(name)
	}
}

// ReclaimMachine makes the cloud reclaim a spot machine after a notice, or immediately if notice is 0.
func (r *Region) ReclaimMachine(name string, notice time.Duration) {
	r.mu.Lock()
	if agent := r.agents[name]; agent != nil && notice > 0 {
		agent.reclaimAt = time.Now().Add(notice)
		agent.statusChanged = true
	}
	r.mu.Unlock()
	r.wg.Go(func() {
		time.Sleep(notice)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.removeMachine(name)
	})
}

// HangMachine makes a machine hang for a duration.
func (r *Region) HangMachine(name string, duration time.Duration) {
	r.withAgent(name, func(agent *fakeAgent) { agent.hungUntil = time.Now().Add(duration) })
}

// LoseInbound drops all messages to a machine until a time. Its heartbeats still arrive.
func (r *Region) LoseInbound(name string, until time.Time) {
	r.withAgent(name, func(agent *fakeAgent) { agent.inboundLostUntil = until })
}

// LoseOutbound drops a machine's heartbeats until a time. Direct commands still reach the machine.
func (r *Region) LoseOutbound(name string, until time.Time) {
	r.withAgent(name, func(agent *fakeAgent) { agent.outboundLostUntil = until })
}

func (r *Region) withAgent(name string, change func(*fakeAgent)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if agent := r.agents[name]; agent != nil {
		change(agent)
	}
}
