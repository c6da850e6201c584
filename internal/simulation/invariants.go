package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Placement is where a task stands.
type Placement struct {
	Machine, Type, Zone string
	Spot                bool
}

// InvariantChecker watches workers and users and notes every broken rule.
type InvariantChecker struct {
	mu            sync.Mutex
	settings      *config.Settings
	jobs          map[string]*jobHistory
	placements    map[record.TaskRef]map[string]Placement
	Violations    []string
	TaskStarts    int
	faultsEndedAt time.Time // when all troubles are over; zero: not yet told
	recentQueries []query
	// Observed counts how often a trouble met the state that it is for.
	Observed map[string]int
	// RetryLimits holds the repeats that classes allow.
	RetryLimits map[string]int
}

// jobHistory is what is known of a job from outside the service.
type jobHistory struct {
	spec           wire.JobSpec
	completedTasks map[int]bool
	saved          map[int]float64
	accepted       bool
	// acceptedAt is when the first answer arrived by which it is accepted, toldAt the first final state.
	acceptedAt           time.Time
	finalStateAt         time.Time
	mustRejectReason     string    // why it must not be accepted
	startableSince       time.Time // since when it waits beside room that fits, all troubles over
	submittedAt          time.Time
	cancelRequested      bool // its user asked to cancel it
	cancelRequestedAt    time.Time
	cancelledAt          time.Time
	finalState           wire.JobState // the last final state told
	failures             map[int]int   // failures of tasks of their own
	acknowledgedFailures map[int]int   // those of them that the service has acknowledged
	unansweredSince      time.Time     // since when no question about it was answered; zero: the last one was
	firstStartAt         time.Time     // when its first task was on a machine
}

// query is one that users asked.
type query struct {
	receivedAt time.Time
	answered   bool
}

// How long no question about a job may be answered: once all troubles are over, whatever
// others are told, and at any time while most others are answered; and by when the largest
// jobs of a class have begun, half of them at least. As the operators' pages say.
const (
	maxUnansweredAfterFaults = 75 * time.Second
	maxUnansweredAlone       = 90 * time.Second
	maxLargestJobDelay       = 4 * time.Minute
	largestJobsShare         = 0.2 // of a class's jobs count as its largest
	minServedShare           = 0.5
)

// NewInvariantChecker makes an oracle for a region.
func NewInvariantChecker(set *config.Settings) *InvariantChecker {
	return &InvariantChecker{settings: set, jobs: map[string]*jobHistory{}, placements: map[record.TaskRef]map[string]Placement{}, Observed: map[string]int{}}
}

func (c *InvariantChecker) violation(rule, format string, a ...any) {
	c.Violations = append(c.Violations, rule+": "+fmt.Sprintf(format, a...))
}

// AddViolation adds a fault that is not one of the rules.
func (c *InvariantChecker) AddViolation(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Violations = append(c.Violations, what)
}

// JobSubmitted notes a job that a user is about to submit.
func (c *InvariantChecker) JobSubmitted(s wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[s.ID] = &jobHistory{spec: s, completedTasks: map[int]bool{}, saved: map[int]float64{}, submittedAt: time.Now(), failures: map[int]int{}, acknowledgedFailures: map[int]int{}}
}

// Observe notes that a trouble has met what it is for.
func (c *InvariantChecker) Observe(what string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Observed[what] += n
}

