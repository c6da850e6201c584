package kvstore

import (
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// statusTransport is an http.RoundTripper that answers every request with this status.
type statusTransport int

func (s statusTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Body: http.NoBody}, nil
}

// TestRejectionsReduceTheWriteRate guards against nodes that are rejected forever:
// if the store's limit drops without notice, it rejects all requests above it, so a
// node must lower its write rate. The rate has a lower bound and recovers. The test
// also checks that of the upcoming limits the transaction size applies at once.
func TestRejectionsReduceTheWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(testAddress, Limits{
			RequestsPerSecond: 1000, WritesPerSecond: 100, MaxValueKiB: 16, MaxTransactionOps: 32,
		}, statusTransport(http.StatusTooManyRequests))
		client.SetUpcomingLimits(Limits{
			RequestsPerSecond: 1000, WritesPerSecond: 60, MaxValueKiB: 2, MaxTransactionOps: 10,
		})
		if client.MaxTransactionOps() != 10 || client.writeLimiter.Limit() != 100 ||
			client.MaxRecordBytes() <= client.UpcomingMaxRecordBytes() {
			t.Errorf("before ApplyUpcomingLimits: %d operations, %v writes a second, records of %d bytes",
				client.MaxTransactionOps(), client.writeLimiter.Limit(), client.MaxRecordBytes())
		}
		client.ApplyUpcomingLimits()
		if client.writeLimiter.Limit() != 60 || client.MaxRecordBytes() != client.UpcomingMaxRecordBytes() {
			t.Errorf("after ApplyUpcomingLimits: %v writes a second, records of %d bytes",
				client.writeLimiter.Limit(), client.MaxRecordBytes())
		}
		for range 100 {
			_, _ = client.ExecuteTransaction(t.Context(), wire.TxnRequest{}, OrdinaryRequest)
		}
		if got := client.writeLimiter.Limit(); got != 60*tuning.WriteRateCutFactor {
			t.Errorf("rejections at one moment lowered the write rate to %v", got)
		}
		for range 30 {
			time.Sleep(tuning.WriteRateAdjustInterval)
			_, _ = client.ExecuteTransaction(t.Context(), wire.TxnRequest{}, OrdinaryRequest)
		}
		if got := float64(client.writeLimiter.Limit()); math.Abs(got-60*tuning.WriteRateMinFactor) > 1e-9 {
			t.Errorf("lasting rejections lowered the write rate to %v", got)
		}
		for range 60 {
			time.Sleep(2 * tuning.WriteRateAdjustInterval)
			client.SetBudgetShare(1)
		}
		if got := client.writeLimiter.Limit(); got != 60 {
			t.Errorf("the write rate recovered to %v", got)
		}
	})
}
