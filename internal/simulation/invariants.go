package simulation

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// InvariantChecker watches agents and users from outside and records each violation of a rule. It is safe
// for concurrent use; its exported fields are read once the day is over.
type InvariantChecker struct {
	// RetryLimits holds the retries that classes allow; set before the first job.
	RetryLimits map[string]int

	mu       sync.Mutex // guards all that follows
	settings *config.Settings
	// Violations are those found so far.
	Violations Violations
	// Observed counts how often a fault met the state that it is meant to meet.
	Observed map[Observation]int
	// TaskStarts counts the tasks that began to run.
	TaskStarts    int
	jobs          map[string]*jobHistory
	placements    map[record.TaskRef]map[string]Placement // where tasks are, by machine
	recentQueries []query                                 // oldest first
	faultsEndedAt time.Time                               // zero: there are still faults
}

// NewInvariantChecker makes a checker of a deployment.
func NewInvariantChecker(settings *config.Settings) *InvariantChecker {
	return &InvariantChecker{
		settings:   settings,
		jobs:       map[string]*jobHistory{},
		placements: map[record.TaskRef]map[string]Placement{},
		Observed:   map[Observation]int{},
	}
}

// violation records a violation. Callers hold the lock.
func (c *InvariantChecker) violation(rule Rule, format string, arguments ...any) {
	c.Violations = append(c.Violations, Violation{rule, fmt.Sprintf(format, arguments...)})
}

// AddViolation records a violation that was found outside.
func (c *InvariantChecker) AddViolation(rule Rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation(rule, "%s", detail)
}

// Observe records that a fault has met so many times what it is meant to meet.
func (c *InvariantChecker) Observe(observation Observation, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Observed[observation] += count
}

// FaultsEnded records that there are no faults from now on.
func (c *InvariantChecker) FaultsEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsEndedAt = time.Now()
}

// JobSubmitted records a job that a user is about to submit.
func (c *InvariantChecker) JobSubmitted(spec wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = newJobHistory(spec)
}

// InvalidJobSubmitted records a submission that must not be accepted, and why.
func (c *InvariantChecker) InvalidJobSubmitted(spec wire.JobSpec, reason string) {
	c.JobSubmitted(spec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID].mustRejectReason = reason
}

// JobSpec gives a job's description as its user submitted it.
func (c *InvariantChecker) JobSpec(jobID string) (spec wire.JobSpec, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[jobID]
	if job == nil {
		return wire.JobSpec{}, false
	}
	return job.spec, true
}

// JobCompleted tells whether all tasks of a job have completed.
func (c *InvariantChecker) JobCompleted(jobID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[jobID].complete()
}

// OpenJobs lists the accepted jobs whose users were told no final state yet, in order.
func (c *InvariantChecker) OpenJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobsWhere((*jobHistory).open)
}

// DoneJobs lists the jobs whose users were told that they are done, in order.
func (c *InvariantChecker) DoneJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobsWhere(func(job *jobHistory) bool { return job.finalState == wire.JobDone })
}

// RunningJobs lists the open jobs with a task on a machine that nobody has asked to cancel, in order.
func (c *InvariantChecker) RunningJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := map[string]bool{}
	for task, machines := range c.placements {
		if len(machines) > 0 {
			running[task.JobID] = true
		}
	}
	return c.jobsWhere(func(job *jobHistory) bool {
		return running[job.spec.ID] && job.open() && !job.cancelRequested
	})
}

// AllAccepted tells whether all these jobs were accepted.
func (c *InvariantChecker) AllAccepted(jobIDs []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range jobIDs {
		if job := c.jobs[id]; job == nil || !job.accepted {
			return false
		}
	}
	return true
}

// UnfinishedJobs describes the open jobs, services aside.
func (c *InvariantChecker) UnfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, job := range c.jobs {
		if job.open() && job.spec.Kind != wire.KindService {
			out = append(out, fmt.Sprintf("%s (%s, %d of %d done)",
				id, job.spec.Kind, len(job.completedTasks), job.spec.TaskCount))
		}
	}
	return out
}

// EndedJobs counts the jobs by the final state that their users were told, and those of them that were
// done though a task had failed before.
func (c *InvariantChecker) EndedJobs() (byState map[wire.JobState]int, retried int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byState = map[wire.JobState]int{}
	for _, job := range c.jobs {
		byState[job.finalState]++
		if job.finalState == wire.JobDone && len(job.failures) > 0 {
			retried++
		}
	}
	return byState, retried
}

// jobsWhere lists the matching jobs in order. Callers hold the lock.
func (c *InvariantChecker) jobsWhere(matches func(*jobHistory) bool) (ids []string) {
	for id, job := range c.jobs {
		if matches(job) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
