package simulation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

const (
	// maxStartableWait is how long a job may wait while capacity for it is available, after all faults have ended.
	maxStartableWait = 90 * time.Second
	// minServedShare is the minimum share of the jobs of each class and team that must be served, and of the largest
	// jobs of each class that must start within maxLargestJobDelay.
	minServedShare = 0.5
	// largestJobsShare is the share of a class's jobs that count as its largest.
	largestJobsShare   = 0.2
	maxLargestJobDelay = 4 * time.Minute

	// resourceTolerance is the tolerance for rounding errors in sums of resources.
	resourceTolerance = 1e-6
)

// FreeCapacity is the free capacity of a usable machine.
type FreeCapacity struct {
	Placement
	Free record.Resources
}

// CheckStartableJobs checks that no job waits for longer than maxStartableWait while there is capacity for one of its
// tasks, or for the whole gang. Capacity counts if machine type, zone, spot, spread and the team's limit allow its use.
// Before all faults have ended, and for jobs with dependencies or a request to cancel, nothing is checked.
func (c *InvariantChecker) CheckStartableJobs(capacities []FreeCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultsEndedAt.IsZero() {
		return
	}
	now := time.Now()
	for id, job := range c.jobs {
		if !job.open() || job.cancelRequested || len(job.spec.Dependencies) > 0 || !c.canStart(job, capacities) {
			job.startableSince = time.Time{}
			continue
		}
		if job.startableSince.IsZero() {
			job.startableSince = now
		}
		if now.Sub(job.startableSince) > maxStartableWait {
			c.violation(RuleStartableJobWaits, "%s (%s, %d tasks) waits although capacity has been available for %v",
				id, job.spec.Kind, job.spec.TaskCount, now.Sub(job.startableSince))
			job.startableSince = now
		}
	}
}

// pendingTasks describes the pending tasks of a job, and the constraints on where they may start, some of which follow
// from the tasks that already run.
type pendingTasks struct {
	spec       *wire.JobSpec
	count      int
	minTasks   int            // number of tasks that must start together
	inZone     map[string]int // number of running tasks, by zone
	pinnedZone string         // the zone in which all tasks must start; empty: any
}

// pendingTasks returns the pending tasks of a job. Callers hold the lock.
func (c *InvariantChecker) pendingTasks(job *jobHistory) pendingTasks {
	spec := &job.spec
	pending := pendingTasks{spec: spec, minTasks: 1, inZone: map[string]int{}, pinnedZone: spec.Zone}
	if spec.Kind == wire.KindGang {
		pending.minTasks = spec.TaskCount
	}
	for i := range spec.TaskCount {
		placements := c.placements[record.TaskRef{JobID: spec.ID, Index: i}]
		if len(placements) == 0 && !job.completedTasks[i] {
			pending.count++
		}
		for _, placement := range placements {
			pending.inZone[placement.Zone]++
			if spec.SameZone {
				pending.pinnedZone = placement.Zone
			}
		}
	}
	return pending
}

// allowedOn reports whether the tasks may start on a machine, by its zone, type and price kind (spot or on demand).
func (t *pendingTasks) allowedOn(machine Placement) bool {
	return (t.pinnedZone == "" || machine.Zone == t.pinnedZone) && (!machine.Spot || t.spec.AllowSpot) &&
		(len(t.spec.MachineTypes) == 0 || slices.Contains(t.spec.MachineTypes, machine.MachineType))
}

// fitting returns the number of tasks that fit the free capacity, by zone. It stops counting in a zone at minTasks.
func (t *pendingTasks) fitting(capacities []FreeCapacity) map[string]int {
	need, fits := record.TaskResources(t.spec), map[string]int{}
	for _, capacity := range capacities {
		if !t.allowedOn(capacity.Placement) {
			continue
		}
		zone, free := capacity.Zone, capacity.Free
		for need.FitsIn(free) && fits[zone] < t.minTasks {
			if t.spec.Spread && t.inZone[zone]+fits[zone] >= maxSpreadPerZone(t.spec) {
				break
			}
			fits[zone]++
			free = free.Minus(need)
		}
	}
	return fits
}

