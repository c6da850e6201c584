package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
)

// jobAction returns the action of starting a task of a waiting job, described by the variables of the job model of the
// paper cited in docs/design.md (section 3.2, "Action Space for the Scheduling MDP"): batch or interactive, the user's
// team and the expected run time. High-priority jobs count as interactive.
func (c *cycle) jobAction(job *clusterstate.Job) *learner.Action {
	return &learner.Action{
		Class:       job.Spec.Class,
		Team:        job.Spec.Team,
		RunSeconds:  c.learning.runTimes.ExpectedRunSeconds(job.Spec.Class, job.Spec.RuntimeEstimateSeconds),
		Interactive: isHighPriority(c.effectiveRank(job)),
	}
}