// InvalidJobSubmitted notes a submission that must not be accepted, and why.
func (c *InvariantChecker) InvalidJobSubmitted(s wire.JobSpec, why string) {
	c.JobSubmitted(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[s.ID].mustRejectReason = why
}

// AnswerReceived notes what a user was told about a job by a question that came after every other answer.
func (c *InvariantChecker) AnswerReceived(id string, status int, state wire.JobState) {
	c.AnswerReceivedTo(id, time.Now(), status, state)
}

// AnswerReceivedTo notes what a user was told about a job by a question sent at some time: status 201 or 200
// with a state, 404, 400 or 422. Others tell nothing. Over all nodes together, a question that was sent
// after an answer had arrived must not be answered by anything older.
func (c *InvariantChecker) AnswerReceivedTo(id string, sentAt time.Time, status int, state wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		if status == 200 || status == 201 {
			c.violation("invented", "%s", id)
		}
		return
	}
	c.recordQuery(job, status)
	switch status {
	case 404, 400, 422:
		if job.accepted && !sentAt.Before(job.acceptedAt) {
			c.violation("forgotten", "%s: answered %d", id, status)
		}
		return
	case 200, 201:
	default:
		return
	}
	if job.mustRejectReason != "" {
		c.violation("accepted", "%s, though %s", id, job.mustRejectReason)
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, time.Now()
	}
	final := state == wire.JobDone || state == wire.JobCancelled || state == wire.JobFailed
	if state == wire.JobDone && len(job.completedTasks) < job.spec.TaskCount {
		c.violation("not_done", "%s: %d of %d", id, len(job.completedTasks), job.spec.TaskCount)
	}
	if job.finalState != "" && state != job.finalState && (final || !sentAt.Before(job.finalStateAt)) {
		c.violation("went_back", "%s: was %s, then %s", id, job.finalState, state)
	}
	if state == wire.JobFailed && !c.mayFail(job) {
		c.violation("failed", "%s: failures %v", id, job.failures)
	}
	if state == wire.JobCancelled && !job.cancelRequested && !c.mayBeDependencyCancelled(id) {
		c.violation("went_back", "%s: cancelled without its user", id)
	}
	if by := c.dependencyCancelledAt(id); (state == wire.JobPending || state == wire.JobRunning) && !by.IsZero() && time.Since(by) > c.settings.Cancel() {
		c.violation("orphaned", "%s: called %s %v after one that it needs was cancelled", id, state, time.Since(by))
	}
	if final && job.finalState == "" {
		job.finalState, job.finalStateAt = state, time.Now()
	}
	if (state == wire.JobCancelled || state == wire.JobFailed) && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
	}
}

// FaultsEnded tells that all troubles are over.
func (c *InvariantChecker) FaultsEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsEndedAt = time.Now()
}

// recordQuery notes whether a question about a job was answered. A submission that was never accepted is
// nobody's to remember.
func (c *InvariantChecker) recordQuery(job *jobHistory, status int) {
	now, answered := time.Now(), status == 200 || status == 201 || status == 400 || status == 404 || status == 422
	c.recentQueries = append(c.recentQueries, query{now, answered})
	for now.Sub(c.recentQueries[0].receivedAt) > maxUnansweredAlone {
		c.recentQueries = c.recentQueries[1:]
	}
	if answered {
		job.unansweredSince = time.Time{}
		return
	}
	if !job.accepted {
		return
	}
	if job.unansweredSince.IsZero() {
		job.unansweredSince = now
	}
	unanswered := job.unansweredSince
	if c.faultsEndedAt.After(unanswered) {
		unanswered = c.faultsEndedAt
	}
	others := 0
	for _, q := range c.recentQueries {
		if q.answered {
			others++
		}
	}
	switch {
	case !c.faultsEndedAt.IsZero() && now.Sub(unanswered) > maxUnansweredAfterFaults:
		c.violation("forgotten", "%s: no question answered for %v, all troubles over", job.spec.ID, now.Sub(unanswered))
	case now.Sub(job.unansweredSince) > maxUnansweredAlone && 2*others > len(c.recentQueries):
		c.violation("forgotten", "%s: no question answered for %v, %d of %d others were", job.spec.ID, now.Sub(job.unansweredSince), others, len(c.recentQueries))
	}
}

// CheckServedShares notes each class and team of which less than half was served by now, and each class of whose
// largest jobs less than half began in time. Jobs whose users cancelled them don't count.
func (c *InvariantChecker) CheckServedShares() {
	c.mu.Lock()
	defer c.mu.Unlock()
	type tally struct{ jobs, served int }
	served, classes := map[string]*tally{}, map[string][]*jobHistory{}
	count := func(group string, isServed bool) {
		if served[group] == nil {
			served[group] = &tally{}
		}
		served[group].jobs++
		if isServed {
			served[group].served++
		}
	}
	for _, j := range c.jobs {
		if !j.accepted || j.cancelRequested || c.mayBeDependencyCancelled(j.spec.ID) {
			continue
		}
		s := &j.spec
		isServed := len(j.completedTasks) == s.TaskCount || s.Kind == wire.KindService && !j.firstStartAt.IsZero()
		count("class "+s.Class, isServed)
		count("team "+s.Team, isServed)
		classes[s.Class] = append(classes[s.Class], j)
	}
	for class, jobs := range classes {
		slices.SortFunc(jobs, func(a, b *jobHistory) int { return cmp.Compare(b.spec.TaskCount, a.spec.TaskCount) })
		for _, j := range jobs[:int(math.Ceil(largestJobsShare*float64(len(jobs))))] {
			count("the largest of class "+class, !j.firstStartAt.IsZero() && j.firstStartAt.Sub(j.submittedAt) <= maxLargestJobDelay)
		}
	}
	for group, t := range served {
		if float64(t.served) < minServedShare*float64(t.jobs) {
			c.violation("floor", "%d of %d of %s served", t.served, t.jobs, group)
		}
	}
}

