package standin

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

// testCell are the settings of a cell's controller.
func testCell(cell string, i int) *config.Settings {
	s := testSettings(i)
	s.Node = cell + "-" + s.Node
	for j := range s.Siblings {
		s.Siblings[j].Node = cell + "-" + s.Siblings[j].Node
	}
	return s
}

// count counts the log's lines with a message.
func (j *journal) count(msg string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.buf.String(), fmt.Sprintf("msg=%q", msg))
}

// TestCells: a burst in one of three cells spills over while links are cut one way and the other,
// leaders end, a whole cell goes and comes back, one is cut off inside, and one loses writes and
// comes back under a new epoch. Of every job each user is told one end, no task runs in
// two cells, and nothing that was cancelled goes on. CELL_DAYS plays more of them.
func TestCells(t *testing.T) {
	for day := range number("CELL_DAYS", 2) {
		t.Run(fmt.Sprint("day ", day), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { cellsDay(t, uint64(day)) })
		})
	}
}

func cellsDay(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	rnd := rand.New(rand.NewPCG(seed, 51))
	names := []string{"a", "b", "c"}
	var logged journal
	c := NewCells(ctx, names, testCell, testTypes[:1], 2, 120, rnd, slog.New(slog.NewTextHandler(&logged, nil)))
	const jobs = 90
	for i := range jobs {
		s := wire.Spec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", CPUs: 4, GPUs: 1, MemoryGB: 20, Image: fmt.Sprint("img-", i%3), ImageGB: 2, EstimateS: 20}
		cell, at := "a", time.Duration(30+rnd.IntN(60))*time.Second
		var stop time.Duration
		switch i % 6 {
		case 0: // own work of those that lose no writes: what its users were told would be lost with them
			cell, at = []string{"a", "c"}[rnd.IntN(2)], time.Duration(rnd.IntN(240))*time.Second
			s.Kind, s.Priority, s.Tasks, s.EstimateS = wire.KindService, wire.PriorityProduction, 2, 0
			stop = time.Duration(60+rnd.IntN(120)) * time.Second
		case 1, 2:
			s.Kind, s.Priority, s.Tasks, s.CPUs, s.GPUs, s.OneZone = wire.KindGang, wire.PriorityHigh, 1+rnd.IntN(3), 16, 2, rnd.IntN(2) == 0
		default:
			s.Kind, s.Priority, s.Tasks, s.Spot = wire.KindArray, wire.PriorityNormal, 2+rnd.IntN(12), true
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
			c.User(ctx, cell, s, run, stop)
		})
	}
	var kept map[string]wire.Row
	for at := range 7 {
		time.Sleep(time.Duration(15+rnd.IntN(20)) * time.Second)
		name, d := names[rnd.IntN(3)], time.Duration(5+rnd.IntN(25))*time.Second
		until := time.Now().Add(d)
		switch (at + int(seed)) % 7 {
		case 0:
			c.Cut(Link{From: name, Hold: rnd.IntN(2) == 0, Answers: rnd.IntN(2) == 0, Until: until})
		case 1:
			r := c.Regions[name]
			for i := range r.Nodes() { // whoever leads
				r.Kill(i)
				time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
				r.Start(i)
			}
		case 2:
			c.Regions[name].State.Outage(until)
		case 3:
			kept = c.Regions["b"].State.Snapshot()
			c.Lose(name, d)
			time.Sleep(d)
		case 4:
			c.Cut(Link{To: name, Answers: true, Until: until})
		case 6:
			c.Drain(name, true)
			time.Sleep(d)
			c.Drain(name, false)
		case 5:
			if kept == nil {
				kept = c.Regions["b"].State.Snapshot()
				time.Sleep(10 * time.Second)
			}
			c.Forget("b", kept, d)
			time.Sleep(d)
		}
	}
	time.Sleep(10 * time.Minute)
	left := c.Oracle.Unfinished()
	cancel()
	c.Wait()
	time.Sleep(3 * time.Minute)
	for name, r := range c.Regions {
		if len(r.State.Broken) > 0 {
			t.Errorf("%s: %v", name, r.State.Broken)
		}
	}
	if len(c.Oracle.Broken) > 0 {
		t.Errorf("broken:\n%s", strings.Join(c.Oracle.Broken, "\n"))
	}
	if len(left) > 0 {
		t.Errorf("never finished: %v", left)
	}
	taken, ended, back := logged.count("job taken from another cell"), logged.count("job ended in another cell"), logged.count("job comes back")
	t.Logf("%d jobs taken, %d ended elsewhere, %d came back; %d messages, %d bytes each", taken, ended, back, c.Sent, c.Bytes/max(c.Sent, 1))
	if taken == 0 || ended == 0 {
		t.Errorf("nothing spilled: %d taken, %d ended elsewhere", taken, ended)
	}
}

