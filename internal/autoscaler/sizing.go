package autoscaler

import (
	"math"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/learner"
	"sableusher/internal/tuning"
)

// sizingDecision is the learner's last choice of a size; its reward follows from what it leads to.
type sizingDecision struct {
	pendingReward int64 // the learner's ID of the decision; 0 for none
	decidedAt     time.Time
	fraction      float64 // of the planned machines that are not required
}

// limitByLearner lets the learner choose how many of the planned machines are rented: at least
// those that are required, at most all. A choice holds for the configured time.
func (a *Autoscaler) limitByLearner(planned []plannedMachine) []plannedMachine {
	sizes := a.scheduler.Learner()
	if !a.operator.LearningEnabled || !sizes.Warm() {
		return planned
	}
	required := countRequired(planned)
	if required == len(planned) {
		return planned
	}
	now := time.Now()
	if now.Sub(a.sizing.decidedAt) >= config.ToDuration(a.operator.IdleHoldSeconds) {
		a.decideSize(sizes, now, required, len(planned))
	}
	optional := int(math.Ceil(a.sizing.fraction * float64(len(planned)-required)))
	return planned[:required+optional]
}

// countRequired returns how many of the machines, which are in order of need, must be rented: all
// up to the last required one.
func countRequired(planned []plannedMachine) int {
	count := 0
	for i, machine := range planned {
		if machine.required {
			count = i + 1
		}
	}
	return count
}

// decideSize gives the last decision its reward and makes the next one.
func (a *Autoscaler) decideSize(sizes *learner.Learner, now time.Time, required, planned int) {
	if a.sizing.pendingReward != 0 {
		sizes.Reward(a.sizing.pendingReward, a.scheduler.ProvisioningReward())
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
		choices = append(choices, sizes.Score(&state, action))
		if choices[i].Value >= choices[best].Value {
			best = i
		}
	}
	if explored, ok := sizes.Explore(len(choices)); ok {
		best = explored
	}
	a.sizing = sizingDecision{
		pendingReward: sizes.TakeAction(choices[best]),
		decidedAt:     now,
		fraction:      tuning.ScaleOutFractions[best],
	}
	a.log.Debug("size decided", "machines", present, "required", required, "planned", planned,
		"fraction", a.sizing.fraction, "value", choices[best].Value)
}
