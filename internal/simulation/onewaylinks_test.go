package simulation

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// oneWayDay is a day of gangs and services on which one in some machines can be reached in one direction only
// for longer than a lease.
type oneWayDay struct {
	reason         string // for which a controller records such a machine as down
	lose           func(r *Region, machine string, until time.Time)
	duration       time.Duration
	oneIn          int
	wholeShard     bool // all machines of one controller that is not the leader are among them
	leaderRestarts bool
	// oneController: there is no other one to which agents without answers go on.
	oneController bool
	// mayAllBeGivenUp: all of the machines may be given up, or recorded as down with a new session, before one is
	// recorded for the loss alone.
	mayAllBeGivenUp bool
}

// inboundLostDay has half of the machines hear nothing.
//
// Once no machine at all was recorded for it (TestOneWayMachinesAreReturned, in one run of the whole suite). Traced:
// of the 17 to 20 machines of a day, 1 to 16 are recorded in 260 plays. An agent without answers goes on to the next
// controller and comes back to its owner only after 15 s, so the owner gives others up before: "deleting a machine"
// with the reason "silent for 11s", 6 to 28 s after the loss. Others are recorded as down in one change with the
// session that follows their lease. That all are so is allowed: none keeps its capacity, which every such day checks
// by the records. That machines are recorded for the loss alone is asked of the day with one controller, where none
// can go on to another: it always has them.
func inboundLostDay(duration time.Duration) oneWayDay {
	return oneWayDay{
		reason: reasonInboundLost, lose: (*Region).LoseInbound, duration: duration, oneIn: 2, leaderRestarts: true,
		mayAllBeGivenUp: true,
	}
}

// oneControllerSettings are those of a deployment of one controller.
func oneControllerSettings(index int) *config.Settings {
	settings := faultDaySettings(index)
	settings.Peers, settings.Deployment.NodeCount = nil, 1
	return settings
}

func (d oneWayDay) startRegion(ctx context.Context, log *slog.Logger) *Region {
	region := testRegion{
		settings: faultDaySettings, capacityPerKind: 10, random: newRandom(7, streamRegion), log: log,
	}
	if d.oneController {
		region.settings = oneControllerSettings
		return region.startControllers(ctx, 1)
	}
	return region.startControllers(ctx, threeControllers)
}

// outboundLostDay has a quarter of the machines reach no controller. Were most of a controller's so, it would
// be the controller.
func outboundLostDay(duration time.Duration) oneWayDay {
	return oneWayDay{reason: reasonOutboundLost, lose: (*Region).LoseOutbound, duration: duration, oneIn: 4}
}

// randomOneWayJob draws when a job comes: every fourth is a service that comes early.
func randomOneWayJob(random *rand.Rand, index int) (delay time.Duration, job userJob) {
	delay = secondsBetween(random, 30, 90)
	spec := newSpec(index+1, wire.KindGang)
	spec.Class, spec.TaskCount, spec.CPUs, spec.GPUs = "g", 2, 16, 2
	spec.RuntimeEstimateSeconds = 20
	if index%4 != 0 {
		return delay, userJob{spec: spec, runSeconds: 40}
	}
	spec.Kind, spec.Priority, spec.TaskCount = wire.KindService, wire.PriorityProduction, 3
	spec.CPUs, spec.GPUs, spec.RuntimeEstimateSeconds = 4, 1, 0
	return time.Duration(index/4) * time.Second, userJob{spec, 40, 10 * time.Minute}
}

