package simulation

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
)

// environmentInt reads a size from the environment, for longer runs by hand.
func environmentInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

var deletionLogPattern = regexp.MustCompile(`msg="deleting a machine" node=(\S+) machine=\S+ reason="silent for [^,]*, (service|gang|array|holds)`)

// outOfOrderDeletions finds deletions that one node decided in one look, but not in the order of the plan:
// services, gangs, arrays, nothing.
func (l *logBuffer) outOfOrderDeletions() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place := map[string]int{"service": 0, "gang": 1, "array": 2, "holds": 3}
	before := map[string]string{} // the last line's kind, by node and time
	for lines := bufio.NewScanner(&l.buf); lines.Scan(); {
		m := deletionLogPattern.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		look := m[1] + " " + strings.Fields(lines.Text())[0]
		if old, ok := before[look]; ok && place[m[2]] < place[old] {
			out = append(out, lines.Text())
		}
		before[look] = m[2]
	}
	return out
}

// TestZoneLosesPower: the power of a zone goes at a drawn moment, for minutes, and comes back;
// one machine in five does not. Its machines return with new sessions and without images, its
// controller, if it has one, with nothing. Nobody does anything: what is lost is given up in the
// order of the plan, every service has all its replicas again within a stated time though
// the zone is still away, and again after its return; users are answered meanwhile; no rule
// breaks and every job ends once. ZONE_MACHINES and ZONE_MOMENTS play it larger and more often.
func TestZoneLosesPower(t *testing.T) {
	moments := environmentInt("ZONE_MOMENTS", 2)
	for i := range moments {
		rnd := rand.New(rand.NewPCG(uint64(i), 41))
		zone := []string{"north", "east", "west"}[i%3]
		at, away := time.Duration(rnd.IntN(30_000))*time.Millisecond, time.Duration(10+rnd.IntN(590))*time.Second
		if i < 2 {
			away = []time.Duration{10 * time.Minute, 12 * time.Second}[i] // past all leases, and within them
		}
		t.Run(fmt.Sprintf("%s after %v for %v", zone, at, away), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulatePowerLoss(t, rnd, zone, at, away) })
		})
	}
}

func simulatePowerLoss(t *testing.T, rnd *rand.Rand, zone string, at, away time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	machines := environmentInt("ZONE_MACHINES", 60)
	var logged logBuffer
	// Of ordinary machines each zone has half as many again as the services take of it, so that
	// two zones have room for all of them.
	r := NewRegion(ctx, testSettings(0), testTypes[:1], machines/2, rand.New(rand.NewPCG(rnd.Uint64(), 8)), slog.New(slog.NewTextHandler(&logged, nil)))
	for i := range 3 {
		r.AddController(testSettings(i))
	}
	services := machines / 9 // of six replicas that take half a machine each
	full := 6 * services
	for i := range services {
		spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "s", Team: "open", Kind: wire.KindService, Priority: wire.PriorityProduction,
			TaskCount: 6, CPUs: 16, GPUs: 2, MemoryGB: 80, Image: fmt.Sprint("img-", i%5), ImageSizeGB: 2, Spread: true}
		r.wg.Go(func() { r.SimulateUser(ctx, spec, 5, 100*time.Second+at+away+3*time.Minute) })
	}
	for i := range machines / 3 {
		spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", services+i+1), Team: "open", AllowSpot: true, Image: "img-0", ImageSizeGB: 2, JobTiming: wire.JobTiming{CheckpointIntervalSeconds: 5, CheckpointSaveSeconds: 1}}
		if i%2 == 0 {
			spec.Class, spec.Kind, spec.Priority, spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = "a", wire.KindArray, wire.PriorityNormal, 4+rnd.IntN(20), 4, 1, 20
			spec.RuntimeEstimateSeconds = 15
		} else {
			spec.Class, spec.Kind, spec.Priority, spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = "g", wire.KindGang, wire.PriorityHigh, 1+rnd.IntN(3), 28, 4, 200
			spec.AllowSpot, spec.SameZone, spec.RuntimeEstimateSeconds = false, true, 30
		}
		run, start := 5+20*rnd.Float64(), time.Duration(60+rnd.IntN(80))*time.Second
		r.wg.Go(func() {
			time.Sleep(start)
			r.SimulateUser(ctx, spec, run, 0)
		})
	}
	time.Sleep(100*time.Second + at)
	if up := r.runningTasks("s"); up < full {
		t.Fatalf("%d of %d replicas before anything happened", up, full)
	}
	lost := time.Now()
	r.FailZonePower(zone, lost.Add(away), 5)
	// A lease must have passed since the last report; then come the deletions, one after the
	// other as their pace allows, a start and a fetch.
	whole := func(since time.Time, limit time.Duration) (took time.Duration) {
		for time.Since(since) < limit {
			if r.runningTasks("s") == full {
				return time.Since(since)
			}
			time.Sleep(time.Second)
		}
		t.Errorf("%d of %d replicas %v after %v", r.runningTasks("s"), full, limit, since.Sub(lost))
		return limit
	}
	out := whole(lost, r.Settings.Lease()+45*time.Second)
	time.Sleep(time.Until(lost.Add(away)))
	back := time.Now()
	least := full
	for time.Since(back) < 30*time.Second {
		least = min(least, r.runningTasks("s"))
		time.Sleep(time.Second)
	}
	t.Logf("all %d replicas after %v; at least %d while the zone returned", full, out.Round(time.Second), least)
	if least < full {
		t.Errorf("the zone's return takes replicas: %d of %d", least, full)
	}
	time.Sleep(7 * time.Minute)
	cancel()
	r.checkZoneDay(t, &logged)
	if d := logged.outOfOrderDeletions(); len(d) > 0 {
		t.Errorf("not in the order of the plan:\n%s", strings.Join(d, "\n"))
	}
}
