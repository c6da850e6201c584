package kvstore

import (
	"log/slog"
	"net/http"
	"slices"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// testAddress is an address that nothing answers.
const testAddress = "127.0.0.1:1"

// cachedPrefix is the prefix of the keys that the caches of the tests follow.
const cachedPrefix = "s/"

// cachedKeys are the keys under cachedPrefix that the tests use.
var cachedKeys = []string{"s/a", "s/b", "s/c"}

// minimalLimits are those of tests that send nothing.
var minimalLimits = Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: 1}

func ignoreApplied([]wire.Op, uint64) {}

// mapSink keeps the values that a cache hands it.
type mapSink map[string]string

func (m mapSink) BeginUpdate()                                  {}
func (m mapSink) EndUpdate()                                    {}
func (m mapSink) Put(key string, value wire.RawValue, _ uint64) { m[key] = string(value) }
func (m mapSink) Delete(key string)                             { delete(m, key) }

func newTestCache(transport http.RoundTripper, limits Limits, sink Sink) (*Client, *WatchCache) {
	client := NewClient(testAddress, limits, transport)
	return client, NewWatchCache(client, cachedPrefix, sink, slog.New(slog.DiscardHandler))
}

// drawOps draws one to three operations on different keys.
func drawOps(t *rapid.T, label string) []wire.Op {
	var ops []wire.Op
	keys := append(slices.Clone(cachedKeys), "f/d")
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 3, rapid.ID).Draw(t, label) {
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			ops = append(ops, DeleteOp(key))
		} else {
			ops = append(ops, PutOp(key, rapid.IntRange(0, 2).Draw(t, "value")))
		}
	}
	return ops
}
