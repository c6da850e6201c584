package simulation

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

const (
	// agentStep is the interval at which machines and tasks advance.
	agentStep = 100 * time.Millisecond
	// stepsPerListing is how many of them lie between two listings of the cloud.
	stepsPerListing = 10
)

// Region is one deployment: real controllers with fakes around them.
type Region struct {
	Settings *config.Settings
	Network  *FakeNetwork
	KV       *FakeKV
	Checker  *InvariantChecker
	Log      *slog.Logger
	// ConfirmsCancellationsEarly plants a defect: users are told of cancellations that are recorded and
	// not yet confirmed.
	ConfirmsCancellationsEarly bool

	configureOperator func(*config.Operator)
	federation        *Federation // nil for a region without other cells
	wg                sync.WaitGroup
	controllers       []*Controller

	mu         sync.Mutex // guards all that follows, and the state of cloud and agents
	random     *rand.Rand
	cloud      *fakeCloud
	agents     map[string]*fakeAgent // by machine
	workload   workload
	heartbeats heartbeatFaults
	users      userFaults
}

// workload is what the jobs' programs do, whatever the controllers decide.
type workload struct {
	runSeconds   map[string]float64      // by job
	checkpointed map[record.TaskRef]bool // tasks that go on from a checkpoint
	failures     map[record.TaskRef]int  // failures that tasks still have before them
}

// RegionOptions are what a region is made of.
type RegionOptions struct {
	Settings        *config.Settings // of any of its controllers
	MachineTypes    []wire.MachineType
	CapacityPerKind int // machines to be had of each type, in each zone, spot and on demand
	Random          *rand.Rand
	Log             *slog.Logger
	// MachinePrefix begins the names of its machines.
	MachinePrefix string
	// ConfigureOperator, unless nil, changes the operators' settings as each controller reads them that starts.
	ConfigureOperator func(*config.Operator)
	// Checker may watch other regions too; nil: one of its own.
	Checker *InvariantChecker
}

// NewRegion starts a region without controllers. Its goroutines end with the context; Wait waits for them.
func NewRegion(ctx context.Context, options RegionOptions) *Region {
	settings := options.Settings
	r := &Region{
		Settings:          settings,
		Network:           NewFakeNetwork(newRandom(options.Random.Uint64(), streamNetwork)),
		KV:                NewFakeKV(storeLimits(settings)),
		Checker:           options.Checker,
		Log:               options.Log,
		configureOperator: options.ConfigureOperator,
		random:            options.Random,
		agents:            map[string]*fakeAgent{},
		workload: workload{
			runSeconds:   map[string]float64{},
			checkpointed: map[record.TaskRef]bool{},
			failures:     map[record.TaskRef]int{},
		},
		heartbeats: heartbeatFaults{captured: map[string]capturedHeartbeat{}},
	}
	if r.Checker == nil {
		r.Checker = NewInvariantChecker(settings)
	}
	r.cloud = newFakeCloud(r, options)
	r.Network.Listen(settings.Outside.State, &Host{hostKV, r.KV, alwaysAlive})
	r.Network.Listen(settings.Outside.Cloud, &Host{hostCloud, r.cloud, alwaysAlive})
	r.wg.Go(func() { r.advanceLoop(ctx) })
	return r
}

// storeLimits are the limits of a deployment's key-value store as the day begins.
func storeLimits(settings *config.Settings) config.KVLimits {
	state := &settings.Deployment.State
	return config.KVLimits{
		RPS:      state.RPS,
		WriteRPS: state.WriteRPS,
		ValueKB:  state.ValueKB,
		TxnOps:   state.TxnOps,
	}
}

// Wait returns once all goroutines of the region have ended.
func (r *Region) Wait() { r.wg.Wait() }

// SetRunTime sets how long a job's tasks run.
func (r *Region) SetRunTime(jobID string, seconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.runSeconds[jobID] = seconds
}

// InjectTaskFailures lets a task fail by itself so many times before it can complete.
func (r *Region) InjectTaskFailures(task record.TaskRef, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.failures[task] = times
}

// remaining gives how long a task runs; half of the job's time from a checkpoint on.
func (l *workload) remaining(task record.TaskRef) time.Duration {
	seconds := l.runSeconds[task.JobID]
	if l.checkpointed[task] {
		seconds /= 2
	}
	return config.ToDuration(seconds)
}

// advanceLoop advances machines and tasks, and lets the checker look at what only time can break.
func (r *Region) advanceLoop(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		time.Sleep(agentStep)
		takesListing := step%stepsPerListing == 0
		capacities := r.advance(ctx, takesListing)
		r.Checker.CheckDeadlines()
		if takesListing {
			r.Checker.CheckStartableJobs(capacities)
		}
	}
}

// advance makes one step; with a listing of the cloud, it gives what is free then.
func (r *Region) advance(ctx context.Context, takesListing bool) []FreeCapacity {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, machine := range r.cloud.machines {
		if machine.State == wire.MachineBooting && !machine.bootedAt.IsZero() && now.After(machine.bootedAt) {
			machine.State = wire.MachineRunning
			r.bootAgent(ctx, machine)
		}
	}
	for _, machine := range r.cloud.machines {
		if agent := r.agents[machine.ID]; agent != nil {
			agent.advance(ctx, now)
		}
	}
	if !takesListing {
		return nil
	}
	capacities := r.freeCapacities()
	r.cloud.takeListing(now)
	return capacities
}

// freeCapacities gives what is free on the machines that can be reached. Callers hold the lock.
func (r *Region) freeCapacities() []FreeCapacity {
	var out []FreeCapacity
	for _, agent := range r.agents {
		if agent.reachable() {
			out = append(out, FreeCapacity{agent.placement(), agent.freeResources()})
		}
	}
	return out
}
