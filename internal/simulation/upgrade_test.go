package simulation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// randomJobGraph draws a pipeline: each job awaits some of those before it.
func randomJobGraph(rnd *rand.Rand, first, jobs int) []wire.JobSpec {
	var out []wire.JobSpec
	for i := range jobs {
		s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", first+i), Class: fmt.Sprintf("p%d", i%4), Team: []string{"open", "bound"}[rnd.IntN(2)],
			Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 1 + rnd.IntN(8), CPUs: 1, MemoryGB: 4, Image: fmt.Sprintf("img-%d", rnd.IntN(3)),
			ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 8}, AllowSpot: rnd.IntN(2) == 0}
		if rnd.IntN(4) == 0 {
			s.Kind, s.TaskCount, s.SameZone = wire.KindGang, 1+rnd.IntN(3), true
		}
		for k := range i {
			if rnd.IntN(3) == 0 || k == i-1 && rnd.IntN(2) == 0 {
				s.Dependencies = append(s.Dependencies, out[k].ID)
			}
		}
		if i == jobs-1 {
			s.Priority, s.DeadlineSeconds = wire.PriorityHigh, 120
		}
		out = append(out, s)
	}
	return out
}

// submitGraph plays a pipeline's user: each job is submitted once those that it
// awaits are accepted.
func (r *Region) submitGraph(ctx context.Context, specs []wire.JobSpec, cancel map[string]time.Duration) {
	for _, s := range specs {
		r.wg.Go(func() {
			for !r.Checker.AllAccepted(s.Dependencies) {
				time.Sleep(200 * time.Millisecond)
				if ctx.Err() != nil {
					return
				}
			}
			r.SimulateUser(ctx, s, 6, cancel[s.ID])
		})
	}
}

