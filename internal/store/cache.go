package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Sink receives the cached keys' changes in order, in groups that are seen as one.
type Sink interface {
	Begin()
	Put(key string, value wire.RawValue, stamp uint64)
	Drop(key string)
	Flush()
}

// Cache follows all keys under a prefix by list and watch.
type Cache struct {
	client *Client
	prefix string
	sink   Sink
	log    *slog.Logger
	pace   *rate.Limiter
	space  *rate.Limiter

	mu      sync.Mutex
	ready   bool
	rev     uint64
	stamps  map[string]uint64
	sending map[string]*sending // keys of this node's changes on their way
	dropped map[string]uint64   // our own drops that the watch has not shown yet

	// What readers ask while they hold the sink's lock: they must not wait for
	// mu, whose holder may be waiting for that lock. Both change only within a
	// group of the sink.
	reached atomic.Uint64
	fresh   atomic.Pointer[time.Time]

	bmu  sync.Mutex
	next *barrier
	wake chan struct{}
}

type barrier struct {
	done chan struct{}
	err  error
}

// NewCache makes a cache of the keys under prefix.
func NewCache(c *Client, prefix string, sink Sink, log *slog.Logger) *Cache {
	return &Cache{
		client: c, prefix: prefix, sink: sink, log: log,
		pace:   rate.NewLimiter(rate.Limit(c.limits.RPS*c.limits.Share*tuning.WatchRateShare), 2),
		space:  rate.NewLimiter(rate.Limit(c.limits.RPS*c.limits.Share*tuning.SyncRateShare), 2),
		stamps: map[string]uint64{}, sending: map[string]*sending{}, dropped: map[string]uint64{},
		next: &barrier{done: make(chan struct{})}, wake: make(chan struct{}, 1),
	}
}

// Run follows the keys until ctx ends.
func (c *Cache) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.barriers(ctx) })
	for ctx.Err() == nil {
		if err := c.list(ctx); err != nil {
			c.log.Info("state listing failed", "err", err)
			sleep(ctx, tuning.StateRetry)
			continue
		}
		for ctx.Err() == nil {
			if c.pace.Wait(ctx) != nil {
				break
			}
			c.mu.Lock()
			after := c.rev
			c.mu.Unlock()
			err := c.poll(ctx, after, tuning.WatchHold, false)
			if errors.Is(err, ErrTooOld) {
				c.log.Info("watch fell behind, listing again")
				break
			}
			if err != nil && ctx.Err() == nil {
				c.log.Debug("watch failed", "err", err)
				sleep(ctx, tuning.StateRetry)
			}
		}
	}
	return ctx.Err()
}

func (c *Cache) poll(ctx context.Context, after uint64, hold time.Duration, urgent bool) error {
	start := time.Now()
	news, err := c.client.Watch(ctx, c.prefix, after, hold, urgent)
	if err != nil {
		return err
	}
	c.apply(after, news, start)
	return nil
}

// apply takes in all changes after a revision that the cache has already
// reached. Answers overlap and may come out of order: what lies at or below the
// cache's own revision was taken in before, and taking it in again would bring
// back keys dropped since. Above it, each key's own stamp decides, since our own
// writes run ahead.
func (c *Cache) apply(after uint64, news wire.WatchResponse, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.rev {
		return
	}
	c.sink.Begin()
	defer c.sink.Flush()
	for _, e := range news.Events {
		if e.ModRevision <= c.rev {
			continue
		}
		if e.PutKey != "" {
			c.put(e.PutKey, e.Value, e.ModRevision)
		} else {
			c.drop(e.DeleteKey, e.ModRevision)
		}
	}
	if news.Revision > c.rev {
		c.rev = news.Revision
		for k, s := range c.dropped {
			if s <= c.rev {
				delete(c.dropped, k)
			}
		}
	}
	c.ready = true
	c.reached.Store(c.rev)
	if f := c.fresh.Load(); f == nil || asked.After(*f) {
		c.fresh.Store(&asked)
	}
}

func (c *Cache) put(key string, v wire.RawValue, stamp uint64) {
	if stamp <= c.stamps[key] || stamp <= c.dropped[key] {
		return
	}
	c.stamps[key] = stamp
	c.sending[key].note(stamp, v)
	c.sink.Put(key, v, stamp)
}

func (c *Cache) drop(key string, stamp uint64) {
	if s, ok := c.stamps[key]; !ok || stamp <= s {
		return
	}
	delete(c.stamps, key)
	c.sending[key].note(stamp, nil)
	c.sink.Drop(key)
}

// sending is what became of a key while a change of it by this node was on its way.
type sending struct {
	count int // of such changes
	came  map[uint64]wire.RawValue
}

// note keeps a change that has come, by its revision; nil: it was dropped.
func (s *sending) note(rev uint64, v wire.RawValue) {
	if s != nil && len(s.came) < tuning.SendingNotes {
		s.came[rev] = v
	}
}

