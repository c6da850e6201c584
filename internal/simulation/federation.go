package simulation

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// controllersPerCell is how many controllers each cell of a federation has.
const controllersPerCell = 3

// controllerRestartGap passes between a controller's end and its start where all of a cell restart in turn.
const controllerRestartGap = time.Second

// Federation is several regions, as cells, under one clock and one checker, with links between their leaders.
type Federation struct {
	Checker *InvariantChecker
	Regions map[string]*Region // by cell

	guestLimit int
	mu         sync.Mutex // guards all that follows
	random     *rand.Rand
	linkFaults []LinkFault
	cells      map[string]*cellState
	removed    []config.ForgottenCell // cells that the operators of all others have removed
	messages   messageCount
}

// cellState is what the operators of a cell have set.
type cellState struct {
	epoch    uint64
	draining bool
}

// messageCount counts the messages between cells that were answered.
type messageCount struct {
	messages int
	bytes    int // with their answers
}

// FederationOptions are what a federation is made of.
type FederationOptions struct {
	Cells           []string
	Settings        func(cell string, index int) *config.Settings // of a cell's controllers
	MachineTypes    []wire.MachineType
	CapacityPerKind int // machines to be had in each cell
	GuestLimit      int // tasks of others that each cell takes
	Random          *rand.Rand
	Log             *slog.Logger
}

// NewFederation starts cells of three controllers each.
func NewFederation(ctx context.Context, options FederationOptions) *Federation {
	f := &Federation{
		Checker:    NewInvariantChecker(options.Settings(options.Cells[0], 0)),
		Regions:    map[string]*Region{},
		guestLimit: options.GuestLimit,
		random:     newRandom(options.Random.Uint64(), streamCellLinks),
		cells:      map[string]*cellState{},
	}
	for _, cell := range options.Cells {
		f.cells[cell] = &cellState{epoch: 1}
		region := NewRegion(ctx, RegionOptions{
			Settings:          options.Settings(cell, 0),
			MachineTypes:      options.MachineTypes,
			CapacityPerKind:   options.CapacityPerKind,
			Random:            newRandom(options.Random.Uint64(), streamCell),
			Log:               options.Log.With("cell", cell),
			MachinePrefix:     cell + "-",
			ConfigureOperator: func(operator *config.Operator) { f.configureOperator(operator, cell, options.Cells) },
			Checker:           f.Checker,
		})
		region.federation = f
		f.Regions[cell] = region
	}
	for _, cell := range options.Cells {
		for i := range controllersPerCell {
			f.Regions[cell].AddController(ctx, options.Settings(cell, i))
		}
	}
	return f
}

// configureOperator sets what the operators of a cell say of it and of the others.
func (f *Federation) configureOperator(operator *config.Operator, cell string, cells []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	operator.CellName = cell
	operator.CellEpoch = f.cells[cell].epoch
	operator.MaxOffloadedTasks = f.guestLimit
	operator.CellDraining = f.cells[cell].draining
	for _, other := range cells {
		if other == cell {
			continue
		}
		for _, removed := range f.removed {
			if removed.Name == other {
				operator.ForgottenCells = append(operator.ForgottenCells, removed)
			}
		}
		operator.Cells = append(operator.Cells, config.Cell{Name: other, Nodes: "-", TransferSeconds: 1})
	}
}

// SimulateUser plays one job's user in a cell.
func (f *Federation) SimulateUser(ctx context.Context, cell string, job userJob) {
	for _, region := range f.Regions {
		region.SetRunTime(job.spec.ID, job.runSeconds)
	}
	f.Regions[cell].SimulateUser(ctx, job)
}

// SimulateUserAfter plays one job's user in a cell once a time has passed.
func (f *Federation) SimulateUserAfter(ctx context.Context, cell string, delay time.Duration, job userJob) {
	f.Regions[cell].wg.Go(func() {
		time.Sleep(delay)
		f.SimulateUser(ctx, cell, job)
	})
}

// SetDraining changes whether a cell takes work of others, and restarts its controllers one by one.
func (f *Federation) SetDraining(ctx context.Context, cell string, draining bool) {
	f.mu.Lock()
	f.cells[cell].draining = draining
	f.mu.Unlock()
	f.restartControllers(ctx, cell)
}

// RemoveCell takes a cell away for good, with its machines, and after a while the operators of another
// one say so.
func (f *Federation) RemoveCell(ctx context.Context, cell string, delay time.Duration, notified string) {
	region := f.Regions[cell]
	region.KillAllControllers()
	region.RemoveAllMachines()
	time.Sleep(delay)
	f.mu.Lock()
	f.removed = append(f.removed, config.ForgottenCell{Name: cell, Epoch: f.cells[cell].epoch})
	f.mu.Unlock()
	f.restartControllers(ctx, notified)
}

func (f *Federation) restartControllers(ctx context.Context, cell string) {
	region := f.Regions[cell]
	for i := range region.ControllerCount() {
		region.KillController(i)
		time.Sleep(controllerRestartGap)
		region.StartController(ctx, i)
	}
}

// StopCell ends all of a cell's controllers for a while.
func (f *Federation) StopCell(ctx context.Context, cell string, duration time.Duration) {
	region := f.Regions[cell]
	region.KillAllControllers()
	region.wg.Go(func() {
		time.Sleep(duration)
		region.StartAllControllers(ctx)
	})
}

// RestoreSnapshot lets a cell's key-value store lose what was written since a snapshot: its controllers end,
// all its machines are returned, the snapshot is put back, and they start under the next epoch.
func (f *Federation) RestoreSnapshot(
	ctx context.Context, cell string, rows map[string]wire.KeyValue, duration time.Duration,
) {
	region := f.Regions[cell]
	region.KillAllControllers()
	region.wg.Go(func() {
		time.Sleep(duration)
		region.ReturnMachines(region.Machines())
		region.KV.Restore(rows)
		f.mu.Lock()
		f.cells[cell].epoch++
		f.mu.Unlock()
		region.StartAllControllers(ctx)
	})
}

// Wait returns once all goroutines of all regions have ended.
func (f *Federation) Wait() {
	for _, region := range f.Regions {
		region.Wait()
	}
}
