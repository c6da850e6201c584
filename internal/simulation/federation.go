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

// controllerRestartGap is the time between a controller's kill and its start in a rolling restart of a cell.
const controllerRestartGap = time.Second

// Federation is a set of regions that form cells. They share one clock and one checker, and links connect them.
type Federation struct {
	Checker *InvariantChecker
	Regions map[string]*Region // by cell

	maxOffloadedTasks int
	mu                sync.Mutex // guards the fields below
	random            *rand.Rand
	linkFaults        []LinkFault
	cells             map[string]*cellState
	removed           []config.ForgottenCell // cells that the operators of the other cells have removed
	messages          messageCount
}

// cellState holds the settings of a cell that its operators change.
type cellState struct {
	epoch    uint64
	draining bool
}

// messageCount counts the messages between cells that got a response.
type messageCount struct {
	messages int
	bytes    int // of the messages and their responses
}

// FederationOptions configure a federation.
type FederationOptions struct {
	Cells             []string
	Settings          func(cell string, index int) *config.Settings // of a cell's controllers
	MachineTypes      []wire.MachineType
	CapacityPerKind   int // machines that can be rented in each cell; see RegionOptions
	MaxOffloadedTasks int // maximum number of tasks of other cells that each cell runs
	Random            *rand.Rand
	Log               *slog.Logger
}

// NewFederation starts all cells with controllersPerCell controllers each.
func NewFederation(ctx context.Context, options FederationOptions) *Federation {
	f := &Federation{
		Checker:           NewInvariantChecker(options.Settings(options.Cells[0], 0)),
		Regions:           map[string]*Region{},
		maxOffloadedTasks: options.MaxOffloadedTasks,
		random:            newRandom(options.Random.Uint64(), streamCellLinks),
		cells:             map[string]*cellState{},
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

// configureOperator sets the operators' settings of a cell that concern the cell itself and the other cells.
func (f *Federation) configureOperator(operator *config.Operator, cell string, cells []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	operator.CellName = cell
	operator.CellEpoch = f.cells[cell].epoch
	operator.MaxOffloadedTasks = f.maxOffloadedTasks
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

// SimulateUser simulates the user of one job in a cell until ctx ends. The job's tasks may run in any cell.
func (f *Federation) SimulateUser(ctx context.Context, cell string, job userJob) {
	for _, region := range f.Regions {
		region.SetRunTime(job.spec.ID, job.runSeconds)
	}
	f.Regions[cell].SimulateUser(ctx, job)
}

// SimulateUserAfter simulates the user of one job in a cell after a delay. It doesn't block.
func (f *Federation) SimulateUserAfter(ctx context.Context, cell string, delay time.Duration, job userJob) {
	f.Regions[cell].wg.Go(func() {
		time.Sleep(delay)
		f.SimulateUser(ctx, cell, job)
	})
}

// SetDraining sets whether a cell rejects the jobs that other cells offload, and restarts its controllers one by one.
func (f *Federation) SetDraining(ctx context.Context, cell string, draining bool) {
	f.mu.Lock()
	f.cells[cell].draining = draining
	f.mu.Unlock()
	f.restartControllers(ctx, cell)
}

// RemoveCell removes a cell with its machines for good. After a delay, the operators add it to the list of removed
// cells, and the controllers of the notified cell restart with that list. RemoveCell blocks until they have restarted.
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

// restartControllers restarts the controllers of a cell one by one.
func (f *Federation) restartControllers(ctx context.Context, cell string) {
	region := f.Regions[cell]
	for i := range region.ControllerCount() {
		region.KillController(i)
		time.Sleep(controllerRestartGap)
		region.StartController(ctx, i)
	}
}

// StopCell kills all controllers of a cell and starts them again after a duration. It doesn't wait for the start.
func (f *Federation) StopCell(ctx context.Context, cell string, duration time.Duration) {
	region := f.Regions[cell]
	region.KillAllControllers()
	region.wg.Go(func() {
		time.Sleep(duration)
		region.StartAllControllers(ctx)
	})
}

// RestoreSnapshot simulates that a cell's key-value store loses all writes since a snapshot. It kills the cell's
// controllers and returns. After a duration, all of the cell's machines are deleted, the snapshot is restored, and the
// controllers start with the next epoch.
func (f *Federation) RestoreSnapshot(
	ctx context.Context, cell string, rows map[string]wire.KeyValue, duration time.Duration,
) {
	region := f.Regions[cell]
	region.KillAllControllers()
	region.wg.Go(func() {
		time.Sleep(duration)
		region.DeleteMachines(region.Machines())
		region.KV.Restore(rows)
		f.mu.Lock()
		f.cells[cell].epoch++
		f.mu.Unlock()
		region.StartAllControllers(ctx)
	})
}

// Wait blocks until all goroutines of all regions have exited.
func (f *Federation) Wait() {
	for _, region := range f.Regions {
		region.Wait()
	}
}
