package jobqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// NoObjective stands in the result of AttainableObjectives for a job that can meet none.
const NoObjective = -1

// WaitingJob is what AttainableObjectives knows of a waiting job.
type WaitingJob struct {
	JobID string
	// ServiceTime is how long the whole capacity would be busy with the tasks that the job still
	// has to start.
	ServiceTime time.Duration
	// TaskRunTime is how long one of its tasks runs: no capacity makes the job shorter.
	TaskRunTime time.Duration
	// Objectives are the times from now by which the job should be over, earliest first.
	Objectives []time.Duration
}

// AttainableObjectives returns for each job, by ID, the index of the objective that it can meet
// with the capacity there is, or NoObjective. The capacity is busy with running tasks for the time
// backlog. The order of jobs does not matter; the cost is n log n times the number of objectives.
//
// When a burst meets a loss of machines, more work waits than can be served in time. Served by
// earliest deadline alone, each job would take the capacity that the next one needed and all would
// be late. So the number of late jobs is minimized: jobs are admitted by deadline, and whenever one
// would be late, the admitted job with the longest service time is put off to its next objective,
// or given up if it has none (Moore, "An n job, one machine sequencing algorithm for minimizing the
// number of late jobs", Management Science 15, 1968, in Hodgson's form).
func AttainableObjectives(backlog time.Duration, jobs []WaitingJob) map[string]int {
	s := newSequencer(len(jobs))
	for i := range jobs {
		s.enqueue(&candidate{WaitingJob: &jobs[i]})
	}
	busy := backlog
	for s.byDeadline.Len() > 0 {
		next := s.byDeadline.pop()
		s.admitted.push(next)
		s.attained[next.JobID] = next.objective
		busy += next.ServiceTime
		if busy > next.deadline() {
			late := s.admitted.pop()
			busy -= late.ServiceTime
			late.objective++
			s.enqueue(late)
		}
	}
	return s.attained
}

// sequencer is the state of one run of the algorithm.
type sequencer struct {
	byDeadline *candidateHeap // not admitted yet, earliest deadline first
	admitted   *candidateHeap // longest service time first
	attained   map[string]int // index of the objective by job
}

func newSequencer(jobs int) *sequencer {
	return &sequencer{
		byDeadline: &candidateHeap{compare: compareDeadlines},
		admitted:   &candidateHeap{compare: compareServiceTimes},
		attained:   make(map[string]int, jobs),
	}
}

// enqueue puts a job up for the first objective, from its present one on, that it could meet if it
// had the whole capacity to itself.
func (s *sequencer) enqueue(c *candidate) {
	for ; c.objective < len(c.Objectives); c.objective++ {
		if c.deadline() >= max(c.TaskRunTime, c.ServiceTime) {
			s.byDeadline.push(c)
			return
		}
	}
	s.attained[c.JobID] = NoObjective
}

// candidate is a job together with the objective that it is up for.
type candidate struct {
	*WaitingJob
	objective int // index into Objectives
}

func (c *candidate) deadline() time.Duration { return c.Objectives[c.objective] }

// compareDeadlines orders by deadline, then by service time, shorter first.
func compareDeadlines(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.deadline(), b.deadline()),
		cmp.Compare(a.ServiceTime, b.ServiceTime),
		cmp.Compare(a.JobID, b.JobID),
	)
}

// compareServiceTimes orders by service time, longer first.
func compareServiceTimes(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.ServiceTime, a.ServiceTime), cmp.Compare(a.JobID, b.JobID))
}

// candidateHeap is a heap of candidates, the first by compare on top.
type candidateHeap struct {
	candidates []*candidate
	compare    func(a, b *candidate) int
}

func (h *candidateHeap) push(c *candidate) { heap.Push(h, c) }

func (h *candidateHeap) pop() *candidate {
	top := h.candidates[0]
	heap.Pop(h)
	return top
}

// Len implements heap.Interface.
func (h *candidateHeap) Len() int { return len(h.candidates) }

// Less implements heap.Interface.
func (h *candidateHeap) Less(i, j int) bool { return h.compare(h.candidates[i], h.candidates[j]) < 0 }

// Swap implements heap.Interface.
func (h *candidateHeap) Swap(i, j int) {
	h.candidates[i], h.candidates[j] = h.candidates[j], h.candidates[i]
}

// Push implements heap.Interface; callers use push.
func (h *candidateHeap) Push(x any) { h.candidates = append(h.candidates, x.(*candidate)) }

// Pop implements heap.Interface; callers use pop.
func (h *candidateHeap) Pop() any {
	last := len(h.candidates) - 1
	c := h.candidates[last]
	h.candidates = h.candidates[:last]
	return c
}