// Sending notes changes that are about to be sent, until Sent, and gives a revision before any at which they
// can be made: the view's own, and those of this node's own changes of the same keys, which run ahead of it.
func (c *Cache) Sending(ops []wire.Op) (before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.rev
	for _, o := range ops {
		k := o.Key()
		before = max(before, c.stamps[k], c.dropped[k])
		if c.sending[k] == nil {
			c.sending[k] = &sending{came: map[uint64]wire.RawValue{}}
		}
		c.sending[k].count++
	}
	return before
}

// Sent ends what Sending began.
func (c *Cache) Sent(ops []wire.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range ops {
		k := o.Key()
		if c.sending[k].count--; c.sending[k].count == 0 {
			delete(c.sending, k)
		}
	}
}

// Applied tells whether the view has shown, since Sending, that all these changes were made together after a
// revision, and at which: all keys that they set changed at it, to these values, and those that they drop
// went at it. What has changed again since counts. A change that sets nothing that is followed here, or drops
// what is not there, can't be told.
func (c *Cache) Applied(ops []wire.Op, since uint64) (rev uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := slices.IndexFunc(ops, func(o wire.Op) bool { return strings.HasPrefix(o.PutKey, c.prefix) })
	if first < 0 {
		return 0, false
	}
	for at := range c.sending[ops[first].PutKey].came {
		if at > since && !slices.ContainsFunc(ops, func(o wire.Op) bool { return !c.made(o, at) }) {
			return at, true
		}
	}
	return 0, false
}

// made tells whether a change was made at a revision, as far as the view shows; keys that are not followed
// change with the others. Callers hold the lock.
func (c *Cache) made(o wire.Op, at uint64) bool {
	if !strings.HasPrefix(o.Key(), c.prefix) {
		return true
	}
	v, came := c.sending[o.Key()].came[at]
	if o.PutKey == "" {
		return came && v == nil
	}
	return came && v != nil && wire.EqualValues(v, o.Value)
}

// Local takes in a transaction of our own that was applied at a revision,
// unless the watch was faster.
func (c *Cache) Local(ops []wire.Op, rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev <= c.rev {
		return
	}
	c.sink.Begin()
	defer c.sink.Flush()
	for _, o := range ops {
		k := o.Key()
		if !strings.HasPrefix(k, c.prefix) {
			continue
		}
		if o.PutKey != "" {
			c.put(k, o.Value, rev)
			continue
		}
		c.drop(k, rev)
		c.dropped[k] = rev
	}
}

func (c *Cache) list(ctx context.Context) error {
	found := map[string]bool{}
	after, first := "", uint64(0)
	start := time.Now()
	for page := 0; ; page++ {
		rows, err := c.client.List(ctx, c.prefix, after)
		if err != nil {
			return err
		}
		if page == 0 {
			first = rows.Revision
		}
		c.mu.Lock()
		c.sink.Begin()
		for _, r := range rows.KeyValues {
			found[r.Key] = true
			c.put(r.Key, r.Value, r.ModRevision)
			after = r.Key
		}
		c.sink.Flush()
		c.mu.Unlock()
		if !rows.HasMore || len(rows.KeyValues) == 0 {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink.Begin()
	defer c.sink.Flush()
	for k, s := range c.stamps {
		if !found[k] && s <= first {
			delete(c.stamps, k)
			c.sink.Drop(k)
		}
	}
	// Changes after the first page are seen by the watch from there on.
	if c.rev < first {
		c.rev = first
	}
	c.log.Info("state listed", "keys", len(found), "revision", first, "took", time.Since(start))
	return nil
}

// Stale tells whether a guard can't hold any more, as its key is known to have changed since. One that
// asks for a key not to be there may hold: it may have been dropped beyond what this cache has seen.
func (c *Cache) Stale(g wire.Condition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stamps[g.Key]
	return ok && g.ModRevision != 0 && s > g.ModRevision
}

// Sync is the read barrier: it returns once the cache holds all that was
// applied before the call. All callers that wait share one request.
func (c *Cache) Sync(ctx context.Context) error {
	c.bmu.Lock()
	b := c.next
	c.bmu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

func (c *Cache) barriers(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if c.space.Wait(ctx) != nil {
			return
		}
		c.bmu.Lock()
		b := c.next
		c.next = &barrier{done: make(chan struct{})}
		c.bmu.Unlock()
		wg.Go(func() {
			c.mu.Lock()
			after, ready := c.rev, c.ready
			c.mu.Unlock()
			if ready {
				b.err = c.poll(ctx, after, 0, true)
			} else {
				b.err = ErrUnavailable
			}
			close(b.done)
		})
	}
}

// Fresh is the time as of which the cache is known to be complete; zero before
// the first answer.
func (c *Cache) Fresh() time.Time {
	if f := c.fresh.Load(); f != nil {
		return *f
	}
	return time.Time{}
}

// Revision is the revision up to which every change is held.
func (c *Cache) Revision() uint64 { return c.reached.Load() }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
