package standin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/spill"
	"sableusher/internal/wire"
)

// Link is an interruption between two cells; an empty name is any.
type Link struct {
	From, To string
	Answers  bool // only answers are lost: what was asked is carried out
	Hold     bool // questions arrive late, when their senders have given up
	Until    time.Time
}

// Cells are several regions under one clock and one oracle, with links between their leaders.
type Cells struct {
	Oracle  *Oracle
	Regions map[string]*Region
	names   []string

	mu    sync.Mutex
	links []Link
	rnd   *rand.Rand
	epoch map[string]uint64
	drain map[string]bool
	// Gone are cells that the operators of all others have forgotten, under their epochs.
	gone []config.Forgotten
	// Guests is how many tasks of others each cell takes, as controllers that start read it.
	Guests int
	// Sent counts the messages between cells, Bytes what they and their answers take.
	Sent, Bytes int
}

// NewCells starts cells of three controllers each, with so many machines of each kind to be had;
// settings are those of a cell's controllers, of one name in all cells for the teams.
func NewCells(ctx context.Context, names []string, settings func(cell string, i int) *config.Settings, types []wire.MachineType, each, guests int, rnd *rand.Rand, log *slog.Logger) *Cells {
	c := &Cells{Guests: guests, Oracle: NewOracle(settings(names[0], 0)), Regions: map[string]*Region{}, names: names, rnd: rand.New(rand.NewPCG(rnd.Uint64(), 3)), epoch: map[string]uint64{}, drain: map[string]bool{}}
	for _, name := range names {
		c.epoch[name] = 1
		r := newRegion(ctx, settings(name, 0), types, each, rand.New(rand.NewPCG(rnd.Uint64(), 2)), log.With("cell", name), c.Oracle)
		r.Cells, r.Prefix = c, name+"-"
		r.Operators = func(op *config.Operator) {
			c.mu.Lock()
			defer c.mu.Unlock()
			op.CellName, op.CellEpoch, op.CellGuests, op.CellDrain = name, c.epoch[name], c.Guests, c.drain[name]
			for _, o := range names {
				if o != name {
					for _, f := range c.gone {
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
			c.Regions[name].Add(settings(name, i))
		}
	}
	return c
}

// Cut interrupts the links between cells.
func (c *Cells) Cut(l Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, l)
}

func (c *Cells) link(from, to string) (Link, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		if time.Now().Before(l.Until) && (l.From == "" || l.From == from) && (l.To == "" || l.To == to) {
			return l, true
		}
	}
	return Link{}, false
}

// exchange carries a message to another cell's controllers, one after the other, and the answer
// back. One in ten arrives a second time, later.
func (c *Cells) exchange(ctx context.Context, to string, m spill.Message) (spill.Message, error) {
	body := wire.MustEncode(m)
	deliver := func(ctx context.Context) (spill.Message, error) {
		var q spill.Message
		if err := wire.Decode(body, &q); err != nil {
			return spill.Message{}, err
		}
		r := c.Regions[to]
		var errs []error
		for _, n := range r.nodes {
			r.mu.Lock()
			answer, up := n.answer, n.alive != nil && n.alive.Load()
			r.mu.Unlock()
			if answer == nil || !up {
				continue
			}
			reply, err := answer(ctx, q)
			if !n.alive.Load() {
				err = errReset
			}
			if err == nil {
				var out spill.Message
				b := wire.MustEncode(reply)
				c.mu.Lock()
				c.Sent++
				c.Bytes += len(body) + len(b)
				c.mu.Unlock()
				return out, wire.Decode(b, &out)
			}
			errs = append(errs, err)
		}
		return spill.Message{}, fmt.Errorf("cell %s: %w", to, errors.Join(append(errs, errReset)...))
	}
	c.mu.Lock()
	delay, twice := time.Duration(5+c.rnd.IntN(40))*time.Millisecond, c.rnd.IntN(10) == 0
	late := time.Duration(c.rnd.IntN(20_000)) * time.Millisecond
	c.mu.Unlock()
	time.Sleep(delay)
	l, cut := c.link(m.Cell, to)
	if twice || cut && l.Hold {
		r := c.Regions[to]
		r.wg.Go(func() {
			if cut {
				late += time.Until(l.Until)
			}
			time.Sleep(late)
			_, _ = deliver(context.Background())
		})
	}
	if cut && !l.Answers {
		<-ctx.Done()
		return spill.Message{}, ctx.Err()
	}
	reply, err := deliver(ctx)
	if _, back := c.link(to, m.Cell); back || cut {
		<-ctx.Done()
		return spill.Message{}, ctx.Err()
	}
	return reply, err
}

// User plays one job's user in a cell.
func (c *Cells) User(ctx context.Context, cell string, spec wire.Spec, runS float64, cancelAfter time.Duration) {
	for _, r := range c.Regions {
		r.Running(spec.ID, runS)
	}
	c.Regions[cell].User(ctx, spec, runS, cancelAfter)
}

// Drain changes whether a cell takes work of others, and restarts its controllers one by one.
func (c *Cells) Drain(cell string, drains bool) {
	c.mu.Lock()
	c.drain[cell] = drains
	c.mu.Unlock()
	r := c.Regions[cell]
	for i := range r.Nodes() {
		r.Kill(i)
		time.Sleep(time.Second)
		r.Start(i)
	}
}

// Bury takes a cell away for good, with its machines, and after a while the operators of another
// one say so.
func (c *Cells) Bury(cell string, after time.Duration, told string) {
	r := c.Regions[cell]
	for i := range r.Nodes() {
		r.Kill(i)
	}
	r.Vanish()
	time.Sleep(after)
	c.mu.Lock()
	c.gone = append(c.gone, config.Forgotten{Name: cell, Epoch: c.epoch[cell]})
	c.mu.Unlock()
	o := c.Regions[told]
	for i := range o.Nodes() {
		o.Kill(i)
		time.Sleep(time.Second)
		o.Start(i)
	}
}

// Lose ends all of a cell's controllers for a while.
func (c *Cells) Lose(cell string, away time.Duration) {
	r := c.Regions[cell]
	for i := range r.Nodes() {
		r.Kill(i)
	}
	r.wg.Go(func() {
		time.Sleep(away)
		for i := range r.Nodes() {
			r.Start(i)
		}
	})
}

// Forget lets a cell's state service lose what was written since a snapshot: its controllers end,
// all its machines are returned, the snapshot is put back, and they start under the next epoch.
func (c *Cells) Forget(cell string, rows map[string]wire.Row, away time.Duration) {
	r := c.Regions[cell]
	for i := range r.Nodes() {
		r.Kill(i)
	}
	r.wg.Go(func() {
		time.Sleep(away)
		for _, m := range r.Machines(false) {
			r.mu.Lock()
			r.remove(m, false)
			r.mu.Unlock()
		}
		r.State.Restore(rows)
		c.mu.Lock()
		c.epoch[cell]++
		c.mu.Unlock()
		for i := range r.Nodes() {
			r.Start(i)
		}
	})
}

// Wait returns once all routines of all regions have ended.
func (c *Cells) Wait() {
	for _, r := range c.Regions {
		r.Wait()
	}
}
