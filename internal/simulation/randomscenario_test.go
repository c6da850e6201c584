package simulation

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// randomFault is a randomly selected fault, with all parameters that its kind may need.
type randomFault struct {
	injection
	duration    time.Duration
	controller  int
	deliverLate bool
}

// randomFaults are the faults that a scenario selects from at random. Their order must not change: with another order
// the same seed selects other faults.
var randomFaults = []struct {
	fault  Fault
	inject func(ctx context.Context, f randomFault)
}{
	{FaultControllerRestarts, func(ctx context.Context, f randomFault) {
		f.restart(ctx, f.controller)
		time.Sleep(7 * time.Second)
	}},
	{FaultAllControllersRestart, func(ctx context.Context, f randomFault) {
		for i := range f.region.ControllerCount() {
			f.restart(ctx, i)
		}
		time.Sleep(7 * time.Second)
	}},
	{FaultStoreOutage, func(_ context.Context, f randomFault) { f.region.KV.StartOutage(f.until) }},
	{FaultControllerRefused, func(_ context.Context, f randomFault) {
		f.region.KV.RefuseNode(f.controllerName(), f.until)
	}},
	{FaultControllerCutFromStore, func(_ context.Context, f randomFault) { f.partition(f.controllerName(), hostKV) }},
	{FaultControllerPartitioned, func(_ context.Context, f randomFault) { f.partition(f.controllerName(), anyHost) }},
	{FaultControllerCutFromMachines, func(_ context.Context, f randomFault) {
		for _, machine := range f.region.Machines() {
			f.partition(f.controllerName(), machine)
		}
	}},
	{FaultMachineFails, func(_ context.Context, f randomFault) { f.withMachine(f.region.FailMachine) }},
	{FaultMachineHangs, func(_ context.Context, f randomFault) {
		f.withMachine(func(machine string) { f.region.HangMachine(machine, f.duration+10*time.Second) })
	}},
	{FaultMachinePartitioned, func(_ context.Context, f randomFault) {
		f.withMachine(func(machine string) { f.partition(machine, anyHost) })
	}},
	{FaultSpotMachinesReclaimed, func(_ context.Context, f randomFault) {
		for _, machine := range f.region.SpotMachines() {
			if oneInTwo(f.random) {
				f.region.ReclaimMachine(machine, time.Duration(f.random.IntN(2)*8)*time.Second)
			}
		}
	}},
	{FaultCloudOutage, func(_ context.Context, f randomFault) { f.region.StartCloudOutage(f.until) }},
	{FaultZonePartitioned, func(_ context.Context, f randomFault) {
		zone := testZones[f.random.IntN(len(testZones))]
		f.region.PartitionZone(zone, f.deliverLate, f.until.Add(seconds(f.random, 60)))
	}},
}

// injectRandomFault selects a random fault and starts it.
func (r *Region) injectRandomFault(ctx context.Context, random *rand.Rand) {
	duration := secondsBetween(random, 5, 25)
	fault := randomFault{
		injection: injection{region: r, random: random, until: time.Now().Add(duration)},
		duration:  duration,
	}
	fault.controller = random.IntN(r.ControllerCount())
	fault.deliverLate = oneInTwo(random)
	kind := randomFaults[random.IntN(len(randomFaults))]
	kind.inject(ctx, fault)
	r.Log.Info("fault injected", "fault", kind.fault, "node", fault.controllerName(),
		"duration", duration, "deliver_late", fault.deliverLate)
}

// duplicateSomeCommands delivers a fifth of the answered direct commands again, in the first ten minutes of a scenario.
func (r *Region) duplicateSomeCommands(seed uint64) {
	r.DuplicateCommands(0.2, time.Now().Add(10*time.Minute), seed)
}

func (f *randomFault) controllerName() string { return f.region.ControllerName(f.controller) }

func (f *randomFault) restart(ctx context.Context, index int) {
	f.region.KillController(index)
	f.region.StartControllerAfter(ctx, index, 5*time.Second)
}

func (f *randomFault) partition(from, to string) {
	f.region.Network.AddPartition(Partition{From: from, To: to, DeliverLate: f.deliverLate, Until: f.until})
}

// withMachine calls a function with a random machine, if there is one.
func (f *randomFault) withMachine(call func(machine string)) {
	if machines := f.region.Machines(); len(machines) > 0 {
		call(machines[f.random.IntN(len(machines))])
	}
}

// simulateRandomScenario runs a scenario of generated jobs and faults.
func simulateRandomScenario(seed uint64) *Region {
	const jobs, faults = 30, 10
	random, start := newRandom(seed, streamScenario), time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	r := threeControllerRegion(ctx, 5, seed)
	r.duplicateSomeCommands(seed)
	r.wg.Go(func() { r.QueryUnknownJobs(ctx) })
	for i := range jobs {
		job := randomJob(random, i+1)
		r.SimulateUserAfter(ctx, seconds(random, 200), job)
	}
	time.Sleep(20 * time.Second)
	for range faults {
		time.Sleep(secondsBetween(random, 1, 25))
		r.injectRandomFault(ctx, random)
	}
	time.Sleep(5*time.Minute - time.Since(start)) // all jobs are submitted by then
	r.waitUntilFinished(90)
	time.Sleep(60 * time.Second)
	r.end(cancel)
	return r
}

// TestInvariantsUnderFaults runs three controllers through generated scenarios and checks every rule. STANDIN_DAYS
// sets the number of scenarios.
func TestInvariantsUnderFaults(t *testing.T) {
	simulateSeeds(t, "STANDIN_DAYS", 8, func(t *testing.T, seed uint64) {
		r := simulateRandomScenario(seed + 1)
		checkRun(t, r)
		if r.Checker.TaskStarts < 20 {
			t.Errorf("only %d tasks started", r.Checker.TaskStarts)
		}
	})
}
