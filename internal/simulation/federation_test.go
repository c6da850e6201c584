package simulation

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// cellSettings are the settings of a cell's controller.
func cellSettings(cell string, i int) *config.Settings {
	s := testSettings(i)
	s.Node = cell + "-" + s.Node
	for j := range s.Siblings {
		s.Siblings[j].Node = cell + "-" + s.Siblings[j].Node
	}
	return s
}

// countMessages counts the log's lines with a message.
func (l *logBuffer) countMessages(msg string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), fmt.Sprintf("msg=%q", msg))
}

// TestCells: a burst in one of three cells spills over while links are cut one way and the other,
// leaders end, a whole cell goes and comes back, one is cut off inside, and one loses writes and
// comes back under a new epoch. Of every job each user is told one end, no task runs in
// two cells, and nothing that was cancelled goes on. CELL_DAYS plays more of them.
func TestFederationUnderFaults(t *testing.T) {
	for day := range environmentInt("CELL_DAYS", 2) {
		t.Run(fmt.Sprint("day ", day), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateFederationDay(t, uint64(day)) })
		})
	}
}

func simulateFederationDay(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	rnd := rand.New(rand.NewPCG(seed, 51))
	names := []string{"a", "b", "c"}
	var logged logBuffer
	c := NewFederation(ctx, names, cellSettings, testTypes[:1], 2, 120, rnd, slog.New(slog.NewTextHandler(&logged, nil)))
	const jobs = 90
	for i := range jobs {
		s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprint("img-", i%3), ImageSizeGB: 2, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 20}}
		cell, at := "a", time.Duration(30+rnd.IntN(60))*time.Second
		var stop time.Duration
		switch i % 6 {
		case 0: // own work of those that lose no writes: what its users were told would be lost with them
			cell, at = []string{"a", "c"}[rnd.IntN(2)], time.Duration(rnd.IntN(240))*time.Second
			s.Kind, s.Priority, s.TaskCount, s.RuntimeEstimateSeconds = wire.KindService, wire.PriorityProduction, 2, 0
			stop = time.Duration(60+rnd.IntN(120)) * time.Second
		case 1, 2:
			s.Kind, s.Priority, s.TaskCount, s.CPUs, s.GPUs, s.SameZone = wire.KindGang, wire.PriorityHigh, 1+rnd.IntN(3), 16, 2, rnd.IntN(2) == 0
		default:
			s.Kind, s.Priority, s.TaskCount, s.AllowSpot = wire.KindArray, wire.PriorityNormal, 2+rnd.IntN(12), true
		}
		if rnd.IntN(6) == 0 && stop == 0 {
			stop = time.Duration(1+rnd.IntN(60)) * time.Second
		}
		run := 10 + 20*rnd.Float64()
		if stop > 0 {
			run += 120 // so that what goes on after its cancellation is seen
		}
		c.Regions[cell].wg.Go(func() {
			time.Sleep(at)
			c.SimulateUser(ctx, cell, s, run, stop)
		})
	}
	var kept map[string]wire.KeyValue
	for at := range 7 {
		time.Sleep(time.Duration(15+rnd.IntN(20)) * time.Second)
		name, d := names[rnd.IntN(3)], time.Duration(5+rnd.IntN(25))*time.Second
		until := time.Now().Add(d)
		switch (at + int(seed)) % 7 {
		case 0:
			c.AddLinkFault(LinkFault{From: name, DeliverLate: rnd.IntN(2) == 0, AnswersOnly: rnd.IntN(2) == 0, Until: until})
		case 1:
			r := c.Regions[name]
			for i := range r.ControllerCount() { // whoever leads
				r.KillController(i)
				time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
				r.StartController(i)
			}
		case 2:
			c.Regions[name].KV.StartOutage(until)
		case 3:
			kept = c.Regions["b"].KV.Snapshot()
			c.StopCell(name, d)
			time.Sleep(d)
		case 4:
			c.AddLinkFault(LinkFault{To: name, AnswersOnly: true, Until: until})
		case 6:
			c.SetDraining(name, true)
			time.Sleep(d)
			c.SetDraining(name, false)
		case 5:
			if kept == nil {
				kept = c.Regions["b"].KV.Snapshot()
				time.Sleep(10 * time.Second)
			}
			c.RestoreSnapshot("b", kept, d)
			time.Sleep(d)
		}
	}
	time.Sleep(10 * time.Minute)
	left := c.Checker.UnfinishedJobs()
	cancel()
	c.Wait()
	time.Sleep(3 * time.Minute)
	for name, r := range c.Regions {
		if len(r.KV.Violations) > 0 {
			t.Errorf("%s: %v", name, r.KV.Violations)
		}
	}
	if len(c.Checker.Violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(c.Checker.Violations, "\n"))
	}
	if len(left) > 0 {
		t.Errorf("never finished: %v", left)
	}
	taken, ended, back := logged.countMessages("offloaded job accepted"), logged.countMessages("offloaded job ended"), logged.countMessages("offloaded job returned")
	t.Logf("%d jobs taken, %d ended elsewhere, %d came back; %d messages, %d bytes each", taken, ended, back, c.MessagesSent, c.BytesSent/max(c.MessagesSent, 1))
	if taken == 0 || ended == 0 {
		t.Errorf("nothing spilled: %d taken, %d ended elsewhere", taken, ended)
	}
}

