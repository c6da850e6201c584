package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
	"sableusher/internal/wire"
)

func (c *cycle) learnerAction(job *clusterstate.Job) *learner.Action {
	return &learner.Action{Class: job.Spec.Class, Team: job.Spec.Team, RunS: c.learning.runTimes.RunS(job.Spec.Class, job.Spec.RuntimeEstimateSeconds),
		Interactive: c.effectiveRank(job) <= wire.PriorityRank(wire.PriorityHigh)}
}
