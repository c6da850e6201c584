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

// InvariantChecker observes agents and users from outside and records each violation of a rule. Its methods are safe
// for concurrent use. Its exported fields may only be read after the simulation run.
type InvariantChecker struct {
	// RetryLimits is the maximum number of retries per class. It must be set before the first job is submitted.
	RetryLimits map[string]int

	mu       sync.Mutex // guards the fields below
	settings *config.Settings
	// Violations are the violations found so far.
	Violations Violations
	// Observed counts how often each observation was made.
	Observed map[Observation]int
	// TaskStarts counts the starts of tasks on machines.
	TaskStarts    int
	jobs          map[string]*jobHistory
	placements    map[record.TaskRef]map[string]Placement // by task and machine
	recentQueries []query                                 // oldest first
	faultsEndedAt time.Time                               // zero: faults may still occur
}

// NewInvariantChecker returns a checker for a deployment with the given settings.
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

// AddViolation records a violation that the caller found.
func (c *InvariantChecker) AddViolation(rule Rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation(rule, "%s", detail)
}

// Observe adds a count to an observation.
func (c *InvariantChecker) Observe(observation Observation, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Observed[observation] += count
}

// FaultsEnded records that no fault occurs from now on.
func (c *InvariantChecker) FaultsEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsEndedAt = time.Now()
}

// JobSubmitted records a job before its user submits it.
func (c *InvariantChecker) JobSubmitted(spec wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = newJobHistory(spec)
}

// InvalidJobSubmitted records a job that the deployment must reject, before its user submits it, and the reason.
func (c *InvariantChecker) InvalidJobSubmitted(spec wire.JobSpec, reason string) {
	c.JobSubmitted(spec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID].mustRejectReason = reason
}

// JobSpec returns the spec of a submitted job; ok is false if the job is unknown.
func (c *InvariantChecker) JobSpec(jobID string) (spec wire.JobSpec, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[jobID]
	if job == nil {
		return wire.JobSpec{}, false
	}
	return job.spec, true
}

// JobCompleted reports whether all tasks of a job have completed. The job must have been submitted.
func (c *InvariantChecker) JobCompleted(jobID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[jobID].complete()
}

// OpenJobs returns the IDs of the accepted jobs whose users have not received a final state yet, sorted.
func (c *InvariantChecker) OpenJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobsWhere((*jobHistory).open)
}

// DoneJobs returns the IDs of the jobs whose users received the state done, sorted.
func (c *InvariantChecker) DoneJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobsWhere(func(job *jobHistory) bool { return job.finalState == wire.JobDone })
}

// RunningJobs returns the IDs of the open jobs that have a task on a machine and no request to cancel, sorted.
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

// AllAccepted reports whether all given jobs were accepted.
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

// UnfinishedJobs returns descriptions of the open jobs, except services.
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

// EndedJobs returns the number of jobs by the final state that their users received (empty for jobs without one), and
// the number of done jobs in which a task had failed before.
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

// jobsWhere returns the sorted IDs of the matching jobs. Callers hold the lock.
func (c *InvariantChecker) jobsWhere(matches func(*jobHistory) bool) (ids []string) {
	for id, job := range c.jobs {
		if matches(job) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
