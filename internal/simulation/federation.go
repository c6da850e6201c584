package simulation

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/wire"
)

// LinkFault is an interruption between two cells; an empty name is any.
type LinkFault struct {
	From, To    string
	AnswersOnly bool // only answers are lost: what was asked is carried out
	DeliverLate bool // questions arrive late, when their senders have given up
	Until       time.Time
}

// Federation are several regions under one clock and one oracle, with links between their leaders.
type Federation struct {
	Checker   *InvariantChecker
	Regions   map[string]*Region
	cellNames []string

	mu         sync.Mutex
	linkFaults []LinkFault
	random     *rand.Rand
	epochs     map[string]uint64
	draining   map[string]bool
	// Gone are cells that the operators of all others have forgotten, under their epochs.
	forgotten []config.Forgotten
	// GuestLimit is how many tasks of others each cell takes, as controllers that start read it.
	GuestLimit int
	// MessagesSent counts the messages between cells, Bytes what they and their answers take.
	MessagesSent, BytesSent int
}

// NewFederation starts cells of three controllers each, with so many machines of each kind to be had;
// settings are those of a cell's controllers, of one name in all cells for the teams.
func NewFederation(ctx context.Context, names []string, settings func(cell string, i int) *config.Settings, machineTypes []wire.MachineType, capacityPerKind, guestLimit int, random *rand.Rand, log *slog.Logger) *Federation {
	c := &Federation{GuestLimit: guestLimit, Checker: NewInvariantChecker(settings(names[0], 0)), Regions: map[string]*Region{}, cellNames: names, random: rand.New(rand.NewPCG(random.Uint64(), 3)), epochs: map[string]uint64{}, draining: map[string]bool{}}
	for _, name := range names {
		c.epochs[name] = 1
		r := newRegionWithChecker(ctx, settings(name, 0), machineTypes, capacityPerKind, rand.New(rand.NewPCG(random.Uint64(), 2)), log.With("cell", name), c.Checker)
		r.Federation, r.MachinePrefix = c, name+"-"
		r.ConfigureOperator = func(op *config.Operator) {
			c.mu.Lock()
			defer c.mu.Unlock()
			op.CellName, op.CellEpoch, op.CellGuests, op.CellDrain = name, c.epochs[name], c.GuestLimit, c.draining[name]
			for _, o := range names {
				if o != name {
					for _, f := range c.forgotten {
						if f.Name == o {
							op.Forgotten = append(op.Forgotten, f)
						}
					}
					op.Cells = append(op.Cells, config.Cell{Name: o, Nodes: "-", TransferS: 1})
				}
			}
		}
		c.Regions[name] = r
	}
	for _, name := range names {
		for i := range 3 {
			c.Regions[name].AddController(settings(name, i))
		}
	}
	return c
}

// AddLinkFault interrupts the links between cells.
func (f *Federation) AddLinkFault(l LinkFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linkFaults = append(f.linkFaults, l)
}

func (f *Federation) activeLinkFault(from, to string) (LinkFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.linkFaults {
		if time.Now().Before(l.Until) && (l.From == "" || l.From == from) && (l.To == "" || l.To == to) {
			return l, true
		}
	}
	return LinkFault{}, false
}

