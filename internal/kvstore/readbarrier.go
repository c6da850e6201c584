package kvstore

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// readBarrier is one request that brings the cache up to the store's current
// revision. It is shared by all callers that joined before it was sent.
type readBarrier struct {
	done chan struct{} // closed after err is set
	err  error         // result of the request
}

func newReadBarrier() *readBarrier { return &readBarrier{done: make(chan struct{})} }

// barrierQueue collects the callers that share the next read barrier. It is safe for
// concurrent use.
type barrierQueue struct {
	limiter *rate.Limiter
	wake    chan struct{} // of capacity 1; signals that the next barrier has callers

	mu   sync.Mutex // guards next
	next *readBarrier
}

// newBarrierQueue returns a queue that sends at most perSecond barriers a second.
func newBarrierQueue(perSecond rate.Limit) *barrierQueue {
	return &barrierQueue{
		limiter: rate.NewLimiter(perSecond, watchBurst),
		wake:    make(chan struct{}, 1),
		next:    newReadBarrier(),
	}
}

// join requests a read barrier and returns the next one to be sent.
func (q *barrierQueue) join() *readBarrier {
	q.mu.Lock()
	joined := q.next
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return joined
}

// take returns the barrier that is about to be sent and starts a new one for later
// callers.
func (q *barrierQueue) take() *readBarrier {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.next
	q.next = newReadBarrier()
	return taken
}

// WaitForReadBarrier waits until the cache contains all changes that the store
// applied before the call. Concurrent callers share one request. It returns
// ErrUnavailable if ctx ends first, otherwise the error of the request.
func (c *WatchCache) WaitForReadBarrier(ctx context.Context) error {
	barrier := c.barriers.join()
	select {
	case <-barrier.done:
		return barrier.err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// RequestReadBarrier requests a read barrier without waiting for it.
func (c *WatchCache) RequestReadBarrier() { c.barriers.join() }

// runBarriers sends the requested read barriers until ctx ends, then waits for
// those in flight.
func (c *WatchCache) runBarriers(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.barriers.wake:
		}
		if c.barriers.limiter.Wait(ctx) != nil {
			return
		}
		barrier := c.barriers.take()
		requests.Go(func() {
			barrier.err = c.catchUp(ctx)
			close(barrier.done)
		})
	}
}

// catchUp applies all changes up to the store's current revision to the cache. It
// returns ErrUnavailable before the first response to a watch.
func (c *WatchCache) catchUp(ctx context.Context) error {
	revision, synced := c.progress()
	if !synced {
		return ErrUnavailable
	}
	return c.watchOnce(ctx, WatchRequest{Prefix: c.prefix, AfterRevision: revision, Priority: UrgentRequest})
}
