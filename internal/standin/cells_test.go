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
	c := NewCells(ctx, names, testCell, testTypes[:1], 2, rnd, slog.New(slog.NewTextHandler(&logged, nil)))
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
