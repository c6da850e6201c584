package simulation

import (
	"context"
	"math/rand/v2"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// faultDay is a day on which faults meet.
type faultDay struct {
	faults         []Fault
	rounds         int  // how often they come; 0: ordinaryRounds
	teamsAtLimit   bool // every team is at its limit nearly all the time
	scarceCapacity bool // more work than capacity
	zoneBound      bool // all jobs are bound to one zone
	longTasks      bool // tasks run for minutes
}

// ordinaryRounds is how often the faults of a day come.
const ordinaryRounds = 3

// settings are those of a region for the day: its teams' limits matter without holding most of the day
// up, unless it is to be so.
func (d *faultDay) settings(index int) *config.Settings {
	settings := testSettings(index)
	settings.Deployment.Teams = []config.Team{{Name: "open"}, {Name: "bound", GPUs: 4, GPUsMax: 14}}
	if d.teamsAtLimit {
		settings.Deployment.Teams = []config.Team{{Name: "open", GPUsMax: 8}, {Name: "bound", GPUs: 2, GPUsMax: 4}}
	}
	return settings
}

// faultDaySettings are those of an ordinary day.
func faultDaySettings(index int) *config.Settings { return new(faultDay).settings(index) }

// jobCount is how many jobs a day has, and capacityPerKind how many machines are to be had for them.
func (d *faultDay) jobCount() int {
	if d.scarceCapacity || d.teamsAtLimit {
		return 60
	}
	return 36
}

func (d *faultDay) capacityPerKind() int {
	if d.scarceCapacity {
		return 3
	}
	return 8
}

// submissionSeconds is the time within which all jobs come. Where teams are at their limits most of them wait
// for these as the faults come.
func (d *faultDay) submissionSeconds() int {
	if d.teamsAtLimit {
		return 60
	}
	return 300
}

// randomJob draws one of the day's jobs.
func (d *faultDay) randomJob(random *rand.Rand, number int) userJob {
	job := randomUnevenJob(random, number)
	spec := &job.spec
	if d.longTasks && spec.Kind != wire.KindService {
		job.runSeconds *= 3
	}
	if d.zoneBound && !spec.Spread && spec.Zone == "" {
		spec.Zone = randomControllerZone(random)
	}
	if d.teamsAtLimit && spec.Kind == wire.KindService {
		job.cancelAfter = min(job.cancelAfter, 90*time.Second) // or the replicas alone fill the limits for minutes
	}
	if d.scarceCapacity && spec.Kind == wire.KindArray {
		spec.Priority = []wire.Priority{wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[random.IntN(3)]
	}
	return job
}

// randomUnevenJob draws a job as these days have them: arrays and gangs of two or three tasks that end far
// apart, long tasks, many of them cancelled, and services.
func randomUnevenJob(random *rand.Rand, number int) userJob {
	job := randomJob(random, number)
	spec := &job.spec
	if spec.Kind == wire.KindService {
		return job
	}
	job.runSeconds = float64(5 + random.IntN(30))
	if random.IntN(4) == 0 {
		job.runSeconds *= 4 // far longer than a lease
	}
	spec.RuntimeEstimateSeconds = job.runSeconds
	if spec.Kind == wire.KindArray && oneInTwo(random) {
		spec.TaskCount = 2 + random.IntN(2)
	}
	if oneInThree(random) {
		job.cancelAfter = secondsBetween(random, 10, 150)
	}
	return job
}

// jobOfSeveralRecords is an array whose last tasks end in changes of further records.
func jobOfSeveralRecords(number int) userJob {
	spec := newSpec(number, wire.KindArray)
	spec.Class, spec.Image = "many", "img-1"
	spec.TaskCount = tuning.FixedChunkTasks + 5
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.1, 0, 0.2
	spec.RuntimeEstimateSeconds = 30
	return userJob{spec: spec, runSeconds: 30}
}

// simulate plays the day and gives the region when it is over.
func (d *faultDay) simulate(seed uint64) *Region {
	random, start := newRandom(seed, streamCombinationDay), time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	r := testRegion{
		settings:        d.settings,
		capacityPerKind: d.capacityPerKind(),
		random:          newRandom(seed, streamRegion),
	}.startControllers(ctx, threeControllers)
	r.wg.Go(func() { r.QueryUnknownJobs(ctx) })
	r.wg.Go(func() { r.observeLeaderChanges(ctx) })
	for i := range d.jobCount() {
		job := d.randomJob(random, i+1)
		r.SimulateUserAfter(ctx, seconds(random, d.submissionSeconds()), job)
	}
	for i := range 4 {
		r.SimulateUserAfter(ctx, time.Duration(20+50*i)*time.Second, jobOfSeveralRecords(900+i))
	}
	time.Sleep(secondsBetween(random, 25, 20))
	last := d.injectFaults(ctx, r, random)
	settled := max(time.Until(last), 5*time.Minute-time.Since(start))
	time.Sleep(settled + r.Settings.LeaseDuration() + r.Settings.CancelDeadline() + 40*time.Second)
	r.Checker.FaultsEnded()
	r.waitUntilFinished(90)
	time.Sleep(80 * time.Second)
	if !d.scarceCapacity && !d.teamsAtLimit {
		r.Checker.CheckServedShares() // a region that is too small for its work may leave its largest jobs late
	}
	r.end(cancel)
	r.observeCounts()
	return r
}

// injectFaults injects the day's faults, round by round, and gives when the last one is over.
func (d *faultDay) injectFaults(ctx context.Context, r *Region, random *rand.Rand) (last time.Time) {
	last = time.Now()
	rounds := d.rounds
	if rounds == 0 {
		rounds = ordinaryRounds
	}
	for range rounds {
		for _, fault := range d.faults {
			until := time.Now().Add(secondsBetween(random, 10, 80))
			if rounds < ordinaryRounds {
				until = until.Add(time.Minute)
			}
			r.Log.Info("fault injected", "fault", fault, "duration", time.Until(until))
			injection{r, random, until}.inject(ctx, fault)
			if until.After(last) {
				last = until
			}
			time.Sleep(milliseconds(random, 8000))
		}
		time.Sleep(secondsBetween(random, 10, 70))
	}
	return last
}

// observeLeaderChanges counts changes of the leader, and those at which a team was at its limit.
func (r *Region) observeLeaderChanges(ctx context.Context) {
	watch := tokenWatch{interval: 100 * time.Millisecond, until: time.Now().Add(24 * time.Hour), token: r.leaderToken}
	watch.run(ctx, func() {
		r.Checker.Observe(ObservedLeaderChange, 1)
		if r.Checker.TeamLimitReached() {
			r.Checker.Observe(ObservedLeaderChangeAtTeamLimit, 1)
		}
	})
}

// observeCounts lets the checker know what the region and its store have counted.
func (r *Region) observeCounts() {
	r.Checker.Observe(ObservedHeartbeatCopy, r.heartbeats.copies)
	r.Checker.Observe(ObservedLateWrite, r.KV.LateWritesApplied)
	r.Checker.Observe(ObservedLostAnswerRead, r.KV.LostAnswersRead)
}
