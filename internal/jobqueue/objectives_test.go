package jobqueue

import (
	"math/bits"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// allInTime reports whether all jobs meet their first objective if they are served by earliest deadline.
func allInTime(backlog time.Duration, jobs []WaitingJob) bool {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b WaitingJob) int { return int(a.Objectives[0] - b.Objectives[0]) })
	busy := backlog
	for _, job := range jobs {
		busy += job.ServiceTime
		if busy > job.Objectives[0] {
			return false
		}
	}
	return true
}

// mostInTime returns the largest number of jobs that can meet their first objective together. It tries
// all subsets of jobs.
func mostInTime(backlog time.Duration, jobs []WaitingJob) int {
	most := 0
	for set := range 1 << len(jobs) {
		chosen := filterJobs(jobs, func(i int) bool { return set>>i&1 == 1 })
		if allInTime(backlog, chosen) {
			most = max(most, bits.OnesCount(uint(set)))
		}
	}
	return most
}

// filterJobs returns the jobs at the indexes for which include returns true.
func filterJobs(jobs []WaitingJob, include func(i int) bool) []WaitingJob {
	var chosen []WaitingJob
	for i, job := range jobs {
		if include(i) {
			chosen = append(chosen, job)
		}
	}
	return chosen
}

func drawJobs(t *rapid.T) []WaitingJob {
	var jobs []WaitingJob
	for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
		jobs = append(jobs, WaitingJob{
			JobID:       strconv.Itoa(i),
			ServiceTime: time.Duration(rapid.IntRange(1, 8).Draw(t, "service time")),
			Objectives:  []time.Duration{time.Duration(rapid.IntRange(0, 25).Draw(t, "objective"))},
		})
	}
	return jobs
}

// TestAttainableObjectivesMatchExhaustiveSearch checks jobs with one objective each: AttainableObjectives
// must find as many jobs that can be in time as a search of all subsets, and these jobs must be in time
// if they are served by earliest deadline. If each job is given a second, later objective, at least as
// many jobs must get an objective as before, and none that is shorter than the job's service time.
func TestAttainableObjectivesMatchExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backlog := time.Duration(rapid.IntRange(0, 6).Draw(t, "backlog"))
		jobs := drawJobs(t)
		most := mostInTime(backlog, jobs)
		got, inTime := AttainableObjectives(backlog, jobs), 0
		for _, objective := range got {
			if objective == 0 {
				inTime++
			}
		}
		chosen := filterJobs(jobs, func(i int) bool { return got[jobs[i].JobID] == 0 })
		if len(got) != len(jobs) || inTime != most || !allInTime(backlog, chosen) {
			t.Fatalf("%d jobs of %v in time with objectives %v, want %d", inTime, jobs, got, most)
		}

		for i := range jobs {
			later := jobs[i].Objectives[0] + time.Duration(rapid.IntRange(1, 30).Draw(t, "later"))
			jobs[i].Objectives = append(jobs[i].Objectives, later)
		}
		kept := 0
		for jobID, objective := range AttainableObjectives(backlog, jobs) {
			job := jobs[slices.IndexFunc(jobs, func(j WaitingJob) bool { return j.JobID == jobID })]
			if objective == NoObjective {
				continue
			}
			kept++
			if job.Objectives[objective] < job.ServiceTime {
				t.Fatalf("%v got an objective that is shorter than its service time", job)
			}
		}
		if kept < inTime {
			t.Fatalf("%d jobs got an objective when each had a second one, %d when each had one", kept, inTime)
		}
	})
}