// canStart reports whether a job has pending tasks and enough of them fit the free capacity and the team's limit.
// Callers hold the lock.
func (c *InvariantChecker) canStart(job *jobHistory, capacities []FreeCapacity) bool {
	pending := c.pendingTasks(job)
	if pending.count == 0 || pending.count < pending.minTasks || !c.withinTeamLimit(&job.spec, pending.minTasks) {
		return false
	}
	total := 0
	for _, count := range pending.fitting(capacities) {
		if job.spec.SameZone && count >= pending.minTasks {
			return true
		}
		total += count
	}
	return !job.spec.SameZone && total >= pending.minTasks
}

// exceeds reports whether a usage of resources exceeds a team's limits.
func exceeds(team config.Team, usage record.Resources) bool {
	return team.GPUsMax > 0 && usage.GPUs > team.GPUsMax+resourceTolerance ||
		team.CPUsMax > 0 && usage.CPUs > team.CPUsMax+resourceTolerance
}

// withinTeamLimit reports whether the team's limits allow a number of additional tasks of a job. Callers hold the lock.
func (c *InvariantChecker) withinTeamLimit(spec *wire.JobSpec, tasks int) bool {
	usage := c.teamUsage(spec.Team).PlusTimes(record.TaskResources(spec), float64(tasks))
	return !slices.ContainsFunc(c.settings.Deployment.Teams, func(team config.Team) bool {
		return team.Name == spec.Team && exceeds(team, usage)
	})
}

// checkTeamLimit checks that a team's running tasks are within its limits. Callers hold the lock.
func (c *InvariantChecker) checkTeamLimit(name string) {
	usage := c.teamUsage(name)
	for _, team := range c.settings.Deployment.Teams {
		if team.Name == name && exceeds(team, usage) {
			c.violation(RuleTeamLimit, "%s uses %+v", name, usage)
		}
	}
}

// teamUsage returns the resources that a team's running tasks use. Callers hold the lock.
func (c *InvariantChecker) teamUsage(team string) record.Resources {
	var usage record.Resources
	for task, machines := range c.placements {
		if spec := &c.jobs[task.JobID].spec; spec.Team == team {
			usage = usage.PlusTimes(record.TaskResources(spec), float64(len(machines)))
		}
	}
	return usage
}

// TeamLimitReached reports whether there is an open, incomplete job without a request to cancel whose team's limits
// don't allow one more of its tasks.
func (c *InvariantChecker) TeamLimitReached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.open() && !job.cancelRequested && !job.complete() && !c.withinTeamLimit(&job.spec, 1) {
			return true
		}
	}
	return false
}

// servedShares counts jobs and served jobs by group, such as a class or a team.
type servedShares map[string]*servedCount

type servedCount struct{ jobs, served int }

func (s servedShares) add(group string, served bool) {
	if s[group] == nil {
		s[group] = &servedCount{}
	}
	s[group].jobs++
	if served {
		s[group].served++
	}
}

// CheckServedShares checks that at least half of the jobs of each class and team have been served, and that at least
// half of the largest jobs of each class started within maxLargestJobDelay. Jobs that were not accepted, that a user
// has requested to cancel, or whose dependencies may end without being done, don't count.
func (c *InvariantChecker) CheckServedShares() {
	c.mu.Lock()
	defer c.mu.Unlock()
	shares, classes := servedShares{}, map[string][]*jobHistory{}
	for id, job := range c.jobs {
		if !job.accepted || job.cancelRequested || c.mayBeDependencyCancelled(id) {
			continue
		}
		class := job.spec.Class
		shares.add("class "+class, job.served())
		shares.add("team "+job.spec.Team, job.served())
		classes[class] = append(classes[class], job)
	}
	for class, jobs := range classes {
		for _, job := range largestJobs(jobs) {
			delay := job.firstStartAt.Sub(job.submittedAt)
			shares.add("the largest of class "+class, !job.firstStartAt.IsZero() && delay <= maxLargestJobDelay)
		}
	}
	for group, count := range shares {
		if float64(count.served) < minServedShare*float64(count.jobs) {
			c.violation(RuleMinimumShare, "%d of %d of %s served", count.served, count.jobs, group)
		}
	}
}

// largestJobs returns the largestJobsShare of the jobs that have the most tasks. It sorts jobs by the number of tasks.
func largestJobs(jobs []*jobHistory) []*jobHistory {
	slices.SortFunc(jobs, func(a, b *jobHistory) int { return cmp.Compare(b.spec.TaskCount, a.spec.TaskCount) })
	return jobs[:int(math.Ceil(largestJobsShare*float64(len(jobs))))]
}
