// Package learner values the choices of the scheduler and of the autoscaler: a SARSA learner whose
// action value Q(s, a) is the linear readout of an echo state network (sections 3 and 4 of the paper
// that docs/design.md names). It also estimates run times from completed runs.
//
// It owns the reservoir, the readout's weights, the decisions that wait for their reward, the
// training samples, and the run times by class. It never decides: callers score actions, take one, and
// report its reward. A value only orders what the scheduler may start anyway, so no safety invariant
// rests on it. What it learned can be lost with the process; checkpoints spare learning it again.
//
// Learner and RunTimeEstimates are safe for concurrent use.
package learner