// exchange carries a message to another cell's controllers, one after the other, and the answer
// back. One in ten arrives a second time, later.
func (f *Federation) exchange(ctx context.Context, to string, m offload.Message) (offload.Message, error) {
	body := wire.MustEncode(m)
	deliver := func(ctx context.Context) (offload.Message, error) {
		var q offload.Message
		if err := wire.Decode(body, &q); err != nil {
			return offload.Message{}, err
		}
		r := f.Regions[to]
		var errs []error
		for _, n := range r.controllers {
			r.mu.Lock()
			answer, up := n.answer, n.alive != nil && n.alive.Load()
			r.mu.Unlock()
			if answer == nil || !up {
				continue
			}
			reply, err := answer(ctx, q)
			if !n.alive.Load() {
				err = errConnectionReset
			}
			if err == nil {
				var out offload.Message
				b := wire.MustEncode(reply)
				f.mu.Lock()
				f.MessagesSent++
				f.BytesSent += len(body) + len(b)
				f.mu.Unlock()
				return out, wire.Decode(b, &out)
			}
			errs = append(errs, err)
		}
		return offload.Message{}, fmt.Errorf("cell %s: %w", to, errors.Join(append(errs, errConnectionReset)...))
	}
	f.mu.Lock()
	delay, duplicate := time.Duration(5+f.random.IntN(40))*time.Millisecond, f.random.IntN(10) == 0
	late := time.Duration(f.random.IntN(20_000)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(delay)
	l, cut := f.activeLinkFault(m.Cell, to)
	if duplicate || cut && l.DeliverLate {
		r := f.Regions[to]
		r.wg.Go(func() {
			if cut {
				late += time.Until(l.Until)
			}
			time.Sleep(late)
			_, _ = deliver(context.Background())
		})
	}
	if cut && !l.AnswersOnly {
		<-ctx.Done()
		return offload.Message{}, ctx.Err()
	}
	reply, err := deliver(ctx)
	if _, back := f.activeLinkFault(to, m.Cell); back || cut {
		<-ctx.Done()
		return offload.Message{}, ctx.Err()
	}
	return reply, err
}

// SimulateUser plays one job's user in a cell.
func (f *Federation) SimulateUser(ctx context.Context, cell string, spec wire.JobSpec, runSeconds float64, cancelAfter time.Duration) {
	for _, r := range f.Regions {
		r.SetRunTime(spec.ID, runSeconds)
	}
	f.Regions[cell].SimulateUser(ctx, spec, runSeconds, cancelAfter)
}

// SetDraining changes whether a cell takes work of others, and restarts its controllers one by one.
func (f *Federation) SetDraining(cell string, drains bool) {
	f.mu.Lock()
	f.draining[cell] = drains
	f.mu.Unlock()
	r := f.Regions[cell]
	for i := range r.ControllerCount() {
		r.KillController(i)
		time.Sleep(time.Second)
		r.StartController(i)
	}
}

// RemoveCell takes a cell away for good, with its machines, and after a while the operators of another
// one say so.
func (f *Federation) RemoveCell(cell string, after time.Duration, notified string) {
	r := f.Regions[cell]
	for i := range r.ControllerCount() {
		r.KillController(i)
	}
	r.RemoveAllMachines()
	time.Sleep(after)
	f.mu.Lock()
	f.forgotten = append(f.forgotten, config.Forgotten{Name: cell, Epoch: f.epochs[cell]})
	f.mu.Unlock()
	o := f.Regions[notified]
	for i := range o.ControllerCount() {
		o.KillController(i)
		time.Sleep(time.Second)
		o.StartController(i)
	}
}

// StopCell ends all of a cell's controllers for a while.
func (f *Federation) StopCell(cell string, duration time.Duration) {
	r := f.Regions[cell]
	for i := range r.ControllerCount() {
		r.KillController(i)
	}
	r.wg.Go(func() {
		time.Sleep(duration)
		for i := range r.ControllerCount() {
			r.StartController(i)
		}
	})
}

// RestoreSnapshot lets a cell's state service lose what was written since a snapshot: its controllers end,
// all its machines are returned, the snapshot is put back, and they start under the next epoch.
func (f *Federation) RestoreSnapshot(cell string, rows map[string]wire.KeyValue, duration time.Duration) {
	r := f.Regions[cell]
	for i := range r.ControllerCount() {
		r.KillController(i)
	}
	r.wg.Go(func() {
		time.Sleep(duration)
		for _, m := range r.Machines(false) {
			r.mu.Lock()
			r.removeMachine(m, false)
			r.mu.Unlock()
		}
		r.KV.Restore(rows)
		f.mu.Lock()
		f.epochs[cell]++
		f.mu.Unlock()
		for i := range r.ControllerCount() {
			r.StartController(i)
		}
	})
}

// Wait returns once all routines of all regions have ended.
func (f *Federation) Wait() {
	for _, r := range f.Regions {
		r.Wait()
	}
}
