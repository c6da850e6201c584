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

// watchBurst is the burst size of the rate limiters of watches and of read barriers.
const watchBurst = 2

// Sink receives the changes of the cached keys. The changes between BeginUpdate and
// EndUpdate form one group: readers of the sink see either all of them or none.
//
// SetRevision is called within a group: with the end of the group the sink contains
// every change up to the revision. It may contain newer changes too: those of this
// node's own transactions, and those that later pages of a listing show.
type Sink interface {
	BeginUpdate()
	Put(key string, value wire.RawValue, modRevision uint64)
	Delete(key string)
	SetRevision(revision uint64)
	EndUpdate()
}

// WatchCache keeps a Sink up to date with all keys under a prefix, by a list
// followed by watches. Applied transactions of this node may be added before the
// watch shows them (ApplyOwn). WatchCache is safe for concurrent use.
//
// Lock order: mu is locked before the lock of the sink. Revision and CompleteAsOf
// are called by readers that hold the sink's lock, so they must not lock mu, whose
// holder may be waiting for the sink's lock. They read atomic variables that
// change only between BeginUpdate and EndUpdate.
type WatchCache struct {
	client       *Client
	prefix       string
	sink         Sink
	logger       *slog.Logger
	watchLimiter *rate.Limiter
	barriers     *barrierQueue

	mu           sync.Mutex              // guards the fields below, and the order of the sink's groups
	synced       bool                    // there was a response to a watch since the first list
	revision     uint64                  // every change up to this revision has been applied
	modRevisions map[string]uint64       // revision of the last change, by existing key
	inFlight     map[string]*inFlightKey // keys of this node's transactions in flight
	ownDeletes   map[string]uint64       // revisions of this node's deletes that the watch has not shown yet

	publishedRevision atomic.Uint64
	completeAsOf      atomic.Pointer[time.Time]
}

// NewWatchCache returns a cache of the keys under prefix. It is empty until Run is called.
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

// CompleteAsOf returns a time such that the cache contains every change that the
// store applied before it. It returns the zero time before the first response to a
// watch.
func (c *WatchCache) CompleteAsOf() time.Time {
	if completeAsOf := c.completeAsOf.Load(); completeAsOf != nil {
		return *completeAsOf
	}
	return time.Time{}
}

// Revision returns the revision up to which the cache contains every change.
func (c *WatchCache) Revision() uint64 { return c.publishedRevision.Load() }

// IsOutdated reports whether a condition can no longer hold, because the cache
// holds a newer revision of its key. A condition that the key does not exist is
// never outdated: the key may have been deleted at a revision that the cache has
// not reached.
func (c *WatchCache) IsOutdated(condition wire.Condition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	modRevision, ok := c.modRevisions[condition.Key]
	return ok && condition.ModRevision != 0 && modRevision > condition.ModRevision
}

// Run keeps the cache up to date until ctx ends. It returns ctx's error.
func (c *WatchCache) Run(ctx context.Context) error {
	var barriers sync.WaitGroup
	defer barriers.Wait()
	barriers.Go(func() { c.runBarriers(ctx) })
	for ctx.Err() == nil {
		if err := c.listAll(ctx); err != nil {
			c.logger.Info("key listing failed", "err", err)
			_ = pause(ctx, tuning.KVRetryBackoff) // the loop condition checks ctx
			continue
		}
		c.followWatch(ctx)
	}
	return ctx.Err()
}

// followWatch applies changes by repeated watches until ctx ends or the store has
// compacted changes after the cache's revision.
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
			c.logger.Info("watch revision compacted, listing keys again")
			return
		}
		if err != nil && ctx.Err() == nil {
			c.logger.Debug("watch failed", "err", err)
			_ = pause(ctx, tuning.KVRetryBackoff) // the loop condition checks ctx
		}
	}
}

// progress returns the revision of the cache, and whether there was a response to a
// watch yet.
func (c *WatchCache) progress() (revision uint64, synced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.synced
}

// watchOnce sends one watch request and applies the response.
func (c *WatchCache) watchOnce(ctx context.Context, watch WatchRequest) error {
	requestedAt := time.Now()
	changes, err := c.client.Watch(ctx, watch)
	if err != nil {
		return err
	}
	c.applyWatch(watch.AfterRevision, changes, requestedAt)
	return nil
}

// applyWatch applies the response to a watch that was requested at requestedAt and
// lists all changes after afterRevision. It ignores the response if the cache has
// not reached afterRevision. Responses overlap and may arrive out of order: changes
// at or below the cache's revision have been applied before, and applying them
// again would restore keys deleted since. Changes above the cache's revision are
// compared with the modRevision of their key, since this node's own transactions
// may be ahead of the watch.
func (c *WatchCache) applyWatch(afterRevision uint64, changes wire.WatchResponse, requestedAt time.Time) {
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
		c.pruneOwnDeletes()
	}
	c.synced = true
	c.publishedRevision.Store(c.revision)
	c.sink.SetRevision(c.revision)
	if known := c.completeAsOf.Load(); known == nil || requestedAt.After(*known) {
		c.completeAsOf.Store(&requestedAt)
	}
}

// ApplyOwn applies the operations of a transaction of this node, which the store
// applied at revision, unless the watch has reached that revision before.
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

// putKey applies a put, unless the cache has seen the same or a newer change of the
// key. The caller must hold mu and have called the sink's BeginUpdate.
func (c *WatchCache) putKey(key string, value wire.RawValue, modRevision uint64) {
	if modRevision <= c.modRevisions[key] || modRevision <= c.ownDeletes[key] {
		return
	}
	c.modRevisions[key] = modRevision
	c.inFlight[key].recordChange(modRevision, value)
	c.sink.Put(key, value, modRevision)
}

// deleteKey applies a delete, unless the key is absent or the cache has seen the
// same or a newer change of it. The caller must hold mu and have called the sink's
// BeginUpdate.
func (c *WatchCache) deleteKey(key string, revision uint64) {
	if modRevision, ok := c.modRevisions[key]; !ok || revision <= modRevision {
		return
	}
	delete(c.modRevisions, key)
	c.inFlight[key].recordChange(revision, nil)
	c.sink.Delete(key)
}

// pruneOwnDeletes removes this node's deletes that the watch has shown from
// ownDeletes. The caller must hold mu.
func (c *WatchCache) pruneOwnDeletes() {
	for key, revision := range c.ownDeletes {
		if revision <= c.revision {
			delete(c.ownDeletes, key)
		}
	}
}

// listAll reads all keys under the prefix, page by page. Afterwards the cache is at
// least at the revision of the first page; the watch delivers the changes after it.
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

// applyPage applies one page of a listing.
func (c *WatchCache) applyPage(page wire.RangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink.BeginUpdate()
	defer c.sink.EndUpdate()
	for _, entry := range page.KeyValues {
		c.putKey(entry.Key, entry.Value, entry.ModRevision)
	}
}

// deleteUnlisted deletes the keys that are missing in a listing, unless they were
// changed after firstRevision, the revision of its first page. The caller must hold
// mu and have called the sink's BeginUpdate.
func (c *WatchCache) deleteUnlisted(listed map[string]bool, firstRevision uint64) {
	for key, modRevision := range c.modRevisions {
		if !listed[key] && modRevision <= firstRevision {
			delete(c.modRevisions, key)
			c.sink.Delete(key)
		}
	}
}
