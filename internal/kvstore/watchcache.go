package kvstore

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// watchBurst is how many watches, or read barriers, may start at once.
const watchBurst = 2

// Sink receives the changes of the cached keys. Those between BeginUpdate and
// EndUpdate are one group: its readers see all of them or none.
type Sink interface {
	BeginUpdate()
	Put(key string, value wire.RawValue, modRevision uint64)
	Delete(key string)
	EndUpdate()
}

// WatchCache keeps a Sink at the state of all keys under a prefix, by list and
// watch. This node's own transactions may run ahead of the watch (ApplyOwn). It
// is safe for concurrent use.
//
// Its lock is taken before that of the sink. What readers ask while they hold
// the sink's lock (Revision, CompleteAsOf) must not wait for mu, whose holder
// may be waiting for that lock; both are atomic and change only within a group
// of the sink.
type WatchCache struct {
	client       *Client
	prefix       string
	sink         Sink
	logger       *slog.Logger
	watchLimiter *rate.Limiter
	barriers     *barrierQueue

	mu           sync.Mutex // guards the fields below, and the order of the sink's groups
	synced       bool       // a watch has answered since the first list
	revision     uint64     // up to which every change is held
	modRevisions map[string]uint64
	inFlight     map[string]*inFlightKey // keys of this node's transactions on their way
	ownDeletes   map[string]uint64       // revisions of our deletes that the watch has not shown yet

	publishedRevision atomic.Uint64
	completeAsOf      atomic.Pointer[time.Time]
}

// NewWatchCache returns a cache of the keys under prefix.
func NewWatchCache(client *Client, prefix string, sink Sink, logger *slog.Logger) *WatchCache {
	requestRate := client.initialRequestRate()
	return &WatchCache{
		client:       client,
		prefix:       prefix,
		sink:         sink,
		logger:       logger,
		watchLimiter: rate.NewLimiter(rate.Limit(requestRate*tuning.WatchBudgetShare), watchBurst),
		barriers:     newBarrierQueue(rate.Limit(requestRate * tuning.ReadBarrierBudgetShare)),
		modRevisions: map[string]uint64{},
		inFlight:     map[string]*inFlightKey{},
		ownDeletes:   map[string]uint64{},
	}
}

// CompleteAsOf is the time as of which the cache is known to hold every change;
// zero before the first answer to a watch.
func (c *WatchCache) CompleteAsOf() time.Time {
	if completeAsOf := c.completeAsOf.Load(); completeAsOf != nil {
		return *completeAsOf
	}
	return time.Time{}
}

// Revision is the revision up to which the cache holds every change.
func (c *WatchCache) Revision() uint64 { return c.publishedRevision.Load() }

// IsOutdated reports whether a condition can't hold any more, because its key
// is known to have changed since. One that demands that a key does not exist is
// never outdated: the key may have been deleted beyond what the cache holds.
func (c *WatchCache) IsOutdated(condition wire.Condition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	modRevision, ok := c.modRevisions[condition.Key]
	return ok && condition.ModRevision != 0 && modRevision > condition.ModRevision
}

// Run follows the keys until ctx ends.
func (c *WatchCache) Run(ctx context.Context) error {
	var barriers sync.WaitGroup
	defer barriers.Wait()
	barriers.Go(func() { c.runBarriers(ctx) })
	for ctx.Err() == nil {
		if err := c.listAll(ctx); err != nil {
			c.logger.Info("key listing failed", "err", err)
			_ = pause(ctx, tuning.KVRetryPause) // the loop sees whether ctx has ended
			continue
		}
		c.followWatch(ctx)
	}
	return ctx.Err()
}

// followWatch takes in changes until ctx ends or the store no longer keeps those
// after the cache's revision.
func (c *WatchCache) followWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if c.watchLimiter.Wait(ctx) != nil {
			return
		}
		afterRevision, _ := c.progress()
		err := c.watchOnce(ctx, WatchRequest{
			Prefix: c.prefix, AfterRevision: afterRevision, MaxWait: tuning.WatchMaxWait, Priority: OrdinaryRequest,
		})
		if errors.Is(err, ErrCompacted) {
			c.logger.Info("watch fell behind, listing again")
			return
		}
		if err != nil && ctx.Err() == nil {
			c.logger.Debug("watch failed", "err", err)
			_ = pause(ctx, tuning.KVRetryPause) // the loop sees whether ctx has ended
		}
	}
}

// progress gives the revision that the cache has reached, and whether a watch
// has answered yet.
func (c *WatchCache) progress() (revision uint64, synced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.synced
}