// simulateBurst lets sixty arrays come to one of three cells that are all up, and gives how long it takes
// until all have ended, and how many others took. trouble begins 40 s later.
func simulateBurst(t *testing.T, guests int, trouble func(*Federation)) (took time.Duration, taken int) {
	ctx, cancel := context.WithCancel(context.Background())
	rnd := rand.New(rand.NewPCG(6, 52))
	var logged logBuffer
	c := NewFederation(ctx, []string{"a", "b", "c"}, cellSettings, testTypes[:1], 2, guests, rnd, slog.New(slog.NewTextHandler(&logged, nil)))
	time.Sleep(60 * time.Second) // the cells have joined
	start := time.Now()
	for i := range 60 {
		s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 8,
			CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageSizeGB: 2, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 20}, AllowSpot: true}
		c.Regions["a"].wg.Go(func() { c.SimulateUser(ctx, "a", s, 20, 0) })
	}
	time.Sleep(40 * time.Second)
	if trouble != nil {
		trouble(c)
	}
	for len(c.Checker.UnfinishedJobs()) > 0 && time.Since(start) < 20*time.Minute {
		time.Sleep(time.Second)
	}
	took, taken = time.Since(start), logged.countMessages("offloaded job accepted")
	if left := c.Checker.UnfinishedJobs(); len(left) > 0 {
		t.Errorf("never finished: %v", left)
	}
	cancel()
	c.Wait()
	time.Sleep(3 * time.Minute)
	if len(c.Checker.Violations) > 0 {
		t.Errorf("broken:\n%s", strings.Join(c.Checker.Violations, "\n"))
	}
	return took, taken
}

// TestCellGoneForGood: a cell goes with its machines while it holds work of another. What is there
// waits until the other's operators say that it is gone for good, and not longer: every job ends,
// none runs twice.
func TestCellRemovedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, taken := simulateBurst(t, 400, func(c *Federation) {
			c.RemoveCell("b", 3*time.Minute, "a")
			if left := c.Checker.UnfinishedJobs(); len(left) == 0 {
				t.Error("nothing waited for the cell that is gone")
			}
		})
		t.Logf("all ended after %v, %d taken by others", took.Round(time.Second), taken)
	})
}

// TestSpillOnAgainstOff: a burst in one of three cells that are all up ends sooner if the others
// take part of it, by what their machines allow.
func TestOffloadShortensBurst(t *testing.T) {
	var off, on time.Duration
	var none, taken int
	synctest.Test(t, func(t *testing.T) { off, none = simulateBurst(t, 0, nil) })
	synctest.Test(t, func(t *testing.T) { on, taken = simulateBurst(t, 400, nil) })
	t.Logf("60 arrays of 8 tasks in one of three cells: all ended after %v without, %v with the others, which took %d", off.Round(time.Second), on.Round(time.Second), taken)
	if none > 0 || taken == 0 || float64(on) > 0.8*float64(off) {
		t.Errorf("%v without, %v with %d taken", off, on, taken)
	}
}
