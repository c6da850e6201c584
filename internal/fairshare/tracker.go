package fairshare

import (
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// Arrival is a job that was accepted.
type Arrival struct {
	JobID string
	Class string
	Team  string
	Tasks int
	At    time.Time
}

// Tracker keeps the arrivals of the last tuning.FairShareWindow, at most tuning.FairShareMaxJobs. The zero
// value is ready for use; it is not safe for concurrent use.
type Tracker struct {
	arrivals    []Arrival // in the order in which they were first recorded
	trackedJobs map[string]bool
}

// RecordArrival adds a job. A job that is tracked already, that has no tasks or that arrived before
// the window is ignored. A full tracker forgets its oldest arrival.
func (t *Tracker) RecordArrival(now time.Time, arrival Arrival) {
	if t.trackedJobs[arrival.JobID] || isExpired(now, &arrival) || arrival.Tasks <= 0 {
		return
	}
	if t.trackedJobs == nil {
		t.trackedJobs = map[string]bool{}
	}
	if len(t.arrivals) >= tuning.FairShareMaxJobs {
		delete(t.trackedJobs, t.arrivals[0].JobID)
		t.arrivals = t.arrivals[1:]
	}
	t.trackedJobs[arrival.JobID] = true
	t.arrivals = append(t.arrivals, arrival)
}

// Len returns the number of tracked jobs.
func (t *Tracker) Len() int { return len(t.arrivals) }

// Underserved returns the groups that were served less than tuning.FairShareMinServed of what arrived of
// them within the window, and less than tuning.FairShareMinRelativeServed of what all groups together were: where
// all were served alike it returns none. waitingTasks counts the tasks that wait by job ID.
func (t *Tracker) Underserved(now time.Time, waitingTasks map[string]int) map[Group]bool {
	t.deleteExpired(now)
	total, byGroup := t.countTasks(waitingTasks)
	underserved := map[Group]bool{}
	for group, count := range byGroup {
		served := count.servedShare()
		if served < tuning.FairShareMinServed && served < tuning.FairShareMinRelativeServed*total.servedShare() {
			underserved[group] = true
		}
	}
	return underserved
}

func (t *Tracker) deleteExpired(now time.Time) {
	t.arrivals = slices.DeleteFunc(t.arrivals, func(arrival Arrival) bool {
		expired := isExpired(now, &arrival)
		if expired {
			delete(t.trackedJobs, arrival.JobID)
		}
		return expired
	})
}

// countTasks counts the tasks of all tracked jobs, and by group.
func (t *Tracker) countTasks(waitingTasks map[string]int) (total taskCount, byGroup map[Group]taskCount) {
	byGroup = map[Group]taskCount{}
	for i := range t.arrivals {
		arrival := &t.arrivals[i]
		count := taskCount{
			arrived: arrival.Tasks,
			waiting: min(waitingTasks[arrival.JobID], arrival.Tasks),
		}
		total = total.plus(count)
		for _, group := range [...]Group{Class(arrival.Class), Team(arrival.Team)} {
			byGroup[group] = byGroup[group].plus(count)
		}
	}
	return total, byGroup
}

func isExpired(now time.Time, arrival *Arrival) bool {
	return now.Sub(arrival.At) > tuning.FairShareWindow
}

// taskCount counts the tasks of some arrivals.
type taskCount struct {
	arrived int
	waiting int // those of the arrived that have not been started
}

func (c taskCount) plus(other taskCount) taskCount {
	return taskCount{arrived: c.arrived + other.arrived, waiting: c.waiting + other.waiting}
}

// servedShare is the share of the arrived tasks that do not wait any more, from 0 to 1.
func (c taskCount) servedShare() float64 {
	return 1 - float64(c.waiting)/float64(max(c.arrived, 1))
}
