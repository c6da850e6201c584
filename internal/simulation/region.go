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
	// advanceInterval is the interval at which machines and tasks advance.
	advanceInterval = 100 * time.Millisecond
	// stepsPerListing is the number of advance steps between two listings of the cloud's machines.
	stepsPerListing = 10
)

// Region is one deployment: real controllers, and fakes of the systems around them.
type Region struct {
	Settings *config.Settings
	Network  *FakeNetwork
	KV       *FakeKV
	Checker  *InvariantChecker
	Log      *slog.Logger
	// ConfirmsCancellationsEarly simulates a defect that the checker must detect: users receive the confirmation
	// of a cancellation that is recorded but not yet confirmed.
	ConfirmsCancellationsEarly bool

	configureOperator func(*config.Operator)
	federation        *Federation // nil if the region is not a cell of a federation
	wg                sync.WaitGroup
	controllers       []*Controller

	mu         sync.Mutex // guards the fields below, and the state of the cloud and the agents
	random     *rand.Rand
	cloud      *fakeCloud
	agents     map[string]*fakeAgent // by machine
	workload   workload
	heartbeats heartbeatFaults
	commands   commandFaults
	users      userFaults
}

// workload is the behavior of the jobs' programs, which doesn't depend on the controllers.
type workload struct {
	runSeconds   map[string]float64      // by job
	checkpointed map[record.TaskRef]bool // tasks that resume from a checkpoint
	failures     map[record.TaskRef]int  // how many more times each task will fail
}

// RegionOptions configure a region.
type RegionOptions struct {
	Settings        *config.Settings // of any of its controllers
	MachineTypes    []wire.MachineType
	CapacityPerKind int // machines that can be rented per machine type and zone, for each of spot and on demand
	Random          *rand.Rand
	Log             *slog.Logger
	// MachinePrefix is the prefix of the names of its machines.
	MachinePrefix string
	// ConfigureOperator, unless nil, changes the operators' settings that each controller reads when it starts.
	ConfigureOperator func(*config.Operator)
	// Checker may be shared with other regions. If it is nil, NewRegion creates one.
	Checker *InvariantChecker
}

// NewRegion starts a region without controllers. Its goroutines exit when ctx ends; Wait waits for them.
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

// storeLimits returns the limits of a deployment's key-value store at the start of a simulation run.
func storeLimits(settings *config.Settings) config.KVLimits {
	state := &settings.Deployment.State
	return config.KVLimits{
		RPS:      state.RPS,
		WriteRPS: state.WriteRPS,
		ValueKB:  state.ValueKB,
		TxnOps:   state.TxnOps,
	}
}

// Wait blocks until all goroutines of the region have exited.
func (r *Region) Wait() { r.wg.Wait() }

// SetRunTime sets how long a job's tasks run.
func (r *Region) SetRunTime(jobID string, seconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.runSeconds[jobID] = seconds
}

// InjectTaskFailures makes a task's program fail a number of times before it can complete.
func (r *Region) InjectTaskFailures(task record.TaskRef, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.failures[task] = times
}

// remaining returns how long a task runs: the job's run time, or half of it if the task resumes from a checkpoint.
func (l *workload) remaining(task record.TaskRef) time.Duration {
	seconds := l.runSeconds[task.JobID]
	if l.checkpointed[task] {
		seconds /= 2
	}
	return config.ToDuration(seconds)
}

// advanceLoop advances machines and tasks until ctx ends. It also runs the checks that no event triggers: deadlines,
// and jobs that wait although capacity for them is free.
func (r *Region) advanceLoop(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		time.Sleep(advanceInterval)
		takesListing := step%stepsPerListing == 0
		capacities := r.advance(ctx, takesListing)
		r.Checker.CheckDeadlines()
		if takesListing {
			r.Checker.CheckStartableJobs(capacities)
		}
	}
}

// advance executes one step: machines that have booted start their agents, and tasks advance. If takesListing is
// true, it also takes a listing of the cloud's machines and returns the free capacity.
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

// freeCapacities returns the free capacity of the usable machines. Callers hold the lock.
func (r *Region) freeCapacities() []FreeCapacity {
	var out []FreeCapacity
	for _, agent := range r.agents {
		if agent.usable() {
			out = append(out, FreeCapacity{agent.placement(), agent.freeResources()})
		}
	}
	return out
}
