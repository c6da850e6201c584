package simulation

import (
	"context"
	"slices"
	"time"
)

// fastBoot is the boot time below which a machine counts as booted fast.
const fastBoot = 2 * time.Second

// bootAgent starts the agent of a machine that has booted. Callers hold the lock.
func (r *Region) bootAgent(ctx context.Context, machine *cloudMachine) {
	if time.Since(machine.rentedAt) < fastBoot {
		r.Checker.Observe(ObservedFastBoot, 1)
	}
	agent := newFakeAgent(r, machine, r.random.IntN(len(r.controllers)))
	r.agents[machine.ID] = agent
	r.Network.Listen(machine.Address, &Host{machine.ID, agent, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !agent.hung()
	}})
	r.wg.Go(func() { agent.heartbeatLoop(ctx) })
}

// stopAgent stops the agent and all tasks of a machine. Callers hold the lock.
func (r *Region) stopAgent(name string) {
	agent := r.agents[name]
	if agent == nil {
		return
	}
	agent.removed = true
	agent.reportTasksLost()
	r.Network.Listen(agent.address, nil)
	delete(r.agents, name)
}

// removeMachine stops a machine and removes it from the cloud's list. Callers hold the lock.
func (r *Region) removeMachine(name string) {
	r.stopAgent(name)
	r.cloud.remove(name)
}

// failMachine stops a machine and marks it as failed in the cloud's list. Callers hold the lock.
func (r *Region) failMachine(name string) {
	r.stopAgent(name)
	r.cloud.markFailed(name)
}

// Machines returns the machines whose agents run.
func (r *Region) Machines() []string {
	return r.machinesWhere(func(*cloudMachine) bool { return true })
}

// SpotMachines returns the spot machines whose agents run.
func (r *Region) SpotMachines() []string {
	return r.machinesWhere(func(machine *cloudMachine) bool { return machine.Spot })
}

func (r *Region) machinesWhere(matches func(*cloudMachine) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, machine := range r.cloud.machines {
		if r.agents[machine.ID] != nil && matches(machine) {
			out = append(out, machine.ID)
		}
	}
	return out
}

// AgentSessions returns the current session of each agent in the given zones, by machine.
func (r *Region) AgentSessions(zones ...string) map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint64{}
	for name, agent := range r.agents {
		if slices.Contains(zones, agent.zone) {
			out[name] = agent.session
		}
	}
	return out
}

// DeleteMachines removes machines, one after the other, as if a controller had deleted them.
func (r *Region) DeleteMachines(names []string) {
	for _, name := range names {
		r.mu.Lock()
		r.removeMachine(name)
		r.mu.Unlock()
	}
}
