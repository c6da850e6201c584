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
	// maxStartableWait is how long a job may wait beside capacity for it, all faults over.
	maxStartableWait = 90 * time.Second
	// minServedShare of each class's and team's jobs must be served, and of each class's largest jobs begin
	// within maxLargestJobDelay; largestJobsShare of a class's jobs count as its largest.
	minServedShare     = 0.5
	largestJobsShare   = 0.2
	maxLargestJobDelay = 4 * time.Minute

	// resourceTolerance is what sums of resources may be wrong by.
	resourceTolerance = 1e-6
)

// FreeCapacity is what is free on a machine that can be reached.
type FreeCapacity struct {
	Placement
	Free record.Resources
}

// CheckStartableJobs checks, once all faults are over, that no job waits for long though there is capacity
// for one of its tasks, or for a whole gang, by type, zone, kind, spread and the team's limit.
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
			c.violation(RuleLeftWaiting, "%s (%s, %d tasks) waits beside capacity for %v",
				id, job.spec.Kind, job.spec.TaskCount, now.Sub(job.startableSince))
			job.startableSince = now
		}
	}
}

// waitingTasks are the tasks of a job that could start, and what those that run already demand of them.
type waitingTasks struct {
	spec       *wire.JobSpec
	count      int
	minTasks   int            // that must start together
	inZone     map[string]int // tasks that run, by zone
	pinnedZone string         // where all must start; empty: anywhere
}

func (c *InvariantChecker) waitingTasks(job *jobHistory) waitingTasks {
	spec := &job.spec
	waiting := waitingTasks{spec: spec, minTasks: 1, inZone: map[string]int{}, pinnedZone: spec.Zone}
	if spec.Kind == wire.KindGang {
		waiting.minTasks = spec.TaskCount
	}
	for i := range spec.TaskCount {
		placements := c.placements[record.TaskRef{JobID: spec.ID, Index: i}]
		if len(placements) == 0 && !job.completedTasks[i] {
			waiting.count++
		}
		for _, placement := range placements {
			waiting.inZone[placement.Zone]++
			if spec.SameZone {
				waiting.pinnedZone = placement.Zone
			}
		}
	}
	return waiting
}

// allowedOn tells whether the tasks may start on a machine.
func (t *waitingTasks) allowedOn(machine Placement) bool {
	return (t.pinnedZone == "" || machine.Zone == t.pinnedZone) && (!machine.Spot || t.spec.AllowSpot) &&
		(len(t.spec.MachineTypes) == 0 || slices.Contains(t.spec.MachineTypes, machine.MachineType))
}

// fitting counts the tasks that could start, at most as many as must in each zone.
func (t *waitingTasks) fitting(capacities []FreeCapacity) map[string]int {
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

// canStart tells whether a job waits and some of it would fit. Callers hold the lock.
func (c *InvariantChecker) canStart(job *jobHistory, capacities []FreeCapacity) bool {
	waiting := c.waitingTasks(job)
	if waiting.count == 0 || waiting.count < waiting.minTasks || !c.withinTeamLimit(&job.spec, waiting.minTasks) {
		return false
	}
	total := 0
	for _, count := range waiting.fitting(capacities) {
		if job.spec.SameZone && count >= waiting.minTasks {
			return true
		}
		total += count
	}
	return !job.spec.SameZone && total >= waiting.minTasks
}

// exceeds tells whether a team's limit is exceeded by what its tasks take.
func exceeds(team config.Team, usage record.Resources) bool {
	return team.GPUsMax > 0 && usage.GPUs > team.GPUsMax+resourceTolerance ||
		team.CPUsMax > 0 && usage.CPUs > team.CPUsMax+resourceTolerance
}

// withinTeamLimit tells whether a team may run so many more tasks of a job. Callers hold the lock.
func (c *InvariantChecker) withinTeamLimit(spec *wire.JobSpec, tasks int) bool {
	usage := c.teamUsage(spec.Team).PlusTimes(record.TaskResources(spec), float64(tasks))
	return !slices.ContainsFunc(c.settings.Deployment.Teams, func(team config.Team) bool {
		return team.Name == spec.Team && exceeds(team, usage)
	})
}

func (c *InvariantChecker) checkTeamLimit(name string) {
	usage := c.teamUsage(name)
	for _, team := range c.settings.Deployment.Teams {
		if team.Name == name && exceeds(team, usage) {
			c.violation(RuleQuota, "%s uses %+v", name, usage)
		}
	}
}

// teamUsage is what a team's tasks take. Callers hold the lock.
func (c *InvariantChecker) teamUsage(team string) record.Resources {
	var usage record.Resources
	for task, machines := range c.placements {
		if spec := &c.jobs[task.JobID].spec; spec.Team == team {
			usage = usage.PlusTimes(record.TaskResources(spec), float64(len(machines)))
		}
	}
	return usage
}

// TeamLimitReached tells whether some task waits that only its team's limit keeps from starting.
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

// servedShares counts the jobs of groups, and those of them that were served.
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

// CheckServedShares checks that of each class's and team's jobs at least half were served by now, and that
// of each class's largest jobs at least half began in time. Jobs whose users cancelled them don't count.
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

// largestJobs gives the jobs with the most tasks, and sorts all by their number.
func largestJobs(jobs []*jobHistory) []*jobHistory {
	slices.SortFunc(jobs, func(a, b *jobHistory) int { return cmp.Compare(b.spec.TaskCount, a.spec.TaskCount) })
	return jobs[:int(math.Ceil(largestJobsShare*float64(len(jobs))))]
}
