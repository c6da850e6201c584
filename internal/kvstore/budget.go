package kvstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
)

// bytesPerKiB converts the store's value limit from KiB to bytes.
const bytesPerKiB = 1024

// Limits are the rates and sizes that the store accepts.
type Limits struct {
	// BudgetShare is the fraction of the rates that this node uses until
	// SetBudgetShare is called; 0 means 1.
	BudgetShare       float64
	RequestsPerSecond float64
	// WritesPerSecond is the rate of changed keys.
	WritesPerSecond float64
	// MaxValueKiB bounds the size of a value in its JSON form.
	MaxValueKiB float64
	// MaxTransactionOps is the maximum number of operations of a transaction.
	MaxTransactionOps int
}

// RequestPriority determines which part of the request budget a request may use.
type RequestPriority int

const (
	// OrdinaryRequest may use the part that all requests share.
	OrdinaryRequest RequestPriority = iota
	// UrgentRequest may also use the part that is reserved for sessions,
	// ownership, acceptance, cancellation and read barriers.
	UrgentRequest
)

// String returns the name of the priority.
func (p RequestPriority) String() string {
	switch p {
	case OrdinaryRequest:
		return "ordinary"
	case UrgentRequest:
		return "urgent"
	}
	return fmt.Sprintf("RequestPriority(%d)", int(p))
}

// budget limits the rates of this node's requests and writes to its share of the
// store's limits. It is safe for concurrent use.
type budget struct {
	requestLimiter *rate.Limiter
	urgentLimiter  *rate.Limiter
	writeLimiter   *rate.Limiter

	mu               sync.Mutex // guards the fields below; the limiters have locks of their own
	limits           Limits     // limits in force
	upcomingLimits   Limits     // never larger than limits
	share            float64    // fraction of the store's rates that this node uses
	backoffFactor    float64    // of the write rate: lowered by rejections, recovers to 1 over time
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

// SetUpcomingLimits sets the limits that the store will switch to later. None may
// exceed the current one. The upcoming maximum size of transactions applies at
// once: the store accepts smaller transactions under the current limits too, and
// every version reads the records that they write. The other limits apply once
// ApplyUpcomingLimits is called.
func (b *budget) SetUpcomingLimits(upcoming Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	upcoming.BudgetShare = b.limits.BudgetShare
	b.upcomingLimits = upcoming
	b.limits.MaxTransactionOps = upcoming.MaxTransactionOps
}

// ApplyUpcomingLimits puts the limits of SetUpcomingLimits in force.
func (b *budget) ApplyUpcomingLimits() {
	b.mu.Lock()
	b.limits = b.upcomingLimits
	share := b.share
	b.mu.Unlock()
	b.SetBudgetShare(share)
}

// MaxTransactionOps returns the maximum number of operations of a transaction.
func (b *budget) MaxTransactionOps() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.MaxTransactionOps
}

// MaxRecordBytes returns the maximum size of a record, in bytes of its JSON form.
func (b *budget) MaxRecordBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.maxRecordBytes()
}

// UpcomingMaxRecordBytes returns the value of MaxRecordBytes under the upcoming
// limits. Jobs accepted now must also be storable once these limits apply.
func (b *budget) UpcomingMaxRecordBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upcomingLimits.maxRecordBytes()
}

func (l *Limits) maxRecordBytes() int {
	return int(l.MaxValueKiB * bytesPerKiB * tuning.JSONShareOfValueLimit)
}

// initialRequestRate returns this node's initial share of the request rate, in
// requests per second.
func (b *budget) initialRequestRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.RequestsPerSecond * b.limits.BudgetShare
}

// SetBudgetShare sets the fraction of the store's rates that this node uses. It also
// raises a lowered write rate by one step if recoverWriteRate allows it.
func (b *budget) SetBudgetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.recoverWriteRate()
	requests := b.limits.RequestsPerSecond * share
	writes := b.limits.WritesPerSecond * share * b.backoffFactor
	setLimiter(b.requestLimiter, requests*(1-tuning.KVUrgentReservedShare), max(int(requests/2), 4))
	setLimiter(b.urgentLimiter, requests*tuning.KVUrgentReservedShare,
		max(int(requests*tuning.KVUrgentReservedShare), 4))
	setLimiter(b.writeLimiter, writes, max(int(writes), b.limits.MaxTransactionOps))
}

// recoverWriteRate raises the backoff factor of the write rate by one step, if it is
// below 1 and has not changed for tuning.WriteRateAdjustInterval. The caller must
// hold mu.
func (b *budget) recoverWriteRate() {
	if b.backoffFactor < 1 && time.Since(b.backoffChangedAt) > tuning.WriteRateAdjustInterval {
		b.backoffFactor, b.backoffChangedAt = min(1, b.backoffFactor+tuning.WriteRateRecoveryStep), time.Now()
	}
}

// reduceWriteRate lowers the write rate after a response with status 429, at most
// once per tuning.WriteRateAdjustInterval. Each node lowers its own rate, when it
// receives a 429 itself. Calls of SetBudgetShare raise the rate again, so that the
// node returns to its full rate after a short overload of the store.
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

// setLimiter sets the rate and the burst of a limiter, unless it has the rate already.
func setLimiter(limiter *rate.Limiter, perSecond float64, burst int) {
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimit(rate.Limit(perSecond))
		limiter.SetBurst(burst)
	}
}

// waitForWriteBudget waits until the budget allows at least one write, and
// returns the number of writes that it allows. It does not consume them. It
// returns ctx's error if ctx ends first.
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

// spendWriteBudget consumes the budget of a number of writes without waiting. The
// budget may become negative; later writes then wait longer. Nothing is consumed if
// writes exceeds the limiter's burst, which only a transaction with more than
// MaxTransactionOps operations can do.
func (b *budget) spendWriteBudget(writes int) { b.writeLimiter.ReserveN(time.Now(), writes) }

// waitForRequestBudget waits until the budget allows a request and consumes it.
// It returns ErrUnavailable if ctx ends first.
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
