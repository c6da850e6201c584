// Package learner estimates the values of the scheduler's and the autoscaler's actions. It implements a
// SARSA learner whose action value Q(s, a) is the linear readout of an echo state network (sections 3
// and 4 of the paper that docs/design.md names, called the paper in comments). It also estimates run times
// from completed runs.
//
// The package owns the reservoir, the readout's weights, the decisions without a reward, the training
// samples, and the run times by class. It makes no decisions: callers score actions, take one of them,
// and report its reward. Values only rank actions that are already allowed, so no safety invariant
// depends on them. The learned state may be lost with the process; a checkpoint saves relearning it.
//
// Learner and RunTimeEstimates are safe for concurrent use.
package learner
