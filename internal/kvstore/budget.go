package kvstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
)

// bytesPerKiB is the unit of the store's value limit.
const bytesPerKiB = 1024

// Limits are the rates and sizes that the store accepts.
type Limits struct {
	// BudgetShare is the fraction of the rates that this node uses until
	// SetBudgetShare; 0 stands for the whole.
	BudgetShare       float64
	RequestsPerSecond float64
	// WritesPerSecond counts changed keys.
	WritesPerSecond float64
	// MaxValueKiB bounds a value, measured in its JSON form.
	MaxValueKiB float64
	// MaxTransactionOps bounds the operations of one transaction.
	MaxTransactionOps int
}

// RequestPriority says which part of the request budget a request may use.
type RequestPriority int

const (
	// OrdinaryRequest uses the part that all requests share.
	OrdinaryRequest RequestPriority = iota
	// UrgentRequest may also use the part that is reserved for sessions,
	// ownership, acceptance, cancellation and read barriers.
	UrgentRequest
)

// String names the priority.
func (p RequestPriority) String() string {
	switch p {
	case OrdinaryRequest:
		return "ordinary"
	case UrgentRequest:
		return "urgent"
	}
	return fmt.Sprintf("RequestPriority(%d)", int(p))
}

// budget paces a node's requests and writes within its share of the store's
// limits. It is safe for concurrent use; the limiters lock themselves.
type budget struct {
	requestLimiter *rate.Limiter
	urgentLimiter  *rate.Limiter
	writeLimiter   *rate.Limiter

	mu               sync.Mutex // guards the fields below
	limits           Limits     // in force
	upcomingLimits   Limits     // at most as large as limits
	share            float64    // of the whole budget
	backoffFactor    float64    // of the share of writes: lowered by rejections, back to 1 in time
	backoffChangedAt time.Time
}

func newBudget(limits Limits) *budget {
	if limits.BudgetShare == 0 {
		limits.BudgetShare = 1
	}
	b := &budget{
		requestLimiter: rate.NewLimiter(0, 0),
		urgentLimiter:  rate.NewLimiter(0, 0),
		writeLimiter:   rate.NewLimiter(0, 0),
		limits:         limits,
		upcomingLimits: limits,
		backoffFactor:  1,
	}
	b.SetBudgetShare(limits.BudgetShare)
	return b
}

// SetUpcomingLimits announces the limits that the store will have from some
// moment on, none of them above those of today. Transactions keep to their new
// size at once, since any store takes small ones and any version reads them;
// records and rates follow with ApplyUpcomingLimits.
func (b *budget) SetUpcomingLimits(upcoming Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	upcoming.BudgetShare = b.limits.BudgetShare
	b.upcomingLimits = upcoming
	b.limits.MaxTransactionOps = upcoming.MaxTransactionOps
}

// ApplyUpcomingLimits puts the announced limits in force.
func (b *budget) ApplyUpcomingLimits() {
	b.mu.Lock()
	b.limits = b.upcomingLimits
	share := b.share
	b.mu.Unlock()
	b.SetBudgetShare(share)
}

// MaxTransactionOps is the most operations that a transaction may have.
func (b *budget) MaxTransactionOps() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.MaxTransactionOps
}

// MaxRecordBytes is the largest record to write, in bytes of its JSON form.
func (b *budget) MaxRecordBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.maxRecordBytes()
}

// UpcomingMaxRecordBytes is MaxRecordBytes under the announced limits: what is
// accepted today must be storable then too.
func (b *budget) UpcomingMaxRecordBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upcomingLimits.maxRecordBytes()
}

func (l *Limits) maxRecordBytes() int {
	return int(l.MaxValueKiB * bytesPerKiB * tuning.JSONShareOfValueLimit)
}

// initialRequestRate is this node's share of the request rate at first, a second.
func (b *budget) initialRequestRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.RequestsPerSecond * b.limits.BudgetShare
}

// SetBudgetShare sets the fraction of the store's rates that this node uses.
func (b *budget) SetBudgetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.recoverWriteRate()
	requests := b.limits.RequestsPerSecond * share
	writes := b.limits.WritesPerSecond * share * b.backoffFactor
	setLimiter(b.requestLimiter, requests*(1-tuning.KVUrgentExtraShare), max(int(requests/2), 4))
	setLimiter(b.urgentLimiter, requests*tuning.KVUrgentExtraShare, max(int(requests*tuning.KVUrgentExtraShare), 4))
	setLimiter(b.writeLimiter, writes, max(int(writes), b.limits.MaxTransactionOps))
}

// recoverWriteRate gives back a step of the write rate once there was no
// rejection for a while. The caller holds mu.
func (b *budget) recoverWriteRate() {
	if b.backoffFactor < 1 && time.Since(b.backoffChangedAt) > tuning.WriteRateAdjustInterval {
		b.backoffFactor, b.backoffChangedAt = min(1, b.backoffFactor+tuning.WriteRateRecoveryStep), time.Now()
	}
}

// reduceWriteRate backs off after a 429; each node that gets one does. The rate
// recovers by itself, so that a store that only had a bad second is used whole
// again.
func (b *budget) reduceWriteRate() {
	b.mu.Lock()
	now := time.Now()
	if now.Sub(b.backoffChangedAt) < tuning.WriteRateAdjustInterval {
		b.mu.Unlock()
		return
	}
	b.backoffFactor, b.backoffChangedAt = max(b.backoffFactor*tuning.WriteRateCutFactor, tuning.WriteRateMinFactor), now
	share := b.share
	b.mu.Unlock()
	b.SetBudgetShare(share)
}

func setLimiter(limiter *rate.Limiter, perSecond float64, burst int) {
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimit(rate.Limit(perSecond))
		limiter.SetBurst(burst)
	}
}

// waitForWriteBudget waits until the budget allows a write and returns how many
// it allows.
func (b *budget) waitForWriteBudget(ctx context.Context) (int, error) {
	for {
		tokens := b.writeLimiter.Tokens()
		if tokens >= 1 {
			return int(tokens), nil
		}
		untilNext := time.Duration((1 - tokens) / float64(b.writeLimiter.Limit()) * float64(time.Second))
		if err := pause(ctx, min(max(untilNext, time.Millisecond), time.Second)); err != nil {
			return 0, err
		}
	}
}

// spendWriteBudget takes writes off the budget.
func (b *budget) spendWriteBudget(writes int) { b.writeLimiter.ReserveN(time.Now(), writes) }

// waitForRequestBudget waits until the budget allows a request. It fails with
// ErrUnavailable if ctx ends first.
func (b *budget) waitForRequestBudget(ctx context.Context, priority RequestPriority) error {
	if priority == UrgentRequest && b.urgentLimiter.Allow() {
		return nil
	}
	if err := b.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// pause waits for a duration; it returns ctx's error if ctx ends first.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
