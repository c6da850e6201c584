package kvstore

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// readBarrier is one request for the store's present revision, shared by all
// who came before it was sent.
type readBarrier struct {
	done chan struct{} // closed once err is set
	err  error
}

func newReadBarrier() *readBarrier { return &readBarrier{done: make(chan struct{})} }

// barrierQueue gathers the callers of the read barrier to come.
type barrierQueue struct {
	limiter *rate.Limiter
	wake    chan struct{} // of capacity 1: somebody waits for the next barrier

	mu   sync.Mutex // guards next
	next *readBarrier
}

func newBarrierQueue(perSecond rate.Limit) *barrierQueue {
	return &barrierQueue{
		limiter: rate.NewLimiter(perSecond, watchBurst),
		wake:    make(chan struct{}, 1),
		next:    newReadBarrier(),
	}
}

// join asks for a read barrier and returns the one that comes next.
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

// take returns the barrier that is about to be sent; who joins later waits for
// another.
func (q *barrierQueue) take() *readBarrier {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.next
	q.next = newReadBarrier()
	return taken
}

// WaitForReadBarrier returns once the cache holds everything that was applied
// before the call. All callers that wait share one request. It fails with
// ErrUnavailable if ctx ends first, and otherwise with the request's error.
func (c *WatchCache) WaitForReadBarrier(ctx context.Context) error {
	barrier := c.barriers.join()
	select {
	case <-barrier.done:
		return barrier.err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// RequestReadBarrier makes the cache catch up without waiting for it.
func (c *WatchCache) RequestReadBarrier() { c.barriers.join() }

// runBarriers sends the read barriers that are asked for until ctx ends, and
// waits for those on their way.
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

// catchUp takes in every change that the store has at present.
func (c *WatchCache) catchUp(ctx context.Context) error {
	revision, synced := c.progress()
	if !synced {
		return ErrUnavailable
	}
	return c.watchOnce(ctx, WatchRequest{Prefix: c.prefix, AfterRevision: revision, Priority: UrgentRequest})
}
