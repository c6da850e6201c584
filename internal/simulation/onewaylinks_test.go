package simulation

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
)

var oneWayLogPattern = regexp.MustCompile(`msg="change made" .*what="machine (hears nothing|reaches no node|is up) (\S+)"|msg="task placed" .* machine=(\S+)`)

// simulateOneWayDay plays a day of gangs and services on which one in some machines can be reached in one direction only
// for longer than a lease, and the leader may end meanwhile. It gives how often each was recorded for it, and
// fails if a task is bound to one between then and its coming up again.
func simulateOneWayDay(t *testing.T, why string, spoil func(r *Region, machine string, until time.Time), away time.Duration, each int, leaderEnds bool) (*Region, map[string]int) {
	ctx, cancel := context.WithCancel(context.Background())
	log, rnd := &logBuffer{}, rand.New(rand.NewPCG(7, 91))
	r := newThreeControllerRegion(ctx, combinationSettings, 10, 7, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	for i := range 60 {
		s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "g", Team: "open", Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: 2, CPUs: 16, GPUs: 2,
			MemoryGB: 20, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 20}}
		if i%4 == 0 {
			s.Kind, s.Priority, s.TaskCount, s.CPUs, s.GPUs, s.RuntimeEstimateSeconds = wire.KindService, wire.PriorityProduction, 3, 4, 1, 0
		}
		at, stop := time.Duration(30+rnd.IntN(90))*time.Second, time.Duration(0)
		if s.Kind == wire.KindService {
			at, stop = time.Duration(i/4)*time.Second, 10*time.Minute
		}
		r.wg.Go(func() {
			time.Sleep(at)
			r.SimulateUser(ctx, s, 40, stop)
		})
	}
	time.Sleep(60 * time.Second)
	for i, m := range r.Machines(false) {
		if i%each == 0 {
			spoil(r, m, time.Now().Add(away))
		}
	}
	time.Sleep(2 * time.Second)
	if leaderEnds {
		r.restartController(r.LeaderIndex(), 4*time.Second)
	}
	time.Sleep(5*time.Minute + away - 80*time.Second)
	r.Checker.CheckServedShares()
	cancel()
	r.Wait()
	time.Sleep(3 * time.Minute)
	checkDay(t, r)
	out, marks := map[string]bool{}, map[string]int{}
	for lines := bufio.NewScanner(&log.buf); lines.Scan(); {
		m := oneWayLogPattern.FindStringSubmatch(lines.Text())
		switch {
		case m == nil:
		case m[3] != "" && out[m[3]]:
			t.Errorf("bound to a machine that %s: %s", why, lines.Text())
		case m[1] == why:
			out[m[2]] = true
			marks[m[2]]++
		case m[2] != "":
			out[m[2]] = false
		}
	}
	t.Log(len(marks), "machines were recorded for it;", r.Checker.Observed)
	if len(marks) == 0 {
		t.Error("no machine was found that " + why)
	}
	for name, n := range marks {
		if n > 1 {
			t.Errorf("%s was recorded %d times", name, n)
		}
	}
	return r, marks
}

// TestDeafMachinesAreLeftOut: half of the machines hear nothing for longer than a lease, and the
// leader ends meanwhile. From when a machine's record says so, no node binds a task to it before it hears
// again, so gangs and services that come meanwhile start on others; and it is recorded once.
func TestInboundLostMachinesReceiveNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulateOneWayDay(t, "hears nothing", (*Region).LoseInbound, 80*time.Second, 2, true)
	})
}

// TestMuteMachinesAreLeft: a quarter of the machines reach no node for longer than a lease, while commands
// reach them. Once such a machine looked ready whenever it answered one: task after task was started there and ended
// with its lease. Nothing is bound to it, and replicas have left it before the lease ends. (Were most of a node's mute, it
// would be the node.)
func TestOutboundLostMachinesAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := simulateOneWayDay(t, "reaches no node", (*Region).LoseOutbound, 80*time.Second, 4, false)
		if n := r.Checker.Observed[wire.KindService.String()+" ended with a lease"]; n > 0 {
			t.Errorf("%d replicas ended with a lease", n)
		}
	})
}

// TestOneWayMachinesAreGivenUp: what can be reached in one direction only, and stays so, is returned once
// nothing is left on it: nobody would ever use it again, and nothing else would end that.
func TestOneWayMachinesAreReturned(t *testing.T) {
	for why, c := range map[string]struct {
		spoil func(*Region, string, time.Time)
		each  int
	}{"hears nothing": {(*Region).LoseInbound, 2}, "reaches no node": {(*Region).LoseOutbound, 4}} {
		t.Run(why, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, marks := simulateOneWayDay(t, why, c.spoil, 7*time.Minute, c.each, true)
				there := r.Machines(false)
				for name := range marks {
					if slices.Contains(there, name) {
						t.Errorf("%s is still there", name)
					}
				}
			})
		})
	}
}
