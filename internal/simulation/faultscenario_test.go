package simulation

import (
	"context"
	"math/rand/v2"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// faultScenario is a simulated scenario in which several faults overlap.
type faultScenario struct {
	faults         []Fault
	rounds         int  // how many times each fault is injected; 0: defaultRounds
	teamsAtLimit   bool // every team is at its limit nearly all the time
	scarceCapacity bool // more work than capacity
	zoneBound      bool // all jobs are bound to one zone
	longTasks      bool // tasks run for minutes
}

// defaultRounds is how many times each fault of a scenario is injected.
const defaultRounds = 3

// settings returns the settings of a controller. The teams' limits affect scheduling but delay most of the work only
// if teamsAtLimit is set.
func (s *faultScenario) settings(index int) *config.Settings {
	settings := testSettings(index)
	settings.Deployment.Teams = []config.Team{{Name: "open"}, {Name: "bound", GPUs: 4, GPUsMax: 14}}
	if s.teamsAtLimit {
		settings.Deployment.Teams = []config.Team{{Name: "open", GPUsMax: 8}, {Name: "bound", GPUs: 2, GPUsMax: 4}}
	}
	return settings
}

// faultScenarioSettings returns the settings of a controller in a scenario without special conditions.
func faultScenarioSettings(index int) *config.Settings { return new(faultScenario).settings(index) }

// jobCount returns the number of jobs of the scenario.
func (s *faultScenario) jobCount() int {
	if s.scarceCapacity || s.teamsAtLimit {
		return 60
	}
	return 36
}

// capacityPerKind returns how many machines of each kind the cloud has.
func (s *faultScenario) capacityPerKind() int {
	if s.scarceCapacity {
		return 3
	}
	return 8
}

// submissionSeconds is the time within which all jobs are submitted. Where teams are at their limits it is short, so
// that most jobs already wait because of the limits when the faults start.
func (s *faultScenario) submissionSeconds() int {
	if s.teamsAtLimit {
		return 60
	}
	return 300
}

// randomJob returns a random job of the scenario.
func (s *faultScenario) randomJob(random *rand.Rand, number int) userJob {
	job := randomUnevenJob(random, number)
	spec := &job.spec
	if s.longTasks && spec.Kind != wire.KindService {
		job.runSeconds *= 3
	}
	if s.zoneBound && !spec.Spread && spec.Zone == "" {
		spec.Zone = randomControllerZone(random)
	}
	if s.teamsAtLimit && spec.Kind == wire.KindService {
		// Otherwise the replicas alone would fill the limits for minutes.
		job.cancelAfter = min(job.cancelAfter, 90*time.Second)
	}
	if s.scarceCapacity && spec.Kind == wire.KindArray {
		spec.Priority = []wire.Priority{wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[random.IntN(3)]
	}
	return job
}

// randomUnevenJob returns a random job of a fault scenario: an array or a gang, often of two or three tasks that end
// far apart, with long tasks and many cancellations, or a service.
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

// multiRecordJob returns an array with more tasks than one record holds, so that the ends of its last tasks are written
// to another record than those of the first ones.
func multiRecordJob(number int) userJob {
	spec := newSpec(number, wire.KindArray)
	spec.Class, spec.Image = "many", "img-1"
	spec.TaskCount = tuning.FixedChunkTasks + 5
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.1, 0, 0.2
	spec.RuntimeEstimateSeconds = 30
	return userJob{spec: spec, runSeconds: 30}
}

// simulate runs the scenario and returns the region after its end.
func (s *faultScenario) simulate(seed uint64) *Region {
	random, start := newRandom(seed, streamFaultScenario), time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	r := testRegion{
		settings:        s.settings,
		capacityPerKind: s.capacityPerKind(),
		random:          newRandom(seed, streamRegion),
	}.startControllers(ctx, threeControllers)
	r.wg.Go(func() { r.QueryUnknownJobs(ctx) })
	r.wg.Go(func() { r.observeLeaderChanges(ctx) })
	for i := range s.jobCount() {
		job := s.randomJob(random, i+1)
		r.SimulateUserAfter(ctx, seconds(random, s.submissionSeconds()), job)
	}
	for i := range 4 {
		r.SimulateUserAfter(ctx, time.Duration(20+50*i)*time.Second, multiRecordJob(900+i))
	}
	time.Sleep(secondsBetween(random, 25, 20))
	faultsEnd := s.injectFaults(ctx, r, random)
	remainingFaultTime := max(time.Until(faultsEnd), 5*time.Minute-time.Since(start))
	time.Sleep(remainingFaultTime + r.Settings.LeaseDuration() + r.Settings.CancelDeadline() + 40*time.Second)
	r.Checker.FaultsEnded()
	r.waitUntilFinished(90)
	time.Sleep(80 * time.Second)
	if !s.scarceCapacity && !s.teamsAtLimit {
		r.Checker.CheckServedShares() // where capacity is scarce, the largest jobs may start late
	}
	r.end(cancel)
	r.observeCounts()
	return r
}

// injectFaults injects the scenario's faults, round by round, and returns the latest of the end times that it drew for
// them. Faults with a duration of their own don't follow the end time that was drawn, and may end later.
func (s *faultScenario) injectFaults(ctx context.Context, r *Region, random *rand.Rand) (faultsEnd time.Time) {
	faultsEnd = time.Now()
	rounds := s.rounds
	if rounds == 0 {
		rounds = defaultRounds
	}
	for range rounds {
		for _, fault := range s.faults {
			until := time.Now().Add(secondsBetween(random, 10, 80))
			if rounds < defaultRounds {
				until = until.Add(time.Minute)
			}
			r.Log.Info("fault injected", "fault", fault, "duration", time.Until(until))
			injection{r, random, until}.inject(ctx, fault)
			if until.After(faultsEnd) {
				faultsEnd = until
			}
			time.Sleep(milliseconds(random, 8000))
		}
		time.Sleep(secondsBetween(random, 10, 70))
	}
	return faultsEnd
}

// observeLeaderChanges counts the changes of the leader, and those at which a team was at its limit.
func (r *Region) observeLeaderChanges(ctx context.Context) {
	watch := tokenWatch{interval: 100 * time.Millisecond, until: time.Now().Add(24 * time.Hour), token: r.leaderToken}
	watch.run(ctx, func() {
		r.Checker.Observe(ObservedLeaderChange, 1)
		if r.Checker.TeamLimitReached() {
			r.Checker.Observe(ObservedLeaderChangeAtTeamLimit, 1)
		}
	})
}

// observeCounts reports the counts of the region and of its key-value store to the checker.
func (r *Region) observeCounts() {
	r.Checker.Observe(ObservedHeartbeatCopy, r.heartbeats.copies)
	r.Checker.Observe(ObservedLateWrite, r.KV.DelayedTransactions)
	r.Checker.Observe(ObservedUnconfirmedWriteRead, r.KV.UnconfirmedWritesRead)
}
