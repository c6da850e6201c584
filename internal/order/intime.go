package order

import (
	"cmp"
	"container/heap"
	"time"
)

// Work is a waiting job as Reachable sees it.
type Work struct {
	ID string
	// Takes is how long the whole of the room that there is would be busy with what the
	// job still has to start.
	Takes time.Duration
	// Run is how long one of its tasks runs: with any room it takes no less.
	Run time.Duration
	// Aims are the times by which it should be over, earliest first, from now on.
	Aims []time.Duration
}

// Reachable finds the aim that each job can meet with the room there is, as an index into
// its aims; -1 if it can meet none. What waits is more than the room can serve in time when
// a burst meets a loss; served by the earliest deadline, each job then takes the room that
// the next one needed and all of them are late. So as few as possible are given up: jobs
// are taken in by deadline, and where one would be late, the largest taken in so far is put
// off to its next aim, or given up if it has none (Moore, An n job, one machine sequencing
// algorithm for minimizing the number of late jobs, Management Science 15, 1968; Hodgson's
// form). backlog is how long the room is busy with what runs. The cost is n log n times the
// number of aims; the order of the list does not matter.
func Reachable(backlog time.Duration, list []Work) map[string]int {
	out := make(map[string]int, len(list))
	next := &planned{less: func(a, b *entrant) bool {
		return cmp.Or(cmp.Compare(a.by(), b.by()), cmp.Compare(a.Takes, b.Takes), cmp.Compare(a.ID, b.ID)) < 0
	}}
	in := &planned{less: func(a, b *entrant) bool {
		return cmp.Or(-cmp.Compare(a.Takes, b.Takes), cmp.Compare(a.ID, b.ID)) < 0
	}}
	// enter puts a job up for its first aim, from the one it has on, that it could meet alone.
	enter := func(e *entrant) {
		for ; e.aim < len(e.Aims); e.aim++ {
			if e.by() >= max(e.Run, e.Takes) {
				heap.Push(next, e)
				return
			}
		}
		out[e.ID] = -1
	}
	for i := range list {
		enter(&entrant{Work: &list[i]})
	}
	sum := backlog
	for next.Len() > 0 {
		e := heap.Pop(next).(*entrant)
		heap.Push(in, e)
		out[e.ID] = e.aim
		if sum += e.Takes; sum > e.by() {
			late := heap.Pop(in).(*entrant)
			sum -= late.Takes
			late.aim++
			enter(late)
		}
	}
	return out
}

// entrant is a job with the aim it is up for.
type entrant struct {
	*Work
	aim int
}

func (e *entrant) by() time.Duration { return e.Aims[e.aim] }

// planned is a heap of entrants.
type planned struct {
	list []*entrant
	less func(a, b *entrant) bool
}

func (p *planned) Len() int           { return len(p.list) }
func (p *planned) Less(i, j int) bool { return p.less(p.list[i], p.list[j]) }
func (p *planned) Swap(i, j int)      { p.list[i], p.list[j] = p.list[j], p.list[i] }
func (p *planned) Push(x any)         { p.list = append(p.list, x.(*entrant)) }
func (p *planned) Pop() any {
	x := p.list[len(p.list)-1]
	p.list = p.list[:len(p.list)-1]
	return x
}
