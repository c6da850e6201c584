// Package floor follows how much of what arrived of each class and of each team has been
// served, and tells who has had least of what is due while room is short.
//
// The package is pure: what arrived, what waits and the time go in, who is owed comes out. It
// keeps a bounded memory of what arrived lately, as records of jobs that are done leave a node's
// view; a process that was started a moment ago knows of the live ones only, and agrees
// with the others once a window has passed. It decides an order and nothing else (safety
// invariant 19's floors): beneath priorities and guarantees, and for a bounded share of starts.
package floor

import (
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// Whom is a class or a team.
type Whom struct {
	Team bool // else a class
	Name string
}

// arrival is a job that came within the window.
type arrival struct {
	id          string
	class, team string
	tasks       int
	at          time.Time
}

// Book keeps what arrived. The zero value is ready for use; callers guard it.
type Book struct {
	queue []arrival // as they were first seen
	known map[string]bool
}

// Arrived notes a job when it is first seen, with when it came; later calls change nothing.
// What came before the window is passed over.
func (b *Book) Arrived(now time.Time, id, class, team string, tasks int, at time.Time) {
	if b.known[id] || now.Sub(at) > tuning.FloorWindow || tasks <= 0 {
		return
	}
	if b.known == nil {
		b.known = map[string]bool{}
	}
	if len(b.queue) >= tuning.FloorJobs {
		delete(b.known, b.queue[0].id)
		b.queue = b.queue[1:]
	}
	b.known[id] = true
	b.queue = append(b.queue, arrival{id, class, team, tasks, at})
}

// Len is how many jobs are kept.
func (b *Book) Len() int { return len(b.queue) }

// Owed gives the classes and teams that were served less than tuning.FloorServed of what
// arrived of them within the window, and less than tuning.FloorBehind of what all were: who
// has had least of what is due. Where all were served alike nobody is owed. waiting counts, by
// job, the tasks that wait.
func (b *Book) Owed(now time.Time, waiting map[string]int) map[Whom]bool {
	b.queue = slices.DeleteFunc(b.queue, func(a arrival) bool {
		past := now.Sub(a.at) > tuning.FloorWindow
		if past {
			delete(b.known, a.id)
		}
		return past
	})
	type sums struct{ arrived, waits int }
	all, each := sums{}, map[Whom]sums{}
	for _, a := range b.queue {
		w := min(waiting[a.id], a.tasks)
		all.arrived, all.waits = all.arrived+a.tasks, all.waits+w
		for _, who := range []Whom{{false, a.class}, {true, a.team}} {
			s := each[who]
			each[who] = sums{s.arrived + a.tasks, s.waits + w}
		}
	}
	share := func(s sums) float64 { return 1 - float64(s.waits)/float64(max(s.arrived, 1)) }
	out := map[Whom]bool{}
	for who, s := range each {
		if got := share(s); got < tuning.FloorServed && got < tuning.FloorBehind*share(all) {
			out[who] = true
		}
	}
	return out
}