// FreeCapacity is what is free on a machine that can be reached.
type FreeCapacity struct {
	Placement
	Free record.Resources
}

// maxStartableWait is how long a job may wait beside room that fits, all troubles over.
const maxStartableWait = 90 * time.Second

// CheckStartableJobs looks, once all troubles are over, for jobs that wait though there is room for one of their
// tasks, or for a whole gang, by type, zone, kind, spread and the team's limit.
func (c *InvariantChecker) CheckStartableJobs(capacities []FreeCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultsEndedAt.IsZero() {
		return
	}
	now := time.Now()
	for id, job := range c.jobs {
		if !job.accepted || job.finalState != "" || job.cancelRequested || len(job.spec.Dependencies) > 0 || !c.canStart(job, capacities) {
			job.startableSince = time.Time{}
			continue
		}
		if job.startableSince.IsZero() {
			job.startableSince = now
		}
		if now.Sub(job.startableSince) > maxStartableWait {
			c.violation("left", "%s (%s, %d tasks) waits beside room for %v", id, job.spec.Kind, job.spec.TaskCount, now.Sub(job.startableSince))
			job.startableSince = now
		}
	}
}

// canStart tells whether a job waits and some of it would fit. Callers hold the lock.
func (c *InvariantChecker) canStart(job *jobHistory, capacities []FreeCapacity) bool {
	spec := &job.spec
	waiting, inZone, pinnedZone := 0, map[string]int{}, spec.Zone
	for i := range spec.TaskCount {
		placements := c.placements[record.TaskRef{JobID: spec.ID, Index: i}]
		if len(placements) == 0 && !job.completedTasks[i] {
			waiting++
		}
		for _, p := range placements {
			inZone[p.Zone]++
			if spec.SameZone {
				pinnedZone = p.Zone
			}
		}
	}
	need, minTasks := record.TaskResources(spec), 1
	if spec.Kind == wire.KindGang {
		minTasks = spec.TaskCount
	}
	if waiting == 0 || spec.Kind == wire.KindGang && waiting < spec.TaskCount || !c.withinTeamLimit(spec, minTasks) {
		return false
	}
	fits := map[string]int{}
	for _, r := range capacities {
		if pinnedZone != "" && r.Zone != pinnedZone || r.Spot && !spec.AllowSpot || len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, r.Type) {
			continue
		}
		for free := r.Free; need.FitsIn(free) && fits[r.Zone] < minTasks; free = free.Minus(need) {
			if spec.Spread && inZone[r.Zone]+fits[r.Zone] >= (spec.TaskCount+1)/2 {
				break
			}
			fits[r.Zone]++
		}
	}
	all := 0
	for _, n := range fits {
		if all += n; spec.SameZone && n >= minTasks {
			return true
		}
	}
	return !spec.SameZone && all >= minTasks
}

// withinTeamLimit tells whether a team may run so many more tasks of a job. Callers hold the lock.
func (c *InvariantChecker) withinTeamLimit(s *wire.JobSpec, tasks int) bool {
	use := c.teamUsage(s.Team).PlusTimes(record.TaskResources(s), float64(tasks))
	for _, t := range c.settings.Deployment.Teams {
		if t.Name == s.Team && (t.GPUsMax > 0 && use.GPUs > t.GPUsMax+1e-6 || t.CPUsMax > 0 && use.CPUs > t.CPUsMax+1e-6) {
			return false
		}
	}
	return true
}

// teamUsage is what a team's tasks take. Callers hold the lock.
func (c *InvariantChecker) teamUsage(team string) record.Resources {
	var use record.Resources
	for ref, at := range c.placements {
		if s := &c.jobs[ref.JobID].spec; s.Team == team {
			use = use.PlusTimes(record.TaskResources(s), float64(len(at)))
		}
	}
	return use
}

// TeamLimitReached tells whether some task waits that only its team's limit keeps from starting.
func (c *InvariantChecker) TeamLimitReached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.accepted && j.finalState == "" && !j.cancelRequested && len(j.completedTasks) < j.spec.TaskCount && !c.withinTeamLimit(&j.spec, 1) {
			return true
		}
	}
	return false
}

