package scheduler

import (
	"math/bits"

	"sableusher/internal/clusterstate"
	"sableusher/internal/fairshare"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Size classes that don't depend on the size of a job. The other size classes are greater than 0.
const (
	sizeClassFirst = -1 // before all other size classes
	sizeClassNone  = 0  // the size doesn't affect the order
)

// sizeClass returns the size class of a job, by which jobs of the same priority are ordered, smallest first. While
// capacity is too short for all waiting arrays to meet their objectives, the class of an array is 1 plus the number of
// bits of its remaining work in seconds, so each class covers twice the work of the class before it. Starting the
// smallest first minimizes the mean waiting time (Smith, Various optimizers for single-stage production, Naval Research
// Logistics 3, 1956) and so maximizes the reward's responsiveness: a large array would delay many that end soon. Within
// a size class the nearness of the deadline and the value decide. The work is computed from the user's estimate of the
// run time, because that distinguishes the jobs of one job class, and the median run time of the job class doesn't.
//
// An array that is near its last objective or goes first in the current slot as overdue has sizeClassFirst instead.
// While services find no capacity, the class of a service is determined by its number of bound replicas, fewest first.
// In all other cases the class is sizeClassNone.
func (c *cycle) sizeClass(job *clusterstate.Job) int {
	if job.Spec.Kind == wire.KindService && c.serviceCapacityShort() {
		return 1 + job.BoundCount
	}
	if job.Spec.Kind != wire.KindArray || !c.order.objectives.capacityShort[c.effectiveRank(job)] {
		return sizeClassNone
	}
	if c.inOverdueSlot(job) || c.nearLastObjective(job) {
		return sizeClassFirst
	}
	return 1 + bits.Len(uint(float64(job.PendingCount())*c.estimatedRunTime(job).Seconds()))
}

// serviceCapacityShort reports whether a service has recently found no capacity, as after the loss of a zone. Then one
// replica of each service starts before the second one of any, and services with the fewest replicas go first.
func (c *cycle) serviceCapacityShort() bool {
	return c.now.Sub(c.demand.lastServiceShortage) < tuning.ServiceShortageWindow
}

// nearLastObjective reports whether an array has to start soon to meet the last of its objectives, and can still meet
// it. Without this rule, one array in a hundred misses its last objective when capacity is slightly short: a large
// array waits behind smaller ones that keep arriving, although there is capacity for all of them by then.
func (c *cycle) nearLastObjective(job *clusterstate.Job) bool {
	if _, ok := c.order.objectives.attainable[job.Spec.ID]; !ok {
		return false
	}
	objectives, runTime := c.objectiveTimes(job), c.estimatedRunTime(job)
	slack := objectives[len(objectives)-1].Sub(c.now) - runTime
	return slack >= 0 && slack < max(runTime, tuning.MinLastObjectiveSlack)
}

// fairShareSlot is a one-second time slot in a round of tuning.FairShareRoundSeconds, in which certain arrays go first
// while capacity is short: those of underserved classes or teams, or those that are overdue. All nodes derive the same
// slot from the clock.
type fairShareSlot int64

const (
	slotOfClasses       fairShareSlot = 0 // arrays of underserved classes
	slotOfTeams         fairShareSlot = 1 // arrays of underserved teams
	secondSlotOfClasses fairShareSlot = 2 // classes have two slots: served shares differ most between classes
	slotOfOverdue       fairShareSlot = tuning.FairShareRoundSeconds - 1
)

// String returns the name of the slot for messages.
func (s fairShareSlot) String() string {
	switch s {
	case slotOfClasses, secondSlotOfClasses:
		return "classes"
	case slotOfTeams:
		return "teams"
	default:
		return "overdue"
	}
}

// currentSlot returns the slot at the time of the cycle.
func (c *cycle) currentSlot() fairShareSlot {
	return fairShareSlot(c.now.Unix() % tuning.FairShareRoundSeconds)
}

// inUnderservedSlot reports whether an array goes first in the current slot because its class or team is underserved
// while capacity is short. If size alone decided, a class of large arrays would wait for as long as smaller ones keep
// arriving. Among themselves, the arrays of a slot keep their usual order.
func (c *cycle) inUnderservedSlot(job *clusterstate.Job) bool {
	state := &c.order.objectives
	if len(state.underserved) == 0 || job.Spec.Kind != wire.KindArray || !state.capacityShort[c.effectiveRank(job)] {
		return false
	}
	switch c.currentSlot() {
	case slotOfClasses, secondSlotOfClasses:
		return state.underserved[fairshare.Class(job.Spec.Class)]
	case slotOfTeams:
		return state.underserved[fairshare.Team(job.Spec.Team)]
	default:
		return false
	}
}

// inOverdueSlot reports whether an array goes first in the current slot because it can meet none of its objectives and
// has waited for longer than tuning.OverdueJobAge. Without this slot it would wait behind arrays that can meet their
// objectives for as long as capacity is short, possibly for hours. Among the arrays of the slot the oldest goes first.
func (c *cycle) inOverdueSlot(job *clusterstate.Job) bool {
	return c.order.objectives.unattainable[job.Spec.ID] && c.now.Sub(job.ReadySince()) > tuning.OverdueJobAge &&
		c.currentSlot() == slotOfOverdue
}

// missesObjectives reports whether an array goes behind those that can meet their objectives: it can meet none of its
// own, and the current slot is not for it.
func (c *cycle) missesObjectives(job *clusterstate.Job) bool {
	return c.order.objectives.unattainable[job.Spec.ID] && !c.inOverdueSlot(job)
}