// simulate plays the day. It gives the machines that were recorded for it, and fails if one was so twice, or if a
// task was bound to one between then and its coming up again.
func (d oneWayDay) simulate(t *testing.T) (r *Region, recorded []string) {
	t.Helper()
	const jobs = 60
	ctx, cancel := context.WithCancel(context.Background())
	logged, random := &logRecorder{}, newRandom(7, streamOneWayDay)
	r = d.startRegion(ctx, logged.logger(slog.LevelDebug))
	for i := range jobs {
		delay, job := randomOneWayJob(random, i)
		r.SimulateUserAfter(ctx, delay, job)
	}
	time.Sleep(60 * time.Second)
	lost, stillUp := d.loseMachines(r), []string(nil)
	r.wg.Go(func() {
		time.Sleep(d.duration - time.Second)
		stillUp = r.recordedAsUp(lost)
	})
	time.Sleep(2 * time.Second)
	if d.leaderRestarts {
		r.RestartController(ctx, r.LeaderIndex(), 4*time.Second)
	}
	time.Sleep(5*time.Minute + d.duration - 80*time.Second)
	r.Checker.CheckServedShares()
	r.end(cancel)
	checkDay(t, r)
	recorded = d.checkLog(t, logged.records)
	if len(recorded) == 0 && !d.mayAllBeGivenUp {
		t.Errorf("no machine was recorded as down, %s", d.reason)
	}
	if d.reason == reasonInboundLost && len(stillUp) > 0 {
		t.Errorf("%v of %d machines that lost a link are recorded as up as it comes back", stillUp, len(lost))
	}
	t.Log(len(recorded), "machines were recorded for it;", r.Checker.Observed)
	return r, recorded
}

// loseMachines lets the machines lose their links, and gives them.
func (d oneWayDay) loseMachines(r *Region) (lost []string) {
	wholeShard := (r.LeaderIndex() + 1) % r.ControllerCount()
	for i, machine := range r.Machines() {
		inWholeShard := d.wholeShard && record.ShardOf(machine, threeControllers) == wholeShard
		if i%d.oneIn == 0 || inWholeShard {
			d.lose(r, machine, time.Now().Add(d.duration))
			lost = append(lost, machine)
		}
	}
	return lost
}

// recordedAsUp gives those of the machines that are there and whose records say that they are up.
func (r *Region) recordedAsUp(machines []string) (up []string) {
	present, records := r.Machines(), r.KV.Snapshot()
	for _, machine := range machines {
		var stored record.Machine
		row, exists := records[record.MachineKey(machine)]
		if exists && wire.Decode(row.Value, &stored) == nil && stored.Up && !stored.Deleting &&
			slices.Contains(present, machine) {
			up = append(up, machine)
		}
	}
	return up
}

// watchDelay is how long a controller's watch may take to show what another one has written: its budget spaces the
// requests of a watch by up to a tenth of a second, and a request and its answer take up to 205 ms each on the fake
// network. Machines stay down for tens of seconds, and a cycle comes several times a second.
const watchDelay = 500 * time.Millisecond

// recordedDown is since when a machine is recorded as down, and by which controller.
type recordedDown struct {
	node string
	at   time.Time
}

// isKnownTo tells whether a controller knows of it at a time: the one that wrote it at once, another one when its
// watch has shown it.
func (d recordedDown) isKnownTo(node string, at time.Time) bool {
	return node == d.node || at.Sub(d.at) > watchDelay
}

// checkLog checks that no controller bound a task to a machine that it knew to be recorded as down, and that none
// was recorded twice.
func (d oneWayDay) checkLog(t *testing.T, lines []logRecord) (recorded []string) {
	t.Helper()
	down, records, bindings := map[string]recordedDown{}, map[string]int{}, 0
	reasons := map[string]string{} // why a machine was last to be recorded as down
	for _, line := range lines {
		machine, subject := line.attributes[keyMachine], line.attributes[keySubject]
		node, change := line.attributes[keyNode], line.attributes[keyChange]
		switch {
		case line.message == messageTaskBound:
			bindings++
			if since, ok := down[machine]; ok && since.isKnownTo(node, line.time) {
				t.Errorf("bound to a machine that is down, %s: %+v", d.reason, line)
			}
		case line.message == messageMachineMarkedDown:
			reasons[machine] = line.attributes[keyReason]
		case line.message == messageChangeApplied && change == changeMachineUp:
			delete(down, subject)
		case line.message == messageChangeApplied && change == changeMachineDown:
			delete(down, subject)
			if reasons[subject] == d.reason {
				down[subject] = recordedDown{node, line.time}
				records[subject]++
			}
		}
	}
	if bindings == 0 {
		t.Error("no task was bound")
	}
	for machine, count := range records {
		recorded = append(recorded, machine)
		if count > 1 {
			t.Errorf("%s was recorded %d times", machine, count)
		}
	}
	return recorded
}

