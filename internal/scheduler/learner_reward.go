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

// utilization is the utilization reward U (equation 3 of the paper cited in docs/design.md): the machine time of
// completed tasks divided by the machine time held. Both decay with tuning.UtilizationHalfLife, so that recent times
// count most.
type utilization struct {
	finishedMachineSeconds float64 // decayed machine time of completed tasks, in seconds
	heldMachineSeconds     float64 // decayed machine time held, in seconds
	accruedAt              time.Time
}

// accrue applies the decay since its last call and adds the time for which the given number of machines was held.
func (u *utilization) accrue(now time.Time, machines int) {
	if !u.accruedAt.IsZero() {
		elapsed := now.Sub(u.accruedAt).Seconds()
		decay := math.Pow(0.5, elapsed/tuning.UtilizationHalfLife.Seconds())
		u.finishedMachineSeconds *= decay
		u.heldMachineSeconds = u.heldMachineSeconds*decay + float64(machines)*elapsed
	}
	u.accruedAt = now
}

// value returns the utilization, from 0 to 1.
func (u *utilization) value() float64 {
	if u.heldMachineSeconds <= 0 {
		return 0
	}
	return min(1, u.finishedMachineSeconds/u.heldMachineSeconds)
}

// accrueMachineTime adds the time since its last call, times the current number of machines in this node's shards, to
// the machine time held.
func (c *cycle) accrueMachineTime() {
	machines := 0
	for shard := range c.shards.revisions {
		machines += len(c.cluster.MachinesByShard[shard])
	}
	c.learning.utilization.accrue(c.now, machines)
}

// shareOfMachine returns the share of a machine that a task occupies, or 0 if the machine or its type is unknown.
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

// responsivenessOf returns the responsiveness utility W (equation 1 of the paper cited in docs/design.md): the run time
// runS divided by sinceReadyS, the time since the job could first start, both in seconds. It is 1 if sinceReadyS is
// less than runS.
func responsivenessOf(runS, sinceReadyS float64) float64 {
	total := max(runS, sinceReadyS)
	if total <= 0 {
		return 0
	}
	return runS / total
}

// reward returns the reward R of the elastic provisioning problem (section 3.2 of the paper cited in docs/design.md):
// the mean of responsiveness and utilization, weighted by the operator's lambda.
func (l *learning) reward(responsiveness float64) float64 {
	return l.operator.ResponsivenessWeight*responsiveness + (1-l.operator.ResponsivenessWeight)*l.utilization.value()
}

// recentResponsivenessWindow is the number of tasks over which the mean of recent responsiveness decays.
const recentResponsivenessWindow = 16

// reportReward reports the reward of a decision to the learner, and adds the responsiveness to the recent mean.
func (l *learning) reportReward(id int64, start taskAttempt, responsiveness float64) {
	delete(l.pendingRewards, start)
	l.recentResponsiveness += (responsiveness - l.recentResponsiveness) / recentResponsivenessWindow
	reward := l.reward(responsiveness)
	l.learner.Reward(id, reward)
	l.log.Debug("decision rewarded", "task", start.task, "responsiveness", responsiveness,
		"utilization", l.utilization.value(), "reward", reward)
}

// ProvisioningReward returns the reward of the autoscaler's latest choice of a number of machines: the weighted mean of
// recent responsiveness and utilization, from 0 to 1.
func (e *Engine) ProvisioningReward() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.learning.reward(e.learning.recentResponsiveness)
}
