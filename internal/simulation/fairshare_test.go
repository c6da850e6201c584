package simulation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// startedTasks counts the tasks that have started, by class and by team, and those asked for.
func (r *Region) startedTasks() (started, asked map[string]int) {
	started, asked = map[string]int{}, map[string]int{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Checker.mu.Lock()
	defer r.Checker.mu.Unlock()
	for _, j := range r.Checker.jobs {
		for _, whom := range []string{j.spec.Class, j.spec.Team, "all"} {
			asked[whom] += j.spec.TaskCount
			started[whom] += len(j.completedTasks)
		}
	}
	for _, w := range r.agents {
		for _, t := range w.tasks {
			for _, whom := range []string{t.spec.Class, t.spec.Team, "all"} {
				started[whom]++
			}
		}
	}
	return started, asked
}

// TestFloorsInABurst: arrays of two classes, one of many small jobs and one of few large ones,
// from four teams ask for half as much again as there is room for after half of the machines
// have died while the cloud is away. By the end of the burst each class and each team has had
// at least half of what it asked for, as there was room for 0.7; and afterwards all end.
// By size alone the large ones have 0.4.
func TestFairShareInBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		set := func(i int) *config.Settings {
			s := testSettings(i)
			d := &s.Deployment
			d.Teams = nil
			for k := range 4 {
				d.Teams = append(d.Teams, config.Team{Name: fmt.Sprint("team-", k), GPUs: 8, GPUsMax: 240})
			}
			for _, class := range []string{"small", "large"} {
				d.Objectives = append(d.Objectives, config.Objective{Kind: "wait", Class: class, WithinS: 40, Share: 0.99}, config.Objective{Kind: "finished", Class: class, WithinS: 90, Share: 0.99})
			}
			d.State.WriteRPS = 150
			return s
		}
		r := NewRegion(ctx, set(0), testTypes[:1], 10, rand.New(rand.NewPCG(9, 8)), slog.New(slog.NewTextHandler(io.Discard, nil)))
		for i := range 3 {
			r.AddController(set(i))
		}
		const burst, large = 260, 50
		submit := func(n int, class string, tasks int) {
			spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", n), Class: class, Team: fmt.Sprint("team-", n%4), Kind: wire.KindArray, Priority: wire.PriorityNormal,
				TaskCount: tasks, CPUs: 6, GPUs: 1, MemoryGB: 40, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 20}, AllowSpot: true}
			r.wg.Go(func() { r.SimulateUser(ctx, spec, 20, 0) })
		}
		n := 0
		for s := range burst {
			n++
			submit(n, "small", 5)
			if s%12 == 0 {
				n++
				submit(n, "large", large)
			}
			if s == 40 {
				r.StartCloudOutage(time.Now().Add((burst - 40) * time.Second))
				for i, m := range r.Machines(false) {
					if i%2 == 0 {
						r.FailMachine(m)
					}
				}
			}
			time.Sleep(time.Second)
		}
		started, asked := r.startedTasks()
		served := func(whom string) float64 { return float64(started[whom]) / float64(asked[whom]) }
		t.Logf("started %v of %v", started, asked)
		if all := served("all"); all < 0.6 || all > 0.9 {
			t.Errorf("%.2f of all served: room is not short, or not there for half", all)
		}
		for whom := range asked {
			if served(whom)+float64(large)/float64(asked[whom]) < 0.5 { // but for one job's worth
				t.Errorf("%.2f of %s served, %.2f of all", served(whom), whom, served("all"))
			}
		}
		time.Sleep(6 * time.Minute)
		left := r.Checker.UnfinishedJobs()
		cancel()
		r.Wait()
		time.Sleep(3 * time.Minute)
		if len(left)+len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
			t.Errorf("never finished: %v; broken: %v %v", left, r.Checker.Violations, r.KV.Violations)
		}
	})
}
