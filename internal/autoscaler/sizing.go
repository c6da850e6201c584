package autoscaler

import (
	"math"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/learner"
	"sableusher/internal/tuning"
)

// sizingDecision is the learner's last choice of a number of machines. It is rewarded when the next choice
// is made.
type sizingDecision struct {
	decisionID int64 // ID of the decision in the learner; 0 before the first decision
	decidedAt  time.Time
	fraction   float64 // share of the optional planned machines to rent, 0 to 1
}

// limitByLearner lets the learner choose how many of the planned machines are rented: at least the
// required ones, at most all. A choice is kept for the operator's idle hold time. All planned machines
// are rented if learning is disabled or the learner has too few rewards.
func (a *Autoscaler) limitByLearner(planned []plannedMachine) []plannedMachine {
	sizeLearner := a.scheduler.Learner()
	if !a.operator.LearningEnabled || !sizeLearner.Warm() {
		return planned
	}
	required := countRequired(planned)
	if required == len(planned) {
		return planned
	}
	now := time.Now()
	if now.Sub(a.sizing.decidedAt) >= config.ToDuration(a.operator.IdleHoldSeconds) {
		a.decideSize(sizeLearner, now, required, len(planned))
	}
	optional := int(math.Ceil(a.sizing.fraction * float64(len(planned)-required)))
	return planned[:required+optional]
}

// countRequired returns the number of planned machines that must be rented: all machines, in order of
// need, up to and including the last required one.
func countRequired(planned []plannedMachine) int {
	count := 0
	for i, machine := range planned {
		if machine.required {
			count = i + 1
		}
	}
	return count
}

// decideSize rewards the last decision and makes the next one. required and planned are numbers of machines.
func (a *Autoscaler) decideSize(sizeLearner *learner.Learner, now time.Time, required, planned int) {
	if a.sizing.decisionID != 0 {
		sizeLearner.Reward(a.sizing.decisionID, a.scheduler.ProvisioningReward())
	}
	a.state.RLock()
	present := len(a.state.Machines)
	a.state.RUnlock()
	state := a.scheduler.ProvisioningState()
	var choices []learner.ScoredAction
	best := 0
	for i, fraction := range tuning.ScaleOutFractions {
		machines := float64(present+required) + fraction*float64(planned-required)
		action := &learner.Action{IsScaling: true, ScaleFraction: fraction, Machines: machines}
		choices = append(choices, sizeLearner.Score(&state, action))
		if choices[i].Value >= choices[best].Value {
			best = i
		}
	}
	if explored, ok := sizeLearner.Explore(len(choices)); ok {
		best = explored
	}
	a.sizing = sizingDecision{
		decisionID: sizeLearner.TakeAction(choices[best]),
		decidedAt:  now,
		fraction:   tuning.ScaleOutFractions[best],
	}
	a.log.Debug("number of machines to rent decided", "machines", present, "required", required, "planned", planned,
		"fraction", a.sizing.fraction, "value", choices[best].Value)
}
