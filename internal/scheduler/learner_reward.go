package scheduler

import (
	"math"

	"sableusher/internal/tuning"
)

// Payoff mixes responsiveness and utilization.
func (e *Engine) reward(responsiveness float64) float64 {
	return e.operator.Lambda*responsiveness + (1-e.operator.Lambda)*e.learning.utilization()
}

func (c *cycle) giveReward(id int64, start taskAttempt, responsiveness float64) {
	delete(c.learning.pendingRewards, start)
	c.learning.recentResponsiveness += (responsiveness - c.learning.recentResponsiveness) / 16
	reward := c.reward(responsiveness)
	c.learning.learner.Pay(id, reward)
	c.log.Debug("payoff", "task", start.task, "responsiveness", responsiveness, "utilization", c.learning.utilization(), "payoff", reward)
}

// accrueMachineTime moves utilization's paid side on; machines of this node's parts count.
func (c *cycle) accrueMachineTime() {
	learning := &c.learning
	if !learning.accruedAt.IsZero() {
		elapsed := c.now.Sub(learning.accruedAt)
		fade := math.Pow(0.5, elapsed.Seconds()/tuning.UtilizationFade.Seconds())
		machines := 0
		for shard := range c.shardRevisions {
			machines += len(c.cluster.MachinesByShard[shard])
		}
		learning.finishedMachineSeconds, learning.heldMachineSeconds = learning.finishedMachineSeconds*fade, learning.heldMachineSeconds*fade+float64(machines)*elapsed.Seconds()
	}
	learning.accruedAt = c.now
}

// ProvisioningReward is what a size has earned: responsiveness of late and utilization.
func (e *Engine) ProvisioningReward() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reward(e.learning.recentResponsiveness)
}
