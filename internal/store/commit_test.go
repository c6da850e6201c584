package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/wire"
)

// slow answers every transaction after a while.
type slow time.Duration

func (s slow) RoundTrip(*http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(s))
	body := wire.MustEncode(wire.TxnResult{Revision: 7})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// TestOutcomeOnItsWayIsWaitedFor: a change whose time runs out while its
// transaction is on its way is not unknown yet. Each unknown outcome makes a node
// fence its part, which fails all its other changes: one node once did so two
// hundred times in two minutes.
func TestOutcomeOnItsWayIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewCommitter(NewClient("127.0.0.1:1", Limits{RPS: 100, WriteRPS: 100, TxnOps: 8}, slow(400*time.Millisecond)), func([]wire.Op, uint64) {})
		go func() { _ = c.Run(ctx) }()
		short, done := context.WithTimeout(ctx, 100*time.Millisecond)
		rev, err := c.Do(short, Item{Ops: []wire.Op{Set("a", 1)}, Lazy: true})
		done()
		if rev != 7 || err != nil {
			t.Errorf("revision %d, %v", rev, err)
		}
		cancel()
	})
}
