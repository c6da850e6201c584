package simulation

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
	"sableusher/internal/zonehealth"
)

// logBuffer keeps what the controllers of a day log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(data)
}

var sessionLogPattern = regexp.MustCompile(`msg="session open" node=(\S+) .*incarnation=(\S+)`)

var zoneLogPattern = regexp.MustCompile(`msg="zone state changed" node=(\S+) zone=(\S+) state=(\S+)`)

// zoneStates gives the states that each node's last process has told of each zone, in turn.
func (l *logBuffer) zoneStates() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, process := map[string][]string{}, map[string]string{}
	for lines := bufio.NewScanner(&l.buf); lines.Scan(); {
		if m := sessionLogPattern.FindStringSubmatch(lines.Text()); m != nil && process[m[1]] != m[2] {
			process[m[1]] = m[2]
			maps.DeleteFunc(out, func(who string, _ []string) bool { return strings.HasPrefix(who, m[1]+" ") })
		}
		if m := zoneLogPattern.FindStringSubmatch(lines.Text()); m != nil {
			out[m[1]+" "+m[2]] = append(out[m[1]+" "+m[2]], m[3])
		}
	}
	return out
}

// runningTasks counts the tasks of a class that run.
func (r *Region) runningTasks(class string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.agents {
		for _, t := range w.tasks {
			if t.spec.Class == class && t.State == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

// TestZonesGoAndComeBack: zones are cut off and dead, one after the other, at once and again and
// again, in a burst of arrays and with the state service or the cloud away. Nobody does
// anything: no rule breaks, every job ends exactly once, the services have all their replicas
// in the end, and every node that saw a zone go sees it serve again.
func TestZoneOutages(t *testing.T) {
	days := []struct {
		name    string
		trouble func(*Region)
	}{
		{"flaps", func(r *Region) {
			for range 4 {
				r.PartitionZone("north", true, time.Now().Add(20*time.Second))
				time.Sleep(50 * time.Second)
			}
		}},
		{"back in an outage", func(r *Region) {
			r.PartitionZone("north", false, time.Now().Add(60*time.Second))
			time.Sleep(50 * time.Second)
			r.KV.StartOutage(time.Now().Add(25 * time.Second))
			r.StartCloudOutage(time.Now().Add(40 * time.Second))
		}},
		{"a second one", func(r *Region) {
			r.PartitionZone("north", true, time.Now().Add(100*time.Second))
			time.Sleep(30 * time.Second)
			r.PartitionZone("west", false, time.Now().Add(100*time.Second))
		}},
		{"dead", func(r *Region) {
			for m := range r.AgentSessions("north") {
				r.FailMachine(m)
			}
			time.Sleep(20 * time.Second)
			r.StartCloudOutage(time.Now().Add(30 * time.Second))
		}},
		{"everything is gone", func(r *Region) {
			time.Sleep(3 * time.Minute) // nothing waits any more for which a machine would be rented
			r.RemoveAllMachines()
		}},
		{"cut, and a leader ends", func(r *Region) {
			r.PartitionZone("north", true, time.Now().Add(130*time.Second))
			time.Sleep(20 * time.Second)
			r.Network.AddPartition(Partition{From: "node-0", To: "*", DeliverLate: true, Until: time.Now().Add(30 * time.Second)})
		}},
	}
	if n, err := strconv.Atoi(os.Getenv("STANDIN_DAYS")); err == nil {
		days = days[:min(n, len(days))]
	}
	for _, d := range days {
		t.Run(d.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateZoneDay(t, d.trouble) })
		})
	}
}

