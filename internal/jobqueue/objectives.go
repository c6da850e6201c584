package jobqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// NoObjective is the result of AttainableObjectives for a job that can meet none of its objectives.
const NoObjective = -1

// WaitingJob is a waiting job as input of AttainableObjectives.
type WaitingJob struct {
	JobID string
	// ServiceTime is the time for which the tasks that the job has yet to start would occupy the
	// whole capacity.
	ServiceTime time.Duration
	// TaskRunTime is the run time of one task. The job takes at least that long, whatever capacity
	// there is.
	TaskRunTime time.Duration
	// Objectives are the times, relative to now, by which the job should have ended, earliest first.
	Objectives []time.Duration
}

// AttainableObjectives returns, by job ID, the index of the objective that each job can meet with the
// present capacity, or NoObjective. Running tasks occupy the capacity for the duration backlog. The
// result does not depend on the order of jobs. The running time is O(m n log n) for n jobs with m
// objectives each.
//
// If a burst of jobs coincides with a loss of machines, more work waits than can be completed in
// time. Scheduling by earliest deadline alone would then make all jobs late, because each job uses
// capacity that the next one needs. Instead the number of late jobs is minimized with the
// Moore-Hodgson algorithm: jobs are admitted by deadline, and whenever one would be late, the
// admitted job with the longest service time is removed and considered for its next objective, or
// gets NoObjective if it has no further one. See Moore, "An n job, one machine sequencing algorithm
// for minimizing the number of late jobs", Management Science 15, 1968.
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

// sequencer is the state of one call of AttainableObjectives.
type sequencer struct {
	byDeadline *candidateHeap // jobs not admitted yet, earliest deadline first
	admitted   *candidateHeap // admitted jobs, longest service time first
	attained   map[string]int // index of the attainable objective by job ID, or NoObjective
}

func newSequencer(jobs int) *sequencer {
	return &sequencer{
		byDeadline: &candidateHeap{compare: compareDeadlines},
		admitted:   &candidateHeap{compare: compareServiceTimes},
		attained:   make(map[string]int, jobs),
	}
}

// enqueue adds a job to byDeadline with the first objective, starting at its current one, that it
// could meet if it had the whole capacity to itself. If there is none, the job gets NoObjective.
func (s *sequencer) enqueue(c *candidate) {
	for ; c.objective < len(c.Objectives); c.objective++ {
		if c.deadline() >= max(c.TaskRunTime, c.ServiceTime) {
			s.byDeadline.push(c)
			return
		}
	}
	s.attained[c.JobID] = NoObjective
}

// candidate is a job together with the objective that is being considered for it.
type candidate struct {
	*WaitingJob
	objective int // index into Objectives
}

// deadline returns the time, relative to now, of the considered objective.
func (c *candidate) deadline() time.Duration { return c.Objectives[c.objective] }

// compareDeadlines orders candidates by deadline, earliest first, and equal ones by service time,
// shortest first.
func compareDeadlines(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.deadline(), b.deadline()),
		cmp.Compare(a.ServiceTime, b.ServiceTime),
		cmp.Compare(a.JobID, b.JobID),
	)
}

// compareServiceTimes orders candidates by service time, longest first.
func compareServiceTimes(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.ServiceTime, a.ServiceTime), cmp.Compare(a.JobID, b.JobID))
}

// candidateHeap is a heap of candidates. The first candidate in the order of compare is on top.
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