// simulateUpgradeDay plays a day on which controllers of the version before are replaced
// one by one, with crashes and cuts, then pipelines come and the state service's
// limits fall.
func simulateUpgradeDay(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 17))
	ctx, cancel := context.WithCancel(context.Background())
	var out io.Writer = io.Discard
	if os.Getenv("STANDIN_LOG") != "" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	settings := func(i int) *config.Settings {
		s := testSettings(i)
		s.Deployment.State.Next = &config.StateLimits{WriteRPS: 56, ValueKB: 2, TxnOps: 10}
		return s
	}
	r := NewRegion(ctx, settings(0), testTypes, 12, rand.New(rand.NewPCG(seed, 18)), log)
	active := false
	r.KV.OnWrite = func(key string, v wire.RawValue) {
		var job record.Job
		switch {
		case key == record.SchemaVersionKey:
			active = true
			for _, c := range r.controllers {
				if c.SchemaVersion < tuning.LevelPipelines {
					r.KV.Violations = append(r.KV.Violations, "activated while "+c.Settings.Node+" was old")
				}
			}
		case strings.HasPrefix(key, "s/u/") && !active, strings.HasPrefix(key, "s/catalog/") && !active:
			r.KV.Violations = append(r.KV.Violations, "new form before activation: "+key)
		case strings.HasPrefix(key, "s/j/"):
			if wire.Decode(v, &job) == nil && !active && (job.ChunkWidth > 0 || len(job.Groups) > 0 || len(job.Spec.Dependencies) > 0) {
				r.KV.Violations = append(r.KV.Violations, "new form before activation: "+key)
			}
		}
	}
	for i := range 3 {
		r.controllers = append(r.controllers, &Controller{Settings: settings(i), Address: settings(i).Listen})
		r.StartController(i)
	}
	// Work that lasts through the upgrade, with records that outgrow what is to come.
	for i := range 16 {
		spec, run, stop := testSpec(rnd, i+1)
		at := time.Duration(rnd.IntN(90)) * time.Second
		if i < 3 {
			spec, run, stop, at = wire.JobSpec{ID: spec.ID, Class: "wide", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal,
				TaskCount: 90 + 90*i, CPUs: 0.5, MemoryGB: 2, Image: "img-0", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 100}}, 130, time.Duration(i/2)*100*time.Second, 5*time.Second
		}
		r.wg.Go(func() {
			time.Sleep(at)
			r.SimulateUser(ctx, spec, run, stop)
		})
	}
	time.Sleep(30 * time.Second)
	for _, i := range rnd.Perm(3) {
		r.KillController(i)
		if rnd.IntN(3) == 0 { // another ends as well, and comes back as what it was
			j := (i + 1) % 3
			r.KillController(j)
			r.wg.Go(func() {
				time.Sleep(4 * time.Second)
				r.StartController(j)
			})
		}
		time.Sleep(5 * time.Second)
		r.controllers[i].SchemaVersion = tuning.Level
		r.StartController(i)
		if rnd.IntN(3) == 0 {
			r.Network.AddPartition(Partition{From: r.controllers[rnd.IntN(3)].Settings.Node, To: "state", DeliverLate: rnd.IntN(2) == 0, Until: time.Now().Add(time.Duration(4+rnd.IntN(10)) * time.Second)})
		}
		time.Sleep(time.Duration(4+rnd.IntN(8)) * time.Second)
	}
	first := 101
	for range 4 {
		specs := randomJobGraph(rnd, first, 4+rnd.IntN(6))
		first += len(specs)
		stops := map[string]time.Duration{}
		if rnd.IntN(2) == 0 {
			stops[specs[rnd.IntN(len(specs))].ID] = time.Duration(1+rnd.IntN(30)) * time.Second
		}
		r.submitGraph(ctx, specs, stops)
	}
	time.Sleep(time.Duration(rnd.IntN(20)) * time.Second)
	r.KV.LowerLimits(56, 10, 2)
	// Gangs of tiny tasks: one that takes most of a transaction, one that takes
	// several. They take long to play, so one day has them.
	for i, tasks := range []int{200, 500} {
		wide := wire.JobSpec{ID: fmt.Sprintf("run-%06d", 90+i), Class: "wide", Team: "open", Kind: wire.KindGang, Priority: wire.PriorityNormal,
			TaskCount: tasks, CPUs: 0.05, MemoryGB: 0.1, Image: "img-0", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 10}}
		if seed == 1 {
			r.wg.Go(func() { r.SimulateUser(ctx, wide, 10, 0) })
		}
	}
	for range 4 {
		time.Sleep(time.Duration(1+rnd.IntN(15)) * time.Second)
		log.Info("TROUBLE", "what", injectRandomFault(r, rnd))
	}
	for range 90 {
		time.Sleep(5 * time.Second)
		if len(r.Checker.UnfinishedJobs()) == 0 && r.Checker.AllAccepted([]string{fmt.Sprintf("run-%06d", first-1)}) {
			break
		}
	}
	time.Sleep(60 * time.Second)
	left, level := r.Checker.UnfinishedJobs(), active
	size, key := r.KV.LargestValue("s/")
	cancel()
	r.Wait()
	time.Sleep(3 * time.Minute)
	if len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
		t.Errorf("broken:\n%s\n%s", strings.Join(r.Checker.Violations, "\n"), strings.Join(r.KV.Violations, "\n"))
	}
	if len(left) > 0 || !level {
		t.Errorf("never finished: %v; activated: %v", left, level)
	}
	if size > 2048 {
		t.Errorf("%s still takes %d bytes", key, size)
	}
	// Some requests were on their way when the limits fell, or activation was late.
	if r.KV.OversizeRequests > 40 {
		t.Errorf("%d requests refused for their size", r.KV.OversizeRequests)
	}
}

// TestUpgradeDays drives pipelines, a rolling upgrade and falling limits through
// generated days. UPGRADE_DAYS plays more of them.
func TestUpgradeDays(t *testing.T) {
	days := 5
	if n, err := strconv.Atoi(os.Getenv("UPGRADE_DAYS")); err == nil {
		days = n
	}
	for seed := range uint64(days) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateUpgradeDay(t, seed+1) })
		})
	}
}
