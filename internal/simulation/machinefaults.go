package simulation

import (
	"maps"
	"slices"
	"time"
)

// FailMachine stops a machine; it stays in the cloud's list as failed.
func (r *Region) FailMachine(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failMachine(name)
}

// RemoveAllMachines takes all machines away at once, without a trace in the cloud's list.
func (r *Region) RemoveAllMachines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.agents)) {
		r.removeMachine(name)
	}
}

// ReclaimMachine lets the cloud take a spot machine back, with a notice or, if that is 0, without.
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

// HangMachine stops a machine's processor for a while.
func (r *Region) HangMachine(name string, duration time.Duration) {
	r.withAgent(name, func(agent *fakeAgent) { agent.hungUntil = time.Now().Add(duration) })
}

// LoseInbound loses all messages to a machine until a time, while its heartbeats arrive.
func (r *Region) LoseInbound(name string, until time.Time) {
	r.withAgent(name, func(agent *fakeAgent) { agent.inboundLostUntil = until })
}

// LoseOutbound lets a machine reach no controller until a time, while direct commands reach it.
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
