package scheduler

import (
	"math/bits"

	"sableusher/internal/clusterstate"
	"sableusher/internal/fairshare"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Size classes that are not powers of two.
const (
	sizeClassFirst = -1 // before all others
	sizeClassNone  = 0  // size counts for nothing
)

// sizeClass is the class of what an array still takes, by powers of two, where capacity is so short that not
// all arrays can meet their objectives; sizeClassNone elsewhere. The large would each hold up many that are over soon:
// by the smallest first the mean waiting time is least (Smith, Various optimizers for single-stage
// production, Naval Research Logistics 3, 1956), and with it the reward's responsiveness highest. Within a
// class the nearness of the deadline and the value decide. The owner's estimate tells the jobs of one class
// apart, which the class's median can't.
func (c *cycle) sizeClass(job *clusterstate.Job) int {
	if job.Spec.Kind == wire.KindService && c.serviceCapacityScarce() {
		return 1 + job.BoundCount // the fewest replicas left first
	}
	if job.Spec.Kind != wire.KindArray || !c.order.objectives.capacityShort[c.effectiveRank(job)] {
		return sizeClassNone
	}
	if c.inOverdueSlot(job) || c.nearLastObjective(job) {
		return sizeClassFirst
	}
	return 1 + bits.Len(uint(float64(job.PendingCount())*c.estimatedRunTime(job).Seconds()))
}

// serviceCapacityScarce reports whether services have found no capacity of late, as after the loss of a zone.
// Then one replica of each starts before the second of any, and those with the fewest left go first.
func (c *cycle) serviceCapacityScarce() bool {
	return c.now.Sub(c.demand.lastServiceShortage) < tuning.ServiceShortageWindow
}

// nearLastObjective reports whether an array has to start soon to meet the last of its objectives, which it
// can. Behind smaller ones that keep coming a large one would miss it though there is capacity for all by
// then: one in a hundred did where capacity was a little short.
func (c *cycle) nearLastObjective(job *clusterstate.Job) bool {
	if _, ok := c.order.objectives.attainable[job.Spec.ID]; !ok {
		return false
	}
	objectives, runTime := c.objectiveTimes(job), c.estimatedRunTime(job)
	slack := objectives[len(objectives)-1].Sub(c.now) - runTime
	return slack >= 0 && slack < max(runTime, tuning.MinObjectiveUrgentSlack)
}

// fairShareSlot is a second of the cycle of tuning.FairShareRoundSeconds in which certain arrays come first while capacity is
// short. All nodes find the same fairShareSlot by the clock.
type fairShareSlot int64

const (
	slotOfClasses       fairShareSlot = 0 // arrays of underserved classes
	slotOfTeams         fairShareSlot = 1 // arrays of underserved teams
	secondSlotOfClasses fairShareSlot = 2 // classes have two turns, as they differ most
	slotOfOverdue       fairShareSlot = tuning.FairShareRoundSeconds - 1
)

// String names a turn for messages.
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

// currentSlot is the turn at the time of the cycle.
func (c *cycle) currentSlot() fairShareSlot {
	return fairShareSlot(c.now.Unix() % tuning.FairShareRoundSeconds)
}

// inUnderservedSlot reports whether it is the turn of an array whose class or team has had least of what is
// due while capacity is short. By size alone a class of large arrays would wait for as long as smaller ones
// keep coming. Their arrays come first in their turn, in the order that holds among all.
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

// inOverdueSlot reports whether it is the turn of arrays that have missed their objectives for long. Behind
// what can be in time they would wait as long as capacity is short, be it for hours; so in their turn they
// come first, the oldest of them before the others.
func (c *cycle) inOverdueSlot(job *clusterstate.Job) bool {
	return c.order.objectives.unattainable[job.Spec.ID] && c.now.Sub(job.ReadySince()) > tuning.OverdueJobAge &&
		c.currentSlot() == slotOfOverdue
}

// missesObjectives reports whether an array stands behind those that can be in time: it can't, and it is not
// its turn.
func (c *cycle) missesObjectives(job *clusterstate.Job) bool {
	return c.order.objectives.unattainable[job.Spec.ID] && !c.inOverdueSlot(job)
}