func (c *WatchCache) watchOnce(ctx context.Context, watch WatchRequest) error {
	askedAt := time.Now()
	changes, err := c.client.Watch(ctx, watch)
	if err != nil {
		return err
	}
	c.applyWatch(watch.AfterRevision, changes, askedAt)
	return nil
}

// applyWatch takes in all changes after a revision that the cache has already
// reached. Answers overlap and may come out of order: what lies at or below the
// cache's own revision was taken in before, and taking it in again would bring
// back keys deleted since. Above it, each key's own modRevision decides, since
// our own transactions run ahead.
func (c *WatchCache) applyWatch(afterRevision uint64, changes wire.WatchResponse, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if afterRevision > c.revision {
		return
	}
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for _, event := range changes.Events {
		if event.ModRevision <= c.revision {
			continue
		}
		if event.PutKey != "" {
			c.putKey(event.PutKey, event.Value, event.ModRevision)
		} else {
			c.deleteKey(event.DeleteKey, event.ModRevision)
		}
	}
	if changes.Revision > c.revision {
		c.revision = changes.Revision
		c.forgetShownDeletes()
	}
	c.synced = true
	c.publishedRevision.Store(c.revision)
	if known := c.completeAsOf.Load(); known == nil || askedAt.After(*known) {
		c.completeAsOf.Store(&askedAt)
	}
}

// ApplyOwn takes in a transaction of this node that was applied at a revision,
// unless the watch was faster.
func (c *WatchCache) ApplyOwn(ops []wire.Op, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for _, op := range ops {
		key := op.Key()
		if !strings.HasPrefix(key, c.prefix) {
			continue
		}
		if op.PutKey != "" {
			c.putKey(key, op.Value, revision)
			continue
		}
		c.deleteKey(key, revision)
		c.ownDeletes[key] = revision
	}
}

// putKey takes in a value unless the cache knows of a newer change of the key.
// The caller holds mu and has begun a group of the sink.
func (c *WatchCache) putKey(key string, value wire.RawValue, modRevision uint64) {
	if modRevision <= c.modRevisions[key] || modRevision <= c.ownDeletes[key] {
		return
	}
	c.modRevisions[key] = modRevision
	c.inFlight[key].recordChange(modRevision, value)
	c.sink.Put(key, value, modRevision)
}

// deleteKey takes in a delete unless the cache knows of a newer change of the
// key. The caller holds mu and has begun a group of the sink.
func (c *WatchCache) deleteKey(key string, revision uint64) {
	if modRevision, ok := c.modRevisions[key]; !ok || revision <= modRevision {
		return
	}
	delete(c.modRevisions, key)
	c.inFlight[key].recordChange(revision, nil)
	c.sink.Delete(key)
}

// forgetShownDeletes forgets our own deletes that the watch has shown. The
// caller holds mu.
func (c *WatchCache) forgetShownDeletes() {
	for key, revision := range c.ownDeletes {
		if revision <= c.revision {
			delete(c.ownDeletes, key)
		}
	}
}

// listAll reads all keys under the prefix, page by page. The cache is then at
// the first page's revision; changes after it are shown by the watch from there.
func (c *WatchCache) listAll(ctx context.Context) error {
	listed := map[string]bool{}
	lastKey, firstRevision := "", uint64(0)
	startedAt := time.Now()
	for isFirstPage := true; ; isFirstPage = false {
		page, err := c.client.List(ctx, c.prefix, lastKey)
		if err != nil {
			return err
		}
		if isFirstPage {
			firstRevision = page.Revision
		}
		c.applyPage(page)
		for _, entry := range page.KeyValues {
			listed[entry.Key] = true
			lastKey = entry.Key
		}
		if !page.HasMore || len(page.KeyValues) == 0 {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	c.deleteUnlisted(listed, firstRevision)
	if c.revision < firstRevision {
		c.revision = firstRevision
	}
	c.logger.Info("keys listed", "count", len(listed), "revision", firstRevision, "duration", time.Since(startedAt))
	return nil
}

// applyPage takes in one page of a listing.
func (c *WatchCache) applyPage(page wire.RangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for _, entry := range page.KeyValues {
		c.putKey(entry.Key, entry.Value, entry.ModRevision)
	}
}

// deleteUnlisted deletes the keys that a listing from a revision on did not
// have. The caller holds mu and has begun a group of the sink.
func (c *WatchCache) deleteUnlisted(listed map[string]bool, firstRevision uint64) {
	for key, modRevision := range c.modRevisions {
		if !listed[key] && modRevision <= firstRevision {
			delete(c.modRevisions, key)
			c.sink.Delete(key)
		}
	}
}
