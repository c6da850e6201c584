package kvstore

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
	BeginUpdate()
	Put(key string, value wire.RawValue, stamp uint64)
	Delete(key string)
	EndUpdate()
}

// WatchCache follows all keys under a prefix by list and watch.
type WatchCache struct {
	client         *Client
	prefix         string
	sink           Sink
	logger         *slog.Logger
	watchLimiter   *rate.Limiter
	barrierLimiter *rate.Limiter

	mu           sync.Mutex
	synced       bool
	revision     uint64
	modRevisions map[string]uint64
	inFlight     map[string]*inFlightKey // keys of this node's changes on their way
	ownDeletes   map[string]uint64       // our own drops that the watch has not shown yet

	// What readers ask while they hold the sink's lock: they must not wait for
	// mu, whose holder may be waiting for that lock. Both change only within a
	// group of the sink.
	publishedRevision atomic.Uint64
	completeAsOf      atomic.Pointer[time.Time]

	barrierMu   sync.Mutex
	nextBarrier *readBarrier
	barrierWake chan struct{}
}

type readBarrier struct {
	done chan struct{}
	err  error
}

// NewWatchCache makes a cache of the keys under prefix.
func NewWatchCache(c *Client, prefix string, sink Sink, log *slog.Logger) *WatchCache {
	return &WatchCache{
		client: c, prefix: prefix, sink: sink, logger: log,
		watchLimiter:   rate.NewLimiter(rate.Limit(c.limits.RequestsPerSecond*c.limits.BudgetShare*tuning.WatchRateShare), 2),
		barrierLimiter: rate.NewLimiter(rate.Limit(c.limits.RequestsPerSecond*c.limits.BudgetShare*tuning.SyncRateShare), 2),
		modRevisions:   map[string]uint64{}, inFlight: map[string]*inFlightKey{}, ownDeletes: map[string]uint64{},
		nextBarrier: &readBarrier{done: make(chan struct{})}, barrierWake: make(chan struct{}, 1),
	}
}

// Run follows the keys until ctx ends.
func (c *WatchCache) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.runBarriers(ctx) })
	for ctx.Err() == nil {
		if err := c.listAll(ctx); err != nil {
			c.logger.Info("state listing failed", "err", err)
			sleep(ctx, tuning.StateRetry)
			continue
		}
		for ctx.Err() == nil {
			if c.watchLimiter.Wait(ctx) != nil {
				break
			}
			c.mu.Lock()
			after := c.revision
			c.mu.Unlock()
			err := c.watchOnce(ctx, after, tuning.WatchHold, false)
			if errors.Is(err, ErrCompacted) {
				c.logger.Info("watch fell behind, listing again")
				break
			}
			if err != nil && ctx.Err() == nil {
				c.logger.Debug("watch failed", "err", err)
				sleep(ctx, tuning.StateRetry)
			}
		}
	}
	return ctx.Err()
}

func (c *WatchCache) watchOnce(ctx context.Context, after uint64, hold time.Duration, urgent bool) error {
	start := time.Now()
	news, err := c.client.Watch(ctx, c.prefix, after, hold, urgent)
	if err != nil {
		return err
	}
	c.applyWatch(after, news, start)
	return nil
}

// applyWatch takes in all changes after a revision that the cache has already
// reached. Answers overlap and may come out of order: what lies at or below the
// cache's own revision was taken in before, and taking it in again would bring
// back keys dropped since. Above it, each key's own stamp decides, since our own
// writes run ahead.
func (c *WatchCache) applyWatch(after uint64, news wire.WatchResponse, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.revision {
		return
	}
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for _, e := range news.Events {
		if e.ModRevision <= c.revision {
			continue
		}
		if e.PutKey != "" {
			c.putKey(e.PutKey, e.Value, e.ModRevision)
		} else {
			c.deleteKey(e.DeleteKey, e.ModRevision)
		}
	}
	if news.Revision > c.revision {
		c.revision = news.Revision
		for k, s := range c.ownDeletes {
			if s <= c.revision {
				delete(c.ownDeletes, k)
			}
		}
	}
	c.synced = true
	c.publishedRevision.Store(c.revision)
	if f := c.completeAsOf.Load(); f == nil || asked.After(*f) {
		c.completeAsOf.Store(&asked)
	}
}

func (c *WatchCache) putKey(key string, v wire.RawValue, stamp uint64) {
	if stamp <= c.modRevisions[key] || stamp <= c.ownDeletes[key] {
		return
	}
	c.modRevisions[key] = stamp
	c.inFlight[key].recordChange(stamp, v)
	c.sink.Put(key, v, stamp)
}

func (c *WatchCache) deleteKey(key string, stamp uint64) {
	if s, ok := c.modRevisions[key]; !ok || stamp <= s {
		return
	}
	delete(c.modRevisions, key)
	c.inFlight[key].recordChange(stamp, nil)
	c.sink.Delete(key)
}

// inFlightKey is what became of a key while a change of it by this node was on its way.
type inFlightKey struct {
	transactions int // of such changes
	changes      map[uint64]wire.RawValue
}

// recordChange keeps a change that has come, by its revision; nil: it was dropped.
func (s *inFlightKey) recordChange(rev uint64, v wire.RawValue) {
	if s != nil && len(s.changes) < tuning.SendingNotes {
		s.changes[rev] = v
	}
}

