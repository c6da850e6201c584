package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var learned = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_state_answers_missed_total",
	Help: "Transactions of which the view showed that they were carried out before any answer came."})

// Item is one atomic change.
type Item struct {
	Guards []wire.Condition
	Ops    []wire.Op
	// Urgent items (sessions, ownership, acceptance, cancellation) go first, then
	// Soon ones (work of high priority), Lazy ones, which nothing waits for, last.
	Urgent bool
	Soon   bool
	Lazy   bool
}

func (it *Item) size() int {
	n := 0
	for _, g := range it.Guards {
		n += len(g.Key) + 24
	}
	for _, o := range it.Ops {
		n += len(o.PutKey) + len(o.DeleteKey) + len(o.Value) + 32
	}
	return n
}

// Set is an op that writes v.
func Set(key string, v any) wire.Op { return wire.Op{PutKey: key, Value: wire.MustEncode(v)} }

// Drop is an op that removes a key.
func Drop(key string) wire.Op { return wire.Op{DeleteKey: key} }

type pending struct {
	Item
	ctx   context.Context
	since time.Time
	done  chan outcome
}

// class orders items: lower goes first. One that has waited for long counts as if
// it were of the class before, or it would never have its turn.
func (p *pending) class(now time.Time) int {
	waited := now.Sub(p.since)
	switch {
	case p.Urgent:
		return 0
	case p.Soon || !p.Lazy && waited > tuning.SoonPatience:
		return 1
	case p.Lazy && waited < tuning.LazyPatience:
		return 3
	}
	return 2
}

type outcome struct {
	rev uint64
	err error
}

// Committer groups items into transactions.
type Committer struct {
	client *Client
	after  func(ops []wire.Op, rev uint64)
	view   View

	gate  chan struct{} // held by the lane that waits for the budget
	mu    sync.Mutex
	queue []*pending
	wake  chan struct{}
}

// NewCommitter makes a committer; after is called with what was applied before
// the items' callers learn of it.
func NewCommitter(c *Client, after func([]wire.Op, uint64)) *Committer {
	return &Committer{client: c, after: after, wake: make(chan struct{}, 1), gate: make(chan struct{}, 1)}
}

// View is what a committer learns from beside its answers.
type View interface {
	// Stale tells whether a guard can't hold any more.
	Stale(g wire.Condition) bool
	// Applied tells whether changes were made together after a revision, and at which.
	Applied(ops []wire.Op, since uint64) (rev uint64, ok bool)
	// Sending notes changes that are about to be sent, and gives a revision before any at which they
	// can be made; Sent ends that.
	Sending(ops []wire.Op) (before uint64)
	Sent(ops []wire.Op)
}

// Follow tells the committer the view; before Run.
func (c *Committer) Follow(v View) { c.view = v }

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
	now := time.Now()
	p := &pending{Item: it, ctx: ctx, since: now, done: make(chan outcome, 1)}
	c.mu.Lock()
	if len(c.queue) >= tuning.CommitQueue {
		c.mu.Unlock()
		return 0, ErrUnavailable
	}
	i := slices.IndexFunc(c.queue, func(q *pending) bool { return q.class(now) > p.class(now) })
	if i < 0 {
		i = len(c.queue)
	}
	c.queue = slices.Insert(c.queue, i, p)
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
		// Its transaction is on its way and answers soon as a rule: an unknown
		// outcome is dear, as the part is fenced for it and all other changes on
		// their way fail.
		select {
		case o := <-p.done:
			return o.rev, o.err
		case <-time.After(tuning.StateTimeout):
			return 0, ErrUnknown
		}
	}
}

// TxnOps is how many changes one item may make.
func (c *Committer) TxnOps() int { return c.client.TxnOps() }

// Room is what a record may take, in bytes of its JSON form; LeastRoom under the
// limits that are known to come.
func (c *Committer) Room() int { return c.client.Room() }

// LeastRoom is Room under the limits that are known to come.
func (c *Committer) LeastRoom() int { return c.client.LeastRoom() }

// Waiting is how many changes wait for the budget.
func (c *Committer) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
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
			batch := c.next(ctx)
			if len(batch) == 0 {
				break
			}
			c.poke()
			c.send(ctx, batch)
		}
	}
}

