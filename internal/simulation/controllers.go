package simulation

import (
	"context"
	"sync/atomic"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/controller"
	"sableusher/internal/peerrpc"
	"sableusher/internal/tuning"
)

// Controller is a controller under test with its current process. Each start creates a new process under the same
// name and address.
type Controller struct {
	Settings      *config.Settings
	Address       string
	SchemaVersion int // the newest schema version that the process reads; set before it starts

	// The region's lock guards the fields below.
	stop        context.CancelFunc
	alive       *atomic.Bool  // nil before the first start
	exited      chan struct{} // closed when the process has exited
	registry    peerrpc.AgentRegistry
	cellHandler peerrpc.CellHandler // handles messages from other cells; nil if there are none
}

func (c *Controller) isAlive() bool { return c.alive != nil && c.alive.Load() }

// AddController adds a controller of the newest schema version and starts it.
func (r *Region) AddController(ctx context.Context, settings *config.Settings) {
	r.AddStoppedController(settings, tuning.SchemaVersion)
	r.StartController(ctx, len(r.controllers)-1)
}

// AddStoppedController adds a controller that has not been started.
func (r *Region) AddStoppedController(settings *config.Settings, schemaVersion int) {
	r.controllers = append(r.controllers, &Controller{
		Settings:      settings,
		Address:       settings.Listen,
		SchemaVersion: schemaVersion,
	})
}

// StartController starts a controller as a new process, which exits when it is killed or ctx ends. It panics if the
// operators' settings can't be loaded or the controller can't be created.
func (r *Region) StartController(ctx context.Context, index int) {
	process := r.controllers[index]
	ctx, cancel := context.WithCancel(ctx)
	alive := &atomic.Bool{}
	alive.Store(true)
	var registry peerrpc.AgentRegistry
	connectPeers := func(own peerrpc.AgentRegistry) (controller.PeerTransport, error) {
		registry = own
		return fakePeers{r, process}, nil
	}
	operator := r.operatorSettings()
	r.mu.Lock()
	incarnation := r.random.Uint64N(1<<40) + 1
	r.mu.Unlock()
	name := process.Settings.Node
	node, err := controller.New(controller.Config{
		Settings:      process.Settings,
		Operator:      operator,
		Incarnation:   incarnation,
		SchemaVersion: process.SchemaVersion,
		Transport:     r.Network.Transport(name, alive.Load),
		ConnectPeers:  connectPeers,
		Logger:        r.Log.With("node", name),
	})
	if err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	r.mu.Lock()
	process.stop, process.alive, process.exited, process.registry = cancel, alive, exited, registry
	r.mu.Unlock()
	r.Network.Listen(process.Address, &Host{name, node.Handler(), alwaysAlive})
	r.wg.Go(func() {
		_ = node.Run(ctx) // returns the error of ctx, as all loops run until ctx ends
		close(exited)
	})
}

// operatorSettings returns the operators' settings that a starting controller reads.
func (r *Region) operatorSettings() *config.Operator {
	operator, err := config.LoadOperator("")
	if err != nil {
		panic(err)
	}
	if r.configureOperator != nil {
		r.configureOperator(operator)
	}
	return operator
}

// KillController kills a controller's process without a shutdown, and waits until it has exited.
func (r *Region) KillController(index int) {
	process := r.controllers[index]
	r.mu.Lock()
	alive, stop, exited := process.alive, process.stop, process.exited
	r.mu.Unlock()
	alive.Store(false)
	r.Network.Listen(process.Address, nil)
	stop()
	<-exited
}

func (r *Region) controllerIsAlive(index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[index].isAlive()
}

// KillAllControllers kills all controllers, one after the other.
func (r *Region) KillAllControllers() {
	for i := range r.controllers {
		r.KillController(i)
	}
}

// StartAllControllers starts all controllers, one after the other.
func (r *Region) StartAllControllers(ctx context.Context) {
	for i := range r.controllers {
		r.StartController(ctx, i)
	}
}

// StartControllerAfter starts a controller after a delay. It doesn't block.
func (r *Region) StartControllerAfter(ctx context.Context, index int, delay time.Duration) {
	r.wg.Go(func() {
		time.Sleep(delay)
		r.StartController(ctx, index)
	})
}

// ControllerCount returns the number of controllers, those that are stopped included.
func (r *Region) ControllerCount() int { return len(r.controllers) }

// ControllerName returns the name of a controller.
func (r *Region) ControllerName(index int) string { return r.controllers[index].Settings.Node }

// randomController returns a random controller, which may be stopped.
func (r *Region) randomController() *Controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[r.random.IntN(len(r.controllers))]
}
