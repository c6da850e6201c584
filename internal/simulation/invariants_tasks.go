package simulation

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Placement is the machine on which a task runs.
type Placement struct {
	Machine     string
	MachineType string
	Zone        string
	Spot        bool
}

// TaskStarted records that a task has started on a machine, and checks that it was allowed to.
func (c *InvariantChecker) TaskStarted(task record.TaskRef, placement Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.JobID]
	if job == nil {
		c.violation(RuleUnsubmittedJob, "%s: task of an unknown job started", task)
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

// checkStart checks that a task may start now: its job is not cancelled, its dependencies are done, and the task runs
// on no other machine. Callers hold the lock.
func (c *InvariantChecker) checkStart(job *jobHistory, task record.TaskRef, machine string) {
	if !job.cancelledAt.IsZero() {
		c.violation(RuleRanAfterCancellation, "%s started %v after its cancellation was confirmed",
			task, time.Since(job.cancelledAt))
	}
	for _, id := range job.spec.Dependencies {
		if dependency := c.jobs[id]; dependency == nil || !dependency.complete() {
			c.violation(RuleStartedBeforeDependency, "%s before %s is done", task, id)
		}
	}
	for other := range c.placements[task] {
		if other != machine {
			c.violation(RuleRanTwice, "%s on %s and %s", task, other, machine)
		}
	}
}

// checkPlacement checks that the job's spec allows its tasks on a machine. Callers hold the lock.
func (c *InvariantChecker) checkPlacement(spec *wire.JobSpec, task record.TaskRef, placement Placement) {
	if spec.Zone != "" && spec.Zone != placement.Zone || placement.Spot && !spec.AllowSpot {
		c.violation(RuleWrongPlace, "%s on %+v", task, placement)
	}
	if len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, placement.MachineType) {
		c.violation(RuleWrongPlace, "%s on type %s", task, placement.MachineType)
	}
}

// checkZones checks that a job's tasks are in one zone, or spread over zones, if the job's spec requires that. Callers
// hold the lock.
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

// maxSpreadPerZone returns how many tasks of a job with spread may run in one zone.
func maxSpreadPerZone(spec *wire.JobSpec) int { return (spec.TaskCount + 1) / 2 }

// checkCancelledTasks checks that no task runs later than the cancel deadline after the cancellation of its job was
// confirmed. Callers hold the lock.
func (c *InvariantChecker) checkCancelledTasks() {
	for task, machines := range c.placements {
		cancelledAt := c.jobs[task.JobID].cancelledAt
		if len(machines) > 0 && !cancelledAt.IsZero() && time.Since(cancelledAt) > c.settings.CancelDeadline() {
			c.violation(RuleRanAfterCancellation, "%s runs %v after its cancellation was confirmed",
				task, time.Since(cancelledAt))
		}
	}
}

// CheckDeadlines checks the rules that are broken when time passes without any event.
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

// TaskIsDone reports whether a task has completed. Its job must have been submitted.
func (c *InvariantChecker) TaskIsDone(task record.TaskRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[task.JobID].completedTasks[task.Index]
}

// TaskFailed records that a task's program has failed.
func (c *InvariantChecker) TaskFailed(task record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[task.JobID].failures[task.Index]++
}

// FailureAcknowledged records that a controller has acknowledged a task's failure, and checks that the failures don't
// exceed the retry limit. A controller must count each failure that it acknowledges.
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

// MachinesOfJob returns the machines on which a job's tasks run, sorted by name.
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
