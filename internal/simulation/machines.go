package simulation

import (
	"context"
	"slices"
	"time"
)

// fastBoot is the time within which a machine counts as booted fast.
const fastBoot = 2 * time.Second

// bootAgent starts the agent of a machine that has come up. Callers hold the lock.
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

// stopAgent ends an agent with all that is on its machine. Callers hold the lock.
func (r *Region) stopAgent(name string) {
	agent := r.agents[name]
	if agent == nil {
		return
	}
	agent.removed = true
	agent.loseTasks()
	r.Network.Listen(agent.address, nil)
	delete(r.agents, name)
}

// removeMachine takes a machine away, also from the cloud's list. Callers hold the lock.
func (r *Region) removeMachine(name string) {
	r.stopAgent(name)
	r.cloud.remove(name)
}

// failMachine stops a machine, which stays in the cloud's list as failed. Callers hold the lock.
func (r *Region) failMachine(name string) {
	r.stopAgent(name)
	r.cloud.markFailed(name)
}

// Machines lists the machines that are up.
func (r *Region) Machines() []string {
	return r.machinesWhere(func(*cloudMachine) bool { return true })
}

// SpotMachines lists the spot machines that are up.
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

// AgentSessions gives the sessions of the machines of some zones, by machine.
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

// ReturnMachines takes machines away, one after the other, as if they had been returned.
func (r *Region) ReturnMachines(names []string) {
	for _, name := range names {
		r.mu.Lock()
		r.removeMachine(name)
		r.mu.Unlock()
	}
}
