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
	"sableusher/internal/wire"
)

var largeRegionZones = []string{"east", "west", "north", "south"}

// largeRegionSettings are those of a region of five nodes and long reports.
func largeRegionSettings(i int) *config.Settings {
	const nodes = 5
	s := testSettings(i)
	s.Siblings = nil
	for j := range nodes {
		if j != i {
			s.Siblings = append(s.Siblings, config.Sibling{Node: fmt.Sprintf("node-%d", j), Endpoint: fmt.Sprintf("10.0.0.%d:8081", j+1)})
		}
	}
	d := &s.Deployment
	d.Size, d.Zones = nodes, largeRegionZones
	d.Teams = nil
	for t := range 8 {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%d", t), GPUs: 60, GPUsMax: 160})
	}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 8, 45, 65
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB = 250, 100, 32
	d.Cloud.RPS = 4
	return s
}

var largeRegionTypes = []wire.MachineType{
	{Name: "large", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, ImageFetchGBps: 1, Price: 10, SpotPrice: 4, BootSeconds: 20, Zones: largeRegionZones},
}

func largeRegionSpec(rnd *rand.Rand, i int) (wire.JobSpec, float64, time.Duration) {
	s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i), Team: fmt.Sprintf("team-%d", rnd.IntN(8)),
		Image: fmt.Sprintf("img-%d", rnd.IntN(16)), ImageSizeGB: 2 + 6*rnd.Float64(), JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 30}}
	run := 10 + 60*rnd.Float64()
	var cancel time.Duration
	switch k := rnd.IntN(10); {
	case k < 2:
		s.Kind, s.Priority, s.Class, s.TaskCount = wire.KindService, wire.PriorityProduction, "s", 4+2*rnd.IntN(5)
		s.CPUs, s.GPUs, s.MemoryGB, s.Spread, s.RuntimeEstimateSeconds = 5, 1, 38, true, 0
		cancel = time.Duration(60+rnd.IntN(120)) * time.Second
	case k < 6:
		s.Kind, s.Priority, s.Class, s.TaskCount, s.AllowSpot = wire.KindArray, wire.PriorityNormal, "a", 10+rnd.IntN(60), true
		s.CPUs, s.GPUs, s.MemoryGB, s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds = 5+2*rnd.Float64(), 1, 48, 15, 5
	default:
		s.Kind, s.Priority, s.Class, s.TaskCount = wire.KindGang, wire.PriorityHigh, "g", 1<<rnd.IntN(5)
		s.CPUs, s.GPUs, s.MemoryGB, s.CheckpointIntervalSeconds, s.CheckpointSaveSeconds, s.SameZone = 28, 4, 200, 15, 6, true
	}
	return s, run, cancel
}

// TestRegionOfFiveControllers drives five controllers over some hundreds of machines, with
// wide gangs, wide arrays, and tens of machines that hang at once while two
// controllers end. GROWN_JOBS plays more jobs, for profiles.
func TestRegionOfFiveControllers(t *testing.T) {
	jobs := 60
	if n, err := strconv.Atoi(os.Getenv("GROWN_JOBS")); err == nil {
		jobs = n
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		rnd := rand.New(rand.NewPCG(11, 7))
		var out io.Writer = io.Discard
		if os.Getenv("STANDIN_LOG") != "" {
			out = os.Stderr
		}
		r := NewRegion(ctx, largeRegionSettings(0), largeRegionTypes, 200, rand.New(rand.NewPCG(11, 8)), slog.New(slog.NewTextHandler(out, nil)))
		for i := range 5 {
			r.AddController(largeRegionSettings(i))
		}
		for i := range jobs {
			spec, run, stop := largeRegionSpec(rnd, i+1)
			at := time.Duration(rnd.IntN(100)) * time.Second
			r.wg.Go(func() {
				time.Sleep(at)
				r.SimulateUser(ctx, spec, run, stop)
			})
		}
		time.Sleep(70 * time.Second)
		for i, m := range r.Machines(false) {
			if i%8 == 0 {
				r.HangMachine(m, 40*time.Second)
			}
		}
		r.KillController(1)
		r.KillController(3)
		time.Sleep(5 * time.Second)
		r.StartController(1)
		r.StartController(3)
		for range 60 {
			time.Sleep(5 * time.Second)
			if time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) > 110*time.Second && len(r.Checker.UnfinishedJobs()) == 0 {
				break
			}
		}
		left := r.Checker.UnfinishedJobs()
		cancel()
		r.Wait()
		time.Sleep(3 * time.Minute)
		if len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
			t.Errorf("broken:\n%s\n%s", strings.Join(r.Checker.Violations, "\n"), strings.Join(r.KV.Violations, "\n"))
		}
		if len(left) > 0 || r.Checker.TaskStarts < 10*jobs {
			t.Errorf("never finished: %v; %d starts", left, r.Checker.TaskStarts)
		}
	})
}