// burst lets sixty arrays come to one of three cells that are all up, and gives how long it takes
// until all have ended, and how many others took. trouble begins 40 s later.
func burst(t *testing.T, guests int, trouble func(*Cells)) (took time.Duration, taken int) {
	ctx, cancel := context.WithCancel(context.Background())
	rnd := rand.New(rand.NewPCG(6, 52))
	var logged journal
	c := NewCells(ctx, []string{"a", "b", "c"}, testCell, testTypes[:1], 2, guests, rnd, slog.New(slog.NewTextHandler(&logged, nil)))
	time.Sleep(60 * time.Second) // the cells have joined
	start := time.Now()
	for i := range 60 {
		s := wire.Spec{ID: fmt.Sprintf("run-%06d", i+1), Class: "c", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 8,
			CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageGB: 2, EstimateS: 20, Spot: true}
		c.Regions["a"].wg.Go(func() { c.User(ctx, "a", s, 20, 0) })
	}
	time.Sleep(40 * time.Second)
	if trouble != nil {
		trouble(c)
	}
	for len(c.Oracle.Unfinished()) > 0 && time.Since(start) < 20*time.Minute {
		time.Sleep(time.Second)
	}
	took, taken = time.Since(start), logged.count("job taken from another cell")
	if left := c.Oracle.Unfinished(); len(left) > 0 {
		t.Errorf("never finished: %v", left)
	}
	cancel()
	c.Wait()
	time.Sleep(3 * time.Minute)
	if len(c.Oracle.Broken) > 0 {
		t.Errorf("broken:\n%s", strings.Join(c.Oracle.Broken, "\n"))
	}
	return took, taken
}

// TestCellGoneForGood: a cell goes with its machines while it holds work of another. What is there
// waits until the other's operators say that it is gone for good, and not longer: every job ends,
// none runs twice.
func TestCellGoneForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, taken := burst(t, 400, func(c *Cells) {
			c.Bury("b", 3*time.Minute, "a")
			if left := c.Oracle.Unfinished(); len(left) == 0 {
				t.Error("nothing waited for the cell that is gone")
			}
		})
		t.Logf("all ended after %v, %d taken by others", took.Round(time.Second), taken)
	})
}

// TestSpillOnAgainstOff: a burst in one of three cells that are all up ends sooner if the others
// take part of it, by what their machines allow.
func TestSpillOnAgainstOff(t *testing.T) {
	var off, on time.Duration
	var none, taken int
	synctest.Test(t, func(t *testing.T) { off, none = burst(t, 0, nil) })
	synctest.Test(t, func(t *testing.T) { on, taken = burst(t, 400, nil) })
	t.Logf("60 arrays of 8 tasks in one of three cells: all ended after %v without, %v with the others, which took %d", off.Round(time.Second), on.Round(time.Second), taken)
	if none > 0 || taken == 0 || float64(on) > 0.8*float64(off) {
		t.Errorf("%v without, %v with %d taken", off, on, taken)
	}
}