// RunningJobs lists the jobs of which a task is on a machine that nobody has called off, in order.
func (c *InvariantChecker) RunningJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]bool{}
	for ref, at := range c.placements {
		if j := c.jobs[ref.JobID]; len(at) > 0 && j.accepted && !j.cancelRequested && j.finalState == "" {
			found[ref.JobID] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// MachinesOfJob lists the machines that a job's tasks are on, in order.
func (c *InvariantChecker) MachinesOfJob(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]bool{}
	for ref, at := range c.placements {
		for m := range at {
			if ref.JobID == id {
				found[m] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// OpenJobs lists the accepted jobs whose users were told no end yet, in order.
func (c *InvariantChecker) OpenJobs() []string {
	return c.jobsWhere(func(j *jobHistory) bool { return j.accepted && j.finalState == "" })
}

// DoneJobs lists the jobs whose users were told that they are done, in order.
func (c *InvariantChecker) DoneJobs() []string {
	return c.jobsWhere(func(j *jobHistory) bool { return j.finalState == wire.JobDone })
}

func (c *InvariantChecker) jobsWhere(is func(*jobHistory) bool) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if is(j) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// dependencyCancelledAt is when a user was first told that a job that this one needs, directly
// or through others, is cancelled, or that it was accepted after that.
func (c *InvariantChecker) dependencyCancelledAt(id string) time.Time {
	var first time.Time
	j := c.jobs[id]
	for _, a := range j.spec.Dependencies {
		n := c.jobs[a]
		if n == nil {
			continue
		}
		for _, at := range []time.Time{n.cancelledAt, c.dependencyCancelledAt(a)} {
			if !at.IsZero() && at.Before(j.submittedAt) {
				at = j.submittedAt
			}
			if !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}

// mayBeDependencyCancelled tells whether the user of any job that this one needs asked to cancel it.
func (c *InvariantChecker) mayBeDependencyCancelled(id string) bool {
	for _, a := range c.jobs[id].spec.Dependencies {
		if n := c.jobs[a]; n != nil && (n.cancelRequested || c.mayFail(n) || c.mayBeDependencyCancelled(a)) {
			return true
		}
	}
	return false
}

// retryLimit is how many repeats a job's tasks may have.
func (c *InvariantChecker) retryLimit(s *wire.JobSpec) (int, bool) {
	if s.MaxRetries != nil {
		return *s.MaxRetries, true
	}
	n, ok := c.RetryLimits[s.Class]
	return n, ok
}

// mayFail tells whether a task of a job has failed more often than it may be repeated.
func (c *InvariantChecker) mayFail(job *jobHistory) bool {
	limit, ok := c.retryLimit(&job.spec)
	for _, n := range job.failures {
		if ok && n > limit {
			return true
		}
	}
	return false
}

// TaskFailed notes that a task has failed by itself.
func (c *InvariantChecker) TaskFailed(ref record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[ref.JobID].failures[ref.Index]++
}

// FailureAcknowledged notes that the service has acknowledged a task's failure: it must have spent
// a repeat.
func (c *InvariantChecker) FailureAcknowledged(ref record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[ref.JobID]
	j.acknowledgedFailures[ref.Index]++
	if limit, ok := c.retryLimit(&j.spec); ok && j.acknowledgedFailures[ref.Index] > limit+1 {
		c.violation("repeats", "%s failed %d times, %d repeats allowed", ref, j.acknowledgedFailures[ref.Index], limit)
	}
}

// CancelRequested notes that a user asks to cancel.
func (c *InvariantChecker) CancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if !j.cancelRequested {
		j.cancelRequestedAt = time.Now()
	}
	j.cancelRequested = true
}

// CancellationDurations gives how long users waited from asking until they were told, shortest first,
// and how many who asked were never told an end.
func (c *InvariantChecker) CancellationDurations() (waited []time.Duration, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		switch {
		case j.cancelRequested && !j.cancelledAt.IsZero():
			waited = append(waited, j.cancelledAt.Sub(j.cancelRequestedAt))
		case j.cancelRequested && j.finalState == "":
			open++
		}
	}
	slices.Sort(waited)
	return waited, open
}

// TaskStarted notes that a task is on a machine from now on.
func (c *InvariantChecker) TaskStarted(ref record.TaskRef, placement Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[ref.JobID]
	if job == nil {
		c.violation("invented", "%s runs", ref)
		return
	}
	c.TaskStarts++
	if !job.cancelledAt.IsZero() {
		c.violation("ran_cancelled", "%s starts %v after its user was told", ref, time.Since(job.cancelledAt))
	}
	if job.firstStartAt.IsZero() {
		job.firstStartAt = time.Now()
	}
	for _, a := range job.spec.Dependencies {
		if n := c.jobs[a]; n == nil || len(n.completedTasks) < n.spec.TaskCount {
			c.violation("too_early", "%s before %s is done", ref, a)
		}
	}
	for m := range c.placements[ref] {
		if m != placement.Machine {
			c.violation("ran_twice", "%s on %s and %s", ref, m, placement.Machine)
		}
	}
	if c.placements[ref] == nil {
		c.placements[ref] = map[string]Placement{}
	}
	c.placements[ref][placement.Machine] = placement
	spec := &job.spec
	if spec.Zone != "" && spec.Zone != placement.Zone || placement.Spot && !spec.AllowSpot {
		c.violation("wrong_place", "%s on %+v", ref, placement)
	}
	if len(spec.MachineTypes) > 0 {
		ok := false
		for _, t := range spec.MachineTypes {
			ok = ok || t == placement.Type
		}
		if !ok {
			c.violation("wrong_place", "%s on type %s", ref, placement.Type)
		}
	}
	inZone := 0
	for i := range spec.TaskCount {
		for _, q := range c.placements[record.TaskRef{JobID: spec.ID, Index: i}] {
			if q.Zone == placement.Zone {
				inZone++
			} else if spec.SameZone {
				c.violation("wrong_place", "%s: tasks in %s and %s", spec.ID, q.Zone, placement.Zone)
			}
		}
	}
	if spec.Spread && inZone > (spec.TaskCount+1)/2 {
		c.violation("wrong_place", "%s: %d of %d in %s", spec.ID, inZone, spec.TaskCount, placement.Zone)
	}
	c.checkTeamLimit(spec.Team)
	c.checkCancelledTasks()
}

func (c *InvariantChecker) checkTeamLimit(team string) {
	use := c.teamUsage(team)
	for _, t := range c.settings.Deployment.Teams {
		if t.Name == team && (t.GPUsMax > 0 && use.GPUs > t.GPUsMax+1e-6 || t.CPUsMax > 0 && use.CPUs > t.CPUsMax+1e-6) {
			c.violation("quota", "%s uses %+v", team, use)
		}
	}
}

func (c *InvariantChecker) checkCancelledTasks() {
	for ref, at := range c.placements {
		cancelledAt := c.jobs[ref.JobID].cancelledAt
		if len(at) > 0 && !cancelledAt.IsZero() && time.Since(cancelledAt) > c.settings.Cancel() {
			c.violation("ran_cancelled", "%s: %v after", ref, time.Since(cancelledAt))
		}
	}
}

// CheckDeadlines looks at what only time can break.
func (c *InvariantChecker) CheckDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkCancelledTasks()
}

// TaskLeft notes that a task has left a machine.
func (c *InvariantChecker) TaskLeft(ref record.TaskRef, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.placements[ref], machine)
}

// TaskCompleted notes that a task has completed.
func (c *InvariantChecker) TaskCompleted(ref record.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[ref.JobID].completedTasks[ref.Index] = true
}

// JobCompleted tells whether all tasks of a job have completed.
func (c *InvariantChecker) JobCompleted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs[id].completedTasks) == c.jobs[id].spec.TaskCount
}

// JobSpec gives a job's description, as users upload it.
func (c *InvariantChecker) JobSpec(id string) (wire.JobSpec, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return wire.JobSpec{}, false
	}
	return j.spec, true
}

// TaskIsDone tells whether a task has completed.
func (c *InvariantChecker) TaskIsDone(ref record.TaskRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref.JobID].completedTasks[ref.Index]
}

// UnfinishedJobs lists the accepted jobs that were neither told done nor cancelled,
// services aside.
func (c *InvariantChecker) UnfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, j := range c.jobs {
		if j.accepted && j.finalState == "" && j.spec.Kind != wire.KindService {
			out = append(out, fmt.Sprintf("%s (%s, %d of %d done)", id, j.spec.Kind, len(j.completedTasks), j.spec.TaskCount))
		}
	}
	return out
}

// EndedJobs counts the jobs that were told to be over by how, and those of them that were
// done though a task had failed before.
func (c *InvariantChecker) EndedJobs() (ended map[wire.JobState]int, repeated int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended = map[wire.JobState]int{}
	for _, j := range c.jobs {
		ended[j.finalState]++
		if j.finalState == wire.JobDone && len(j.failures) > 0 {
			repeated++
		}
	}
	return ended, repeated
}

// AllAccepted tells whether all these jobs were accepted.
func (c *InvariantChecker) AllAccepted(ids []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if j := c.jobs[id]; j == nil || !j.accepted {
			return false
		}
	}
	return true
}
