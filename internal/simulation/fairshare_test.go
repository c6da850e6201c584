package simulation

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

const (
	burstSeconds            = 260
	burstOutageAtSecond     = 40
	largeJobTasks           = 50
	smallJobTasks           = 5
	largeJobIntervalSeconds = 12
	groupOfAll              = "all"
	minBurstShare           = 0.5
	minCapacityServed       = 0.6
	maxCapacityServed       = 0.9
)

// fairShareSettings returns the settings of a controller in a region with four teams, and two classes with objectives.
func fairShareSettings(index int) *config.Settings {
	settings := testSettings(index)
	deployment := &settings.Deployment
	deployment.Teams = nil
	for i := range 4 {
		team := config.Team{Name: fmt.Sprint("team-", i), GPUs: 8, GPUsMax: 240}
		deployment.Teams = append(deployment.Teams, team)
	}
	for _, class := range []string{"small", "large"} {
		deployment.Objectives = append(deployment.Objectives,
			config.Objective{Kind: "wait", Class: class, WithinS: 40, Share: 0.99},
			config.Objective{Kind: "finished", Class: class, WithinS: 90, Share: 0.99})
	}
	deployment.State.WriteRPS = 150
	return settings
}

// taskCounts counts tasks by class, by team and in total.
type taskCounts map[string]int

func (c taskCounts) add(spec *wire.JobSpec, count int) {
	c[spec.Class] += count
	c[spec.Team] += count
	c[groupOfAll] += count
}

// startedTasks counts the tasks that have started, and those that were submitted.
func (r *Region) startedTasks() (started, requested taskCounts) {
	started, requested = taskCounts{}, taskCounts{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Checker.mu.Lock()
	defer r.Checker.mu.Unlock()
	for _, job := range r.Checker.jobs {
		requested.add(&job.spec, job.spec.TaskCount)
		started.add(&job.spec, len(job.completedTasks))
	}
	for _, agent := range r.agents {
		for _, task := range agent.tasks {
			started.add(&task.spec, 1)
		}
	}
	return started, requested
}

// submitBurstJob submits one of the burst's jobs.
func (r *Region) submitBurstJob(ctx context.Context, number int, class string, tasks int) {
	spec := newSpec(number, wire.KindArray)
	spec.Class, spec.Team, spec.TaskCount = class, fmt.Sprint("team-", number%4), tasks
	spec.CPUs, spec.MemoryGB, spec.RuntimeEstimateSeconds, spec.AllowSpot = 6, 40, 20, true
	r.wg.Go(func() { r.SimulateUser(ctx, userJob{spec: spec, runSeconds: 20}) })
}

// runBurst submits a small job each second, and a large one every largeJobIntervalSeconds. At burstOutageAtSecond half
// of the machines fail, and a cloud outage starts that lasts until the end of the burst.
func (r *Region) runBurst(ctx context.Context) {
	number := 0
	for second := range burstSeconds {
		number++
		r.submitBurstJob(ctx, number, "small", smallJobTasks)
		if second%largeJobIntervalSeconds == 0 {
			number++
			r.submitBurstJob(ctx, number, "large", largeJobTasks)
		}
		if second == burstOutageAtSecond {
			r.StartCloudOutage(time.Now().Add((burstSeconds - burstOutageAtSecond) * time.Second))
			for i, machine := range r.Machines() {
				if i%2 == 0 {
					r.FailMachine(machine)
				}
			}
		}
		time.Sleep(time.Second)
	}
}

// checkBurstShares checks that each class and team received its share of the scarce capacity, with a tolerance of one
// large job.
func (r *Region) checkBurstShares(t *testing.T) {
	t.Helper()
	started, requested := r.startedTasks()
	share := func(group string) float64 { return float64(started[group]) / float64(requested[group]) }
	t.Logf("started %v of %v requested", started, requested)
	if all := share(groupOfAll); all < minCapacityServed || all > maxCapacityServed {
		t.Errorf("%.2f of all tasks started: capacity is not scarce, or too small for the check", all)
	}
	for group := range requested {
		if share(group)+float64(largeJobTasks)/float64(requested[group]) < minBurstShare {
			t.Errorf("%.2f of the tasks of %s started, %.2f of all", share(group), group, share(groupOfAll))
		}
	}
}

// TestFairShareInBurst checks that scarce capacity is shared among classes and teams. Four teams submit arrays of two
// classes, many small jobs of one and few large jobs of the other. They request one and a half times the capacity that
// is left after half of the machines have failed during a cloud outage. By the end of the burst at least half of the
// tasks of each class and of each team must have started, with a tolerance of one large job; all jobs must end
// afterwards. The capacity suffices for 0.7 of all tasks. If jobs were ordered by size alone, only 0.4 of the large
// jobs' tasks would start.
func TestFairShareInBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := testRegion{
			settings:        fairShareSettings,
			machineTypes:    largeMachinesOnly,
			capacityPerKind: 10,
			random:          newRandom(9, streamRegion),
		}.startControllers(ctx, threeControllers)
		r.runBurst(ctx)
		r.checkBurstShares(t)
		time.Sleep(6 * time.Minute)
		unfinished := r.Checker.UnfinishedJobs()
		r.end(cancel)
		checkFinished(t, unfinished)
		checkViolations(t, r)
	})
}
