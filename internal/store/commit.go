package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Item is one atomic change.
type Item struct {
	Guards []wire.Guard
	Ops    []wire.Op
	Urgent bool
}

func (it *Item) size() int {
	n := 0
	for _, g := range it.Guards {
		n += len(g.Key) + 24
	}
	for _, o := range it.Ops {
		n += len(o.Set) + len(o.Drop) + len(o.Value) + 32
	}
	return n
}

// Set is an op that writes v.
func Set(key string, v any) wire.Op { return wire.Op{Set: key, Value: wire.MustEncode(v)} }

// Drop is an op that removes a key.
func Drop(key string) wire.Op { return wire.Op{Drop: key} }

type pending struct {
	Item
	ctx  context.Context
	done chan outcome
}

type outcome struct {
	rev uint64
	err error
}

// Committer groups items into transactions.
type Committer struct {
	client *Client
	after  func(ops []wire.Op, rev uint64)

	mu    sync.Mutex
	queue []*pending
	wake  chan struct{}
}

// NewCommitter makes a committer; after is called with what was applied before
// the items' callers learn of it.
func NewCommitter(c *Client, after func([]wire.Op, uint64)) *Committer {
	return &Committer{client: c, after: after, wake: make(chan struct{}, 1)}
}

// Run sends transactions until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range tuning.CommitLanes {
		wg.Go(func() { c.lane(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Do commits one item and waits. ErrGuard and ErrUnavailable mean that it was
// not applied, ErrUnknown that it may have been or may yet be.
func (c *Committer) Do(ctx context.Context, it Item) (uint64, error) {
	p := &pending{Item: it, ctx: ctx, done: make(chan outcome, 1)}
	c.mu.Lock()
	if len(c.queue) >= tuning.CommitQueue {
		c.mu.Unlock()
		return 0, ErrUnavailable
	}
	if it.Urgent {
		i := slices.IndexFunc(c.queue, func(q *pending) bool { return !q.Urgent })
		if i < 0 {
			i = len(c.queue)
		}
		c.queue = slices.Insert(c.queue, i, p)
	} else {
		c.queue = append(c.queue, p)
	}
	c.mu.Unlock()
	c.poke()
	select {
	case o := <-p.done:
		return o.rev, o.err
	case <-ctx.Done():
		// It may be on its way: only removal from the queue proves the contrary.
		c.mu.Lock()
		i := slices.Index(c.queue, p)
		if i >= 0 {
			c.queue = slices.Delete(c.queue, i, i+1)
		}
		c.mu.Unlock()
		if i >= 0 {
			return 0, ErrUnavailable
		}
		select {
		case o := <-p.done:
			return o.rev, o.err
		default:
			return 0, ErrUnknown
		}
	}
}

func (c *Committer) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Committer) lane(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for {
			batch := c.take()
			if len(batch) == 0 {
				break
			}
			c.poke()
			c.send(ctx, batch)
		}
	}
}

// take removes a batch from the queue that fits one transaction and touches no
// key twice.
func (c *Committer) take() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*pending
	guards, keys := map[string]uint64{}, map[string]bool{}
	ops, bytes := 0, 0
	for i, p := range c.queue {
		if len(batch) > 0 && ops >= c.client.limits.TxnOps {
			rest = append(rest, c.queue[i:]...)
			break
		}
		fits := len(batch) == 0 || ops+len(p.Ops) <= c.client.limits.TxnOps &&
			len(guards)+len(p.Guards) <= c.client.limits.TxnOps*tuning.GuardsPerOp &&
			bytes+p.size() <= tuning.TxnBytes
		for _, g := range p.Guards {
			if s, ok := guards[g.Key]; ok && s != g.Stamp {
				fits = false
			}
		}
		for _, o := range p.Ops {
			fits = fits && !keys[o.Key()]
		}
		if !fits {
			rest = append(rest, p)
			// Keep the order for whatever shares keys with this one.
			for _, o := range p.Ops {
				keys[o.Key()] = true
			}
			continue
		}
		batch = append(batch, p)
		ops += len(p.Ops)
		bytes += p.size()
		for _, g := range p.Guards {
			guards[g.Key] = g.Stamp
		}
		for _, o := range p.Ops {
			keys[o.Key()] = true
		}
	}
	c.queue = rest
	return batch
}

// send commits a batch. A failed guard fails only the items that named it; the
// others are sent again without them.
func (c *Committer) send(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		batch = slices.DeleteFunc(batch, func(p *pending) bool {
			if p.ctx.Err() == nil {
				return false
			}
			p.done <- outcome{err: ErrUnavailable}
			return true
		})
		if len(batch) == 0 {
			return
		}
		var txn wire.Txn
		seen, urgent := map[string]bool{}, false
		for _, p := range batch {
			for _, g := range p.Guards {
				if !seen[g.Key] {
					seen[g.Key] = true
					txn.Guards = append(txn.Guards, g)
				}
			}
			txn.Apply = append(txn.Apply, p.Ops...)
			urgent = urgent || p.Urgent
		}
		if txn.Guards == nil {
			txn.Guards = []wire.Guard{}
		}
		res, err := c.client.Txn(ctx, txn, urgent)
		switch {
		case err == nil:
			c.after(txn.Apply, res.Revision)
			for _, p := range batch {
				p.done <- outcome{rev: res.Revision}
			}
			return
		case errors.Is(err, ErrGuard):
			n := len(batch)
			batch = slices.DeleteFunc(batch, func(p *pending) bool {
				for _, g := range p.Guards {
					if slices.Contains(res.Failed, g.Key) {
						p.done <- outcome{err: ErrGuard}
						return true
					}
				}
				return false
			})
			if len(batch) == n { // a 409 that names none of ours: not executed
				c.fail(batch, ErrGuard)
				return
			}
		case errors.Is(err, ErrUnavailable):
			select {
			case <-ctx.Done():
				c.fail(batch, ErrUnavailable)
				return
			case <-time.After(tuning.StateRetry):
			}
		default:
			if errors.Is(err, ErrRefused) && len(batch) > 1 {
				// One item is at fault (an ended hold, an oversized value): send them one by one.
				for _, p := range batch {
					c.send(ctx, []*pending{p})
				}
				return
			}
			c.fail(batch, err)
			return
		}
	}
}

func (c *Committer) fail(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- outcome{err: err}
	}
}
