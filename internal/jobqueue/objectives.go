package jobqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// WaitingJob is a waiting job as Reachable sees it.
type WaitingJob struct {
	JobID string
	// ServiceTime is how long the whole of the room that there is would be busy with what the
	// job still has to start.
	ServiceTime time.Duration
	// TaskRunTime is how long one of its tasks runs: with any room it takes no less.
	TaskRunTime time.Duration
	// Objectives are the times by which it should be over, earliest first, from now on.
	Objectives []time.Duration
}

// AttainableObjectives finds the aim that each job can meet with the room there is, as an index into
// its aims; -1 if it can meet none. What waits is more than the room can serve in time when
// a burst meets a loss; served by the earliest deadline, each job then takes the room that
// the next one needed and all of them are late. So as few as possible are given up: jobs
// are taken in by deadline, and where one would be late, the largest taken in so far is put
// off to its next aim, or given up if it has none (Moore, An n job, one machine sequencing
// algorithm for minimizing the number of late jobs, Management Science 15, 1968; Hodgson's
// form). backlog is how long the room is busy with what runs. The cost is n log n times the
// number of aims; the order of the list does not matter.
func AttainableObjectives(backlog time.Duration, jobs []WaitingJob) map[string]int {
	attained := make(map[string]int, len(jobs))
	byDeadline := &candidateHeap{less: func(a, b *candidate) bool {
		return cmp.Or(cmp.Compare(a.deadline(), b.deadline()), cmp.Compare(a.ServiceTime, b.ServiceTime), cmp.Compare(a.JobID, b.JobID)) < 0
	}}
	admitted := &candidateHeap{less: func(a, b *candidate) bool {
		return cmp.Or(-cmp.Compare(a.ServiceTime, b.ServiceTime), cmp.Compare(a.JobID, b.JobID)) < 0
	}}
	// enter puts a job up for its first aim, from the one it has on, that it could meet alone.
	enqueue := func(entry *candidate) {
		for ; entry.objective < len(entry.Objectives); entry.objective++ {
			if entry.deadline() >= max(entry.TaskRunTime, entry.ServiceTime) {
				heap.Push(byDeadline, entry)
				return
			}
		}
		attained[entry.JobID] = -1
	}
	for i := range jobs {
		enqueue(&candidate{WaitingJob: &jobs[i]})
	}
	busy := backlog
	for byDeadline.Len() > 0 {
		entry := heap.Pop(byDeadline).(*candidate)
		heap.Push(admitted, entry)
		attained[entry.JobID] = entry.objective
		if busy += entry.ServiceTime; busy > entry.deadline() {
			late := heap.Pop(admitted).(*candidate)
			busy -= late.ServiceTime
			late.objective++
			enqueue(late)
		}
	}
	return attained
}

// candidate is a job with the aim it is up for.
type candidate struct {
	*WaitingJob
	objective int
}

func (e *candidate) deadline() time.Duration { return e.Objectives[e.objective] }

// candidateHeap is a heap of entrants.
type candidateHeap struct {
	candidates []*candidate
	less       func(a, b *candidate) bool
}

func (p *candidateHeap) Len() int           { return len(p.candidates) }
func (p *candidateHeap) Less(i, j int) bool { return p.less(p.candidates[i], p.candidates[j]) }
func (p *candidateHeap) Swap(i, j int) {
	p.candidates[i], p.candidates[j] = p.candidates[j], p.candidates[i]
}
func (p *candidateHeap) Push(x any) { p.candidates = append(p.candidates, x.(*candidate)) }
func (p *candidateHeap) Pop() any {
	last := p.candidates[len(p.candidates)-1]
	p.candidates = p.candidates[:len(p.candidates)-1]
	return last
}
