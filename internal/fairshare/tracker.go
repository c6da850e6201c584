// Package fairshare follows how much of what arrived of each class and of each team has been
// served, and tells who has had least of what is due while room is short.
//
// The package is pure: what arrived, what waits and the time go in, who is owed comes out. It
// keeps a bounded memory of what arrived lately, as records of jobs that are done leave a node's
// view; a process that was started a moment ago knows of the live ones only, and agrees
// with the others once a window has passed. It decides an order and nothing else (safety
// invariant 19's floors): beneath priorities and guarantees, and for a bounded share of starts.
package fairshare

import (
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// Group is a class or a team.
type Group struct {
	Team bool // else a class
	Name string
}

// arrival is a job that came within the window.
type arrival struct {
	jobID       string
	class, team string
	tasks       int
	arrivedAt   time.Time
}

// Tracker keeps what arrived. The zero value is ready for use; callers guard it.
type Tracker struct {
	arrivals    []arrival // as they were first seen
	trackedJobs map[string]bool
}

// RecordArrival notes a job when it is first seen, with when it came; later calls change nothing.
// What came before the window is passed over.
func (t *Tracker) RecordArrival(now time.Time, jobID, class, team string, tasks int, arrivedAt time.Time) {
	if t.trackedJobs[jobID] || now.Sub(arrivedAt) > tuning.FloorWindow || tasks <= 0 {
		return
	}
	if t.trackedJobs == nil {
		t.trackedJobs = map[string]bool{}
	}
	if len(t.arrivals) >= tuning.FloorJobs {
		delete(t.trackedJobs, t.arrivals[0].jobID)
		t.arrivals = t.arrivals[1:]
	}
	t.trackedJobs[jobID] = true
	t.arrivals = append(t.arrivals, arrival{jobID, class, team, tasks, arrivedAt})
}

// Len is how many jobs are kept.
func (t *Tracker) Len() int { return len(t.arrivals) }

// Underserved gives the classes and teams that were served less than tuning.FloorServed of what
// arrived of them within the window, and less than tuning.FloorBehind of what all were: who
// has had least of what is due. Where all were served alike nobody is owed. waiting counts, by
// job, the tasks that wait.
func (t *Tracker) Underserved(now time.Time, waitingTasks map[string]int) map[Group]bool {
	t.arrivals = slices.DeleteFunc(t.arrivals, func(a arrival) bool {
		expired := now.Sub(a.arrivedAt) > tuning.FloorWindow
		if expired {
			delete(t.trackedJobs, a.jobID)
		}
		return expired
	})
	type sums struct{ arrived, waits int }
	total, byGroup := sums{}, map[Group]sums{}
	for _, a := range t.arrivals {
		w := min(waitingTasks[a.jobID], a.tasks)
		total.arrived, total.waits = total.arrived+a.tasks, total.waits+w
		for _, group := range []Group{{false, a.class}, {true, a.team}} {
			s := byGroup[group]
			byGroup[group] = sums{s.arrived + a.tasks, s.waits + w}
		}
	}
	share := func(s sums) float64 { return 1 - float64(s.waits)/float64(max(s.arrived, 1)) }
	underserved := map[Group]bool{}
	for group, s := range byGroup {
		if got := share(s); got < tuning.FloorServed && got < tuning.FloorBehind*share(total) {
			underserved[group] = true
		}
	}
	return underserved
}
