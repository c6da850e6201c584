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
	burstSeconds      = 260
	burstOutageAt     = 40 // seconds
	largeJobTasks     = 50
	smallJobTasks     = 5
	secondsPerLarge   = 12 // between two large jobs
	groupOfAll        = "all"
	minBurstShare     = 0.5
	minCapacityServed = 0.6
	maxCapacityServed = 0.9
)

// fairShareSettings are those of a region of four teams and two classes with objectives.
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

// taskCounts counts tasks by class and by team, and all of them.
type taskCounts map[string]int

func (c taskCounts) add(spec *wire.JobSpec, count int) {
	c[spec.Class] += count
	c[spec.Team] += count
	c[groupOfAll] += count
}

// startedTasks counts the tasks that have started, and those asked for.
func (r *Region) startedTasks() (started, asked taskCounts) {
	started, asked = taskCounts{}, taskCounts{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Checker.mu.Lock()
	defer r.Checker.mu.Unlock()
	for _, job := range r.Checker.jobs {
		asked.add(&job.spec, job.spec.TaskCount)
		started.add(&job.spec, len(job.completedTasks))
	}
	for _, agent := range r.agents {
		for _, task := range agent.tasks {
			started.add(&task.spec, 1)
		}
	}
	return started, asked
}

// submitBurstJob submits one of the burst's jobs.
func (r *Region) submitBurstJob(ctx context.Context, number int, class string, tasks int) {
	spec := newSpec(number, wire.KindArray)
	spec.Class, spec.Team, spec.TaskCount = class, fmt.Sprint("team-", number%4), tasks
	spec.CPUs, spec.MemoryGB, spec.RuntimeEstimateSeconds, spec.AllowSpot = 6, 40, 20, true
	r.wg.Go(func() { r.SimulateUser(ctx, userJob{spec: spec, runSeconds: 20}) })
}

// playBurst submits a small job each second and a large one now and then; half of the machines fail meanwhile.
func (r *Region) playBurst(ctx context.Context) {
	number := 0
	for second := range burstSeconds {
		number++
		r.submitBurstJob(ctx, number, "small", smallJobTasks)
		if second%secondsPerLarge == 0 {
			number++
			r.submitBurstJob(ctx, number, "large", largeJobTasks)
		}
		if second == burstOutageAt {
			r.StartCloudOutage(time.Now().Add((burstSeconds - burstOutageAt) * time.Second))
			for i, machine := range r.Machines() {
				if i%2 == 0 {
					r.FailMachine(machine)
				}
			}
		}
		time.Sleep(time.Second)
	}
}

// checkBurstShares checks that each class and team had its share of what was short. One job's worth is allowed.
func (r *Region) checkBurstShares(t *testing.T) {
	t.Helper()
	started, asked := r.startedTasks()
	share := func(group string) float64 { return float64(started[group]) / float64(asked[group]) }
	t.Logf("started %v of %v", started, asked)
	if all := share(groupOfAll); all < minCapacityServed || all > maxCapacityServed {
		t.Errorf("%.2f of all served: capacity is not short, or not there for half", all)
	}
	for group := range asked {
		if share(group)+float64(largeJobTasks)/float64(asked[group]) < minBurstShare {
			t.Errorf("%.2f of %s served, %.2f of all", share(group), group, share(groupOfAll))
		}
	}
}

// TestFairShareInBurst: arrays of two classes, one of many small jobs and one of few large ones,
// from four teams ask for half as much again as there is capacity for after half of the machines
// have failed while the cloud is away. By the end of the burst each class and each team has had
// at least half of what it asked for, as there was capacity for 0.7; and afterwards all end.
// By size alone the large ones have 0.4.
func TestFairShareInBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := testRegion{
			settings:        fairShareSettings,
			machineTypes:    largeMachinesOnly,
			capacityPerKind: 10,
			random:          newRandom(9, streamRegion),
		}.startControllers(ctx, threeControllers)
		r.playBurst(ctx)
		r.checkBurstShares(t)
		time.Sleep(6 * time.Minute)
		unfinished := r.Checker.UnfinishedJobs()
		r.end(cancel)
		checkFinished(t, unfinished)
		checkViolations(t, r)
	})
}