// checkReturned fails if one of the machines is still there.
func checkReturned(t *testing.T, r *Region, machines []string) {
	t.Helper()
	remaining := r.Machines()
	for _, machine := range machines {
		if slices.Contains(remaining, machine) {
			t.Errorf("%s is still there", machine)
		}
	}
}

// TestInboundLostMachinesReceiveNoTasks: half of the machines hear nothing for longer than a lease, and the
// leader ends meanwhile. From when a machine's record says so, no controller binds a task to it before it hears
// again, so gangs and services that come meanwhile start on others; and it is recorded once.
func TestInboundLostMachinesReceiveNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { inboundLostDay(80 * time.Second).simulate(t) })
}

// TestInboundLostMachinesOfOneController: a deployment of one controller records each machine that hears nothing, and
// returns it once nothing is left on it: its agent asks the same controller again, so it is never silent.
func TestInboundLostMachinesOfOneController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		day := inboundLostDay(7 * time.Minute)
		day.oneController, day.leaderRestarts, day.mayAllBeGivenUp = true, false, false
		r, recorded := day.simulate(t)
		checkReturned(t, r, recorded)
	})
}

// TestOutboundLostMachinesAreEvacuated: a quarter of the machines reach no controller for longer than a lease, while
// commands reach them. Once such a machine looked ready whenever it answered one: task after task was started there
// and ended with its lease. Nothing is bound to it, and replicas have left it before the lease ends.
func TestOutboundLostMachinesAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := outboundLostDay(80 * time.Second).simulate(t)
		if count := r.Checker.Observed[ObservedServiceLeaseExpiry]; count > 0 {
			t.Errorf("%d replicas ended by lease expiry", count)
		}
	})
}

// TestOneWayMachinesAreReturned: what can be reached in one direction only, and stays so, is returned once
// nothing is left on it: nobody would ever use it again, and nothing else would end that.
func TestOneWayMachinesAreReturned(t *testing.T) {
	for _, day := range []oneWayDay{inboundLostDay(7 * time.Minute), outboundLostDay(7 * time.Minute)} {
		day.leaderRestarts = true
		t.Run(day.reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, recorded := day.simulate(t)
				checkReturned(t, r, recorded)
			})
		})
	}
}

// TestShardOfInboundLostMachines: all machines of a controller hear nothing, and half of the others. Each is recorded
// as down or given up by the time its link is back: one that is neither keeps its capacity for nothing, and what
// waits for it waits on.
//
// Once some were neither, and what was bound to them was released only 60 s later, 36 s after their leases. An agent
// that hears no answer goes on to the next controller, so in the few seconds for which an owner had not heard its
// machines another controller had heard most of them, and was given the shard; and so on. The log had "shard
// transferred: its agents send heartbeats elsewhere" for one shard every 5 s, after 9, 14, 20, 25, 34, 39, 45, 50
// and 67 s, and between them "direct command unanswered" from each owner, of which none had the shard for the
// tuning.InboundLostAfter of 6 s that a machine is recorded after.
func TestShardOfInboundLostMachines(t *testing.T) {
	for _, duration := range []time.Duration{80 * time.Second, 7 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				day := inboundLostDay(duration)
				day.wholeShard = true
				day.simulate(t)
			})
		})
	}
}