// TestFaultsAtEveryStage: a zone is cut off and comes back, and at a stage of that two further
// faults strike at once: each pair of them at each stage is a day. STAGE_DAYS=40 plays all, CI
// a few that have each stage and each fault.
func TestFaultsAtEveryStage(t *testing.T) {
	const away, short = 40 * time.Second, 15 * time.Second
	stages := []struct {
		name string
		at   time.Duration // after the cut began
	}{{"doubted", 2 * time.Second}, {"cut", 10 * time.Second}, {"lost", 32 * time.Second}, {"returning", away + 3*time.Second}}
	faults := []struct {
		name string
		do   func(*Region)
	}{
		{"a controller ends", func(r *Region) {
			r.KillController(0)
			r.wg.Go(func() {
				time.Sleep(5 * time.Second)
				r.StartController(0)
			})
		}},
		{"state out", func(r *Region) { r.KV.StartOutage(time.Now().Add(short)) }},
		{"cloud out", func(r *Region) { r.StartCloudOutage(time.Now().Add(short)) }},
		{"second zone", func(r *Region) { r.PartitionZone("west", false, time.Now().Add(short)) }},
		{"a controller cut off", func(r *Region) {
			r.Network.AddPartition(Partition{From: "node-2", To: "*", DeliverLate: true, Until: time.Now().Add(short)})
		}},
	}
	var pairs [][2]int
	for i := range faults {
		for j := range i {
			pairs = append(pairs, [2]int{j, i})
		}
	}
	for day := range min(environmentInt("STAGE_DAYS", 4), len(stages)*len(pairs)) {
		// Seven has no divisor with the number of pairs in common, so that all come in turn.
		stage, pair := stages[day%len(stages)], pairs[(day/len(stages)+7*day)%len(pairs)]
		t.Run(fmt.Sprintf("%s, %s, %s", stage.name, faults[pair[0]].name, faults[pair[1]].name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulateZoneDay(t, func(r *Region) {
					r.PartitionZone("north", true, time.Now().Add(away))
					time.Sleep(stage.at)
					faults[pair[0]].do(r)
					faults[pair[1]].do(r)
				})
			})
		})
	}
}

func simulateZoneDay(t *testing.T, trouble func(*Region)) {
	ctx, cancel := context.WithCancel(context.Background())
	var logged logBuffer
	r := NewRegion(ctx, testSettings(0), testTypes[:1], 30, rand.New(rand.NewPCG(5, 8)), slog.New(slog.NewTextHandler(&logged, nil)))
	for i := range 3 {
		r.AddController(testSettings(i))
	}
	rnd := rand.New(rand.NewPCG(5, 7))
	const services, arrays = 9, 24
	for i := range services {
		spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Class: "s", Team: "open", Kind: wire.KindService, Priority: wire.PriorityProduction,
			TaskCount: 6, CPUs: 16, GPUs: 4, MemoryGB: 80, Image: "img", ImageSizeGB: 1, Spread: true}
		r.wg.Go(func() { r.SimulateUser(ctx, spec, 5, 11*time.Minute) })
	}
	for i := range arrays {
		spec := wire.JobSpec{ID: fmt.Sprintf("run-%06d", services+i+1), Class: "a", Team: []string{"open", "bound"}[i%2], Kind: wire.KindArray, Priority: wire.PriorityNormal,
			TaskCount: 4 + rnd.IntN(20), CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageSizeGB: 1, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 15}, AllowSpot: true}
		run, at := 5+20*rnd.Float64(), time.Duration(70+rnd.IntN(60))*time.Second
		r.wg.Go(func() {
			time.Sleep(at)
			r.SimulateUser(ctx, spec, run, 0)
		})
	}
	time.Sleep(75 * time.Second)
	trouble(r)
	time.Sleep(5 * time.Minute) // the services still run, all else has had its time
	if up := r.runningTasks("s"); up != 6*services {
		t.Errorf("%d of %d replicas", up, 6*services)
	}
	if left := r.Checker.UnfinishedJobs(); len(left) > services {
		t.Errorf("never finished: %v", left)
	}
	time.Sleep(5 * time.Minute)
	cancel()
	r.checkZoneDay(t, &logged)
}

// checkZoneDay checks a day whose context is over: no rule broken, every job ended, every zone that a node
// saw go serves again.
func (r *Region) checkZoneDay(t *testing.T, logged *logBuffer) {
	r.Wait()
	time.Sleep(3 * time.Minute)
	if len(r.Checker.Violations)+len(r.KV.Violations) > 0 {
		t.Errorf("broken:\n%s\n%s", strings.Join(r.Checker.Violations, "\n"), strings.Join(r.KV.Violations, "\n"))
	}
	if left := r.Checker.UnfinishedJobs(); len(left) > 0 {
		t.Errorf("never finished: %v", left)
	}
	told := logged.zoneStates()
	if len(told) == 0 {
		t.Error("no node saw a zone go")
	}
	for who, states := range told {
		if last := states[len(states)-1]; last != zonehealth.Serving.String() {
			t.Errorf("%s ends as %s: %v", who, last, states)
		}
	}
}