// TrackInFlight notes changes that are about to be sent, until Sent, and gives a revision before any at which they
// can be made: the view's own, and those of this node's own changes of the same keys, which run ahead of it.
func (c *WatchCache) TrackInFlight(ops []wire.Op) (before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.revision
	for _, o := range ops {
		k := o.Key()
		before = max(before, c.modRevisions[k], c.ownDeletes[k])
		if c.inFlight[k] == nil {
			c.inFlight[k] = &inFlightKey{changes: map[uint64]wire.RawValue{}}
		}
		c.inFlight[k].transactions++
	}
	return before
}

// UntrackInFlight ends what Sending began.
func (c *WatchCache) UntrackInFlight(ops []wire.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range ops {
		k := o.Key()
		if c.inFlight[k].transactions--; c.inFlight[k].transactions == 0 {
			delete(c.inFlight, k)
		}
	}
}

// FindApplied tells whether the view has shown, since Sending, that all these changes were made together after a
// revision, and at which: all keys that they set changed at it, to these values, and those that they drop
// went at it. What has changed again since counts. A change that sets nothing that is followed here, or drops
// what is not there, can't be told.
func (c *WatchCache) FindApplied(ops []wire.Op, since uint64) (rev uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := slices.IndexFunc(ops, func(o wire.Op) bool { return strings.HasPrefix(o.PutKey, c.prefix) })
	if first < 0 {
		return 0, false
	}
	for at := range c.inFlight[ops[first].PutKey].changes {
		if at > since && !slices.ContainsFunc(ops, func(o wire.Op) bool { return !c.wasAppliedAt(o, at) }) {
			return at, true
		}
	}
	return 0, false
}

// wasAppliedAt tells whether a change was made at a revision, as far as the view shows; keys that are not followed
// change with the others. Callers hold the lock.
func (c *WatchCache) wasAppliedAt(o wire.Op, at uint64) bool {
	if !strings.HasPrefix(o.Key(), c.prefix) {
		return true
	}
	v, came := c.inFlight[o.Key()].changes[at]
	if o.PutKey == "" {
		return came && v == nil
	}
	return came && v != nil && wire.EqualValues(v, o.Value)
}

// ApplyOwn takes in a transaction of our own that was applied at a revision,
// unless the watch was faster.
func (c *WatchCache) ApplyOwn(ops []wire.Op, rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rev <= c.revision {
		return
	}
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for _, o := range ops {
		k := o.Key()
		if !strings.HasPrefix(k, c.prefix) {
			continue
		}
		if o.PutKey != "" {
			c.putKey(k, o.Value, rev)
			continue
		}
		c.deleteKey(k, rev)
		c.ownDeletes[k] = rev
	}
}

func (c *WatchCache) listAll(ctx context.Context) error {
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
		c.sink.BeginUpdate()
		for _, r := range rows.KeyValues {
			found[r.Key] = true
			c.putKey(r.Key, r.Value, r.ModRevision)
			after = r.Key
		}
		c.sink.EndUpdate()
		c.mu.Unlock()
		if !rows.HasMore || len(rows.KeyValues) == 0 {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for k, s := range c.modRevisions {
		if !found[k] && s <= first {
			delete(c.modRevisions, k)
			c.sink.Delete(k)
		}
	}
	// Changes after the first page are seen by the watch from there on.
	if c.revision < first {
		c.revision = first
	}
	c.logger.Info("state listed", "keys", len(found), "revision", first, "took", time.Since(start))
	return nil
}

// IsOutdated tells whether a guard can't hold any more, as its key is known to have changed since. One that
// asks for a key not to be there may hold: it may have been dropped beyond what this cache has seen.
func (c *WatchCache) IsOutdated(g wire.Condition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.modRevisions[g.Key]
	return ok && g.ModRevision != 0 && s > g.ModRevision
}

// WaitForReadBarrier is the read barrier: it returns once the cache holds all that was
// applied before the call. All callers that wait share one request.
func (c *WatchCache) WaitForReadBarrier(ctx context.Context) error {
	c.barrierMu.Lock()
	b := c.nextBarrier
	c.barrierMu.Unlock()
	select {
	case c.barrierWake <- struct{}{}:
	default:
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

func (c *WatchCache) runBarriers(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.barrierWake:
		}
		if c.barrierLimiter.Wait(ctx) != nil {
			return
		}
		c.barrierMu.Lock()
		b := c.nextBarrier
		c.nextBarrier = &readBarrier{done: make(chan struct{})}
		c.barrierMu.Unlock()
		wg.Go(func() {
			c.mu.Lock()
			after, ready := c.revision, c.synced
			c.mu.Unlock()
			if ready {
				b.err = c.watchOnce(ctx, after, 0, true)
			} else {
				b.err = ErrUnavailable
			}
			close(b.done)
		})
	}
}

// CompleteAsOf is the time as of which the cache is known to be complete; zero before
// the first answer.
func (c *WatchCache) CompleteAsOf() time.Time {
	if f := c.completeAsOf.Load(); f != nil {
		return *f
	}
	return time.Time{}
}

// Revision is the revision up to which every change is held.
func (c *WatchCache) Revision() uint64 { return c.publishedRevision.Load() }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