// next takes the next batch once the budget allows to write it. What is urgent
// must not wait behind transactions that were put together before it came, so
// only one lane at a time waits for the budget.
func (c *Committer) next(ctx context.Context) []*pending {
	c.gate <- struct{}{}
	defer func() { <-c.gate }()
	c.mu.Lock()
	none := len(c.queue) == 0
	c.mu.Unlock()
	if none {
		return nil
	}
	most, err := c.client.writable(ctx)
	if err != nil {
		return nil
	}
	batch := c.current(c.take(most))
	for len(batch) == 0 && c.Waiting() > 0 {
		batch = c.current(c.take(most))
	}
	n := 0
	for _, p := range batch {
		n += len(p.Ops)
	}
	c.client.wrote(n)
	return batch
}

// current answers the items of a batch whose guards can't hold any more, and gives the others. A
// transaction that fails counts as one that changes something: where a part's record had changed, all
// that waited under the old one once took the budget for seconds to be refused item by item.
func (c *Committer) current(batch []*pending) []*pending {
	if c.view == nil {
		return batch
	}
	return slices.DeleteFunc(batch, func(p *pending) bool {
		if !slices.ContainsFunc(p.Guards, c.view.Stale) {
			return false
		}
		p.done <- outcome{err: ErrGuard}
		return true
	})
}

// take removes a batch from the queue that fits one transaction, writes no more
// than the budget allows (but one item at least) and touches no key twice.
func (c *Committer) take(most int) []*pending {
	limit := c.client.TxnOps()
	most = min(most, limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*pending
	guards, keys := map[string]uint64{}, map[string]bool{}
	ops, bytes := 0, 0
	for i, p := range c.queue {
		if len(batch) > 0 && ops >= most {
			rest = append(rest, c.queue[i:]...)
			break
		}
		fits := len(batch) == 0 || ops+len(p.Ops) <= most &&
			len(guards)+len(p.Guards) <= limit*tuning.GuardsPerOp &&
			bytes+p.size() <= tuning.TxnBytes
		for _, g := range p.Guards {
			if s, ok := guards[g.Key]; ok && s != g.ModRevision {
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
			guards[g.Key] = g.ModRevision
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
	for again := false; len(batch) > 0; again = true {
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
		var txn wire.TxnRequest
		seen, urgent := map[string]bool{}, false
		for _, p := range batch {
			for _, g := range p.Guards {
				if !seen[g.Key] {
					seen[g.Key] = true
					txn.Conditions = append(txn.Conditions, g)
				}
			}
			txn.Ops = append(txn.Ops, p.Ops...)
			urgent = urgent || p.Urgent
		}
		if txn.Conditions == nil {
			txn.Conditions = []wire.Condition{}
		}
		if again {
			c.client.wrote(len(txn.Ops)) // the first try was taken off the budget before
		}
		res, err := c.transact(ctx, txn, urgent)
		switch {
		case err == nil:
			c.after(txn.Ops, res.Revision)
			for _, p := range batch {
				p.done <- outcome{rev: res.Revision}
			}
			return
		case errors.Is(err, ErrGuard):
			n := len(batch)
			batch = slices.DeleteFunc(batch, func(p *pending) bool {
				for _, g := range p.Guards {
					if slices.Contains(res.FailedKeys, g.Key) {
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

// transact sends a transaction. Where its answer is late, the view may show before that it was carried out:
// an answer that is lost is no reason to wait for it, to take the outcome for unknown, and to fence a part.
func (c *Committer) transact(ctx context.Context, txn wire.TxnRequest, urgent bool) (wire.TxnResponse, error) {
	if c.view == nil {
		return c.client.Txn(ctx, txn, urgent)
	}
	type answer struct {
		res wire.TxnResponse
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	since, got := c.view.Sending(txn.Ops), make(chan answer, 1)
	defer c.view.Sent(txn.Ops)
	go func() {
		res, err := c.client.Txn(ctx, txn, urgent)
		got <- answer{res, err}
	}()
	look := time.NewTimer(tuning.AnswerLate)
	defer look.Stop()
	for {
		var a answer
		select {
		case a = <-got:
			if !errors.Is(a.err, ErrUnknown) {
				return a.res, a.err
			}
		case <-look.C:
			look.Reset(tuning.AnswerLook)
		}
		if rev, ok := c.view.Applied(txn.Ops, since); ok {
			learned.Inc()
			return wire.TxnResponse{Revision: rev}, nil
		}
		if a.err != nil {
			return a.res, a.err
		}
	}
}

func (c *Committer) fail(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- outcome{err: err}
	}
}
