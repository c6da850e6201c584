package scheduler

import (
	"math"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// utilization is the utilization reward U of the paper (equation 3): the machine time of completed
// tasks over the machine time held. Both sides fade, so that it follows what is recent.
type utilization struct {
	finishedMachineS float64 // in seconds
	heldMachineS     float64 // in seconds
	accruedAt        time.Time
}

// accrue fades both sides and adds the time of the machines held since it was last called.
func (u *utilization) accrue(now time.Time, machines int) {
	if !u.accruedAt.IsZero() {
		elapsed := now.Sub(u.accruedAt).Seconds()
		fade := math.Pow(0.5, elapsed/tuning.UtilizationHalfLife.Seconds())
		u.finishedMachineS *= fade
		u.heldMachineS = u.heldMachineS*fade + float64(machines)*elapsed
	}
	u.accruedAt = now
}

// value is the utilization, from 0 to 1.
func (u *utilization) value() float64 {
	if u.heldMachineS <= 0 {
		return 0
	}
	return min(1, u.finishedMachineS/u.heldMachineS)
}

// accrueMachineTime counts the machines of this node's shards as held.
func (c *cycle) accrueMachineTime() {
	machines := 0
	for shard := range c.shards.revisions {
		machines += len(c.cluster.MachinesByShard[shard])
	}
	c.learning.utilization.accrue(c.now, machines)
}

// shareOfMachine is the share of a machine that a task takes; 0 if the machine or its type is not known.
func shareOfMachine(cluster *clusterstate.State, spec *wire.JobSpec, machineName string) float64 {
	machine := cluster.Machines[machineName]
	if machine == nil {
		return 0
	}
	machineType, ok := cluster.Catalog.Types[machine.Type]
	if !ok {
		return 0
	}
	capacity := record.Capacity(&machineType)
	rest := capacity.Minus(record.TaskResources(spec))
	return 1 - binpack.FreeFraction(rest, capacity)
}

// responsivenessOf is the responsiveness utility W of the paper (equation 1): the run time over the run
// time and all other time since the job could start. Both are in seconds.
func responsivenessOf(runS, sinceReadyS float64) float64 {
	total := max(runS, sinceReadyS)
	if total <= 0 {
		return 0
	}
	return runS / total
}

// reward is the reward R of the paper's elastic provisioning problem (section 3.2): a combination of
// responsiveness and utilization, weighted by the operator's lambda.
func (l *learning) reward(responsiveness float64) float64 {
	return l.operator.ResponsivenessWeight*responsiveness + (1-l.operator.ResponsivenessWeight)*l.utilization.value()
}

// recentResponsivenessWindow is over how many tasks the recent responsiveness fades.
const recentResponsivenessWindow = 16

// giveReward tells the learner what a decision has earned.
func (l *learning) giveReward(id int64, start taskAttempt, responsiveness float64) {
	delete(l.pendingRewards, start)
	l.recentResponsiveness += (responsiveness - l.recentResponsiveness) / recentResponsivenessWindow
	reward := l.reward(responsiveness)
	l.learner.Reward(id, reward)
	l.log.Debug("decision rewarded", "task", start.task, "responsiveness", responsiveness,
		"utilization", l.utilization.value(), "reward", reward)
}

// ProvisioningReward is the reward of a pool size: recent responsiveness and utilization, from 0 to 1.
func (e *Engine) ProvisioningReward() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.learning.reward(e.learning.recentResponsiveness)
}
