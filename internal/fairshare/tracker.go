package fairshare

import (
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// Arrival is an accepted job with its number of tasks and the time of its arrival.
type Arrival struct {
	JobID string
	Class string
	Team  string
	Tasks int
	At    time.Time
}

// Tracker keeps the arrivals of the last tuning.FairShareWindow, at most tuning.FairShareMaxJobs of
// them. The zero value is an empty tracker that is ready for use. A Tracker is not safe for concurrent
// use.
type Tracker struct {
	arrivals    []Arrival // in the order in which they were first recorded
	trackedJobs map[string]bool
}

// RecordArrival adds a job. It ignores a job that is already tracked, has no tasks, or arrived before
// the window that ends now. If the tracker is full, the arrival that was recorded first is removed.
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

// Underserved returns the underserved groups. A group is underserved if its served share, the share of
// its arrived tasks that no longer wait, is less than tuning.FairShareMinServed and also less than
// tuning.FairShareMinRelativeServed times the served share of all groups together. If all groups have
// the same served share, none is underserved. pendingTasks is the number of pending tasks by job ID.
func (t *Tracker) Underserved(now time.Time, pendingTasks map[string]int) map[Group]bool {
	t.deleteExpired(now)
	total, byGroup := t.countTasks(pendingTasks)
	underserved := map[Group]bool{}
	for group, count := range byGroup {
		served := count.servedShare()
		if served < tuning.FairShareMinServed && served < tuning.FairShareMinRelativeServed*total.servedShare() {
			underserved[group] = true
		}
	}
	return underserved
}

// deleteExpired removes the arrivals before the window that ends now.
func (t *Tracker) deleteExpired(now time.Time) {
	t.arrivals = slices.DeleteFunc(t.arrivals, func(arrival Arrival) bool {
		expired := isExpired(now, &arrival)
		if expired {
			delete(t.trackedJobs, arrival.JobID)
		}
		return expired
	})
}

// countTasks counts the tasks of all tracked jobs, in total and by group.
func (t *Tracker) countTasks(pendingTasks map[string]int) (total taskCount, byGroup map[Group]taskCount) {
	byGroup = map[Group]taskCount{}
	for i := range t.arrivals {
		arrival := &t.arrivals[i]
		count := taskCount{
			arrived: arrival.Tasks,
			pending: min(pendingTasks[arrival.JobID], arrival.Tasks),
		}
		total = total.plus(count)
		for _, group := range [...]Group{Class(arrival.Class), Team(arrival.Team)} {
			byGroup[group] = byGroup[group].plus(count)
		}
	}
	return total, byGroup
}

// isExpired reports whether a job arrived before the window that ends now.
func isExpired(now time.Time, arrival *Arrival) bool {
	return now.Sub(arrival.At) > tuning.FairShareWindow
}

// taskCount is the number of arrived and of pending tasks of a set of jobs.
type taskCount struct {
	arrived int
	pending int // the part of arrived that has not been started
}

func (c taskCount) plus(other taskCount) taskCount {
	return taskCount{arrived: c.arrived + other.arrived, pending: c.pending + other.pending}
}

// servedShare returns the share of the arrived tasks that no longer wait, from 0 to 1.
func (c taskCount) servedShare() float64 {
	return 1 - float64(c.pending)/float64(max(c.arrived, 1))
}
