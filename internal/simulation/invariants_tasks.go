package simulation

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Placement is where a task runs.
type Placement struct {
	Machine     string
	MachineType string
	Zone        string
	Spot        bool
}

// TaskStarted records that a task is on a machine from now on.
func (c *InvariantChecker) TaskStarted(task record.TaskRef, placement Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.JobID]
	if job == nil {
		c.violation(RuleInvented, "%s runs", task)
		return
	}
	c.TaskStarts++
	if job.firstStartAt.IsZero() {
		job.firstStartAt = time.Now()
	}
	c.checkStart(job, task, placement.Machine)
	if c.placements[task] == nil {
		c.placements[task] = map[string]Placement{}
	}
	c.placements[task][placement.Machine] = placement
	c.checkPlacement(&job.spec, task, placement)
	c.checkZones(&job.spec, placement)
	c.checkTeamLimit(job.spec.Team)
	c.checkCancelledTasks()
}

// checkStart checks that a task may start now.
func (c *InvariantChecker) checkStart(job *jobHistory, task record.TaskRef, machine string) {
	if !job.cancelledAt.IsZero() {
		c.violation(RuleRanCancelled, "%s starts %v after its user was told", task, time.Since(job.cancelledAt))
	}
	for _, id := range job.spec.Dependencies {
		if dependency := c.jobs[id]; dependency == nil || !dependency.complete() {
			c.violation(RuleTooEarly, "%s before %s is done", task, id)
		}
	}
	for other := range c.placements[task] {
		if other != machine {
			c.violation(RuleRanTwice, "%s on %s and %s", task, other, machine)
		}
	}
}

// checkPlacement checks that a machine is one on which a task may run.
func (c *InvariantChecker) checkPlacement(spec *wire.JobSpec, task record.TaskRef, placement Placement) {
	if spec.Zone != "" && spec.Zone != placement.Zone || placement.Spot && !spec.AllowSpot {
		c.violation(RuleWrongPlace, "%s on %+v", task, placement)
	}
	if len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, placement.MachineType) {
		c.violation(RuleWrongPlace, "%s on type %s", task, placement.MachineType)
	}
}

// checkZones checks that a job's tasks lie together, or apart, as it says.
func (c *InvariantChecker) checkZones(spec *wire.JobSpec, placement Placement) {
	inZone := 0
	for i := range spec.TaskCount {
		for _, other := range c.placements[record.TaskRef{JobID: spec.ID, Index: i}] {
			if other.Zone == placement.Zone {
				inZone++
			} else if spec.SameZone {
				c.violation(RuleWrongPlace, "%s: tasks in %s and %s", spec.ID, other.Zone, placement.Zone)
			}
		}
	}
	if spec.Spread && inZone > maxSpreadPerZone(spec) {
		c.violation(RuleWrongPlace, "%s: %d of %d in %s", spec.ID, inZone, spec.TaskCount, placement.Zone)
	}
}

// maxSpreadPerZone is how many tasks of a job that is spread may be in one zone.
func maxSpreadPerZone(spec *wire.JobSpec) int { return (spec.TaskCount + 1) / 2 }

// checkCancelledTasks checks that no task runs for too long after its job's cancellation was confirmed.
func (c *InvariantChecker) checkCancelledTasks() {
	for task, machines := range c.placements {
		cancelledAt := c.jobs[task.JobID].cancelledAt
		if len(machines) > 0 && !cancelledAt.IsZero() && time.Since(cancelledAt) > c.settings.CancelDeadline() {
			c.violation(RuleRanCancelled, "%s: %v after", task, time.Since(cancelledAt))
		}
	}
}

// CheckDeadlines checks what is broken by the passing of time alone.
func (c *InvariantChecker) CheckDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkCancelledTasks()
}

// TaskLeft records that a task has left a machine.
func (c *InvariantChecker) TaskLeft(task record.TaskRef, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.placements[task], machine)
}

// TaskCompleted records that a task has completed.
func (c *InvariantChecker) TaskCompleted(task record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[task.JobID].completedTasks[task.Index] = true
}

// TaskIsDone tells whether a task has completed.
func (c *InvariantChecker) TaskIsDone(task record.TaskRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[task.JobID].completedTasks[task.Index]
}

// TaskFailed records that a task has failed by itself.
func (c *InvariantChecker) TaskFailed(task record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[task.JobID].failures[task.Index]++
}

// FailureAcknowledged records that a controller has acknowledged a task's failure: it must have counted
// a retry.
func (c *InvariantChecker) FailureAcknowledged(task record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.JobID]
	job.acknowledgedFailures[task.Index]++
	failures := job.acknowledgedFailures[task.Index]
	if limit, ok := c.retryLimit(&job.spec); ok && failures > limit+1 {
		c.violation(RuleRetries, "%s failed %d times, %d retries allowed", task, failures, limit)
	}
}

// MachinesOfJob lists the machines that a job's tasks are on, in order.
func (c *InvariantChecker) MachinesOfJob(jobID string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]bool{}
	for task, machines := range c.placements {
		for machine := range machines {
			if task.JobID == jobID {
				found[machine] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}
