package kvstore

import (
	"log/slog"
	"net/http"
	"slices"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// testAddress is an address at which no server listens.
const testAddress = "127.0.0.1:1"

// cachedPrefix is the key prefix of the watch caches in tests.
const cachedPrefix = "s/"

// cachedKeys are the keys under cachedPrefix that the tests use.
var cachedKeys = []string{"s/a", "s/b", "s/c"}

// minimalLimits are the limits for tests in which the rates don't matter.
var minimalLimits = Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: 1}

// ignoreApplied is an onApplied callback of a Committer that does nothing.
func ignoreApplied([]wire.Op, uint64) {}

// mapSink is a Sink that stores the values by key.
type mapSink map[string]string

func (m mapSink) BeginUpdate()                                  {}
func (m mapSink) SetRevision(uint64)                            {}
func (m mapSink) EndUpdate()                                    {}
func (m mapSink) Put(key string, value wire.RawValue, _ uint64) { m[key] = string(value) }
func (m mapSink) Delete(key string)                             { delete(m, key) }

// revisionSink is a mapSink that also stores the revision.
type revisionSink struct {
	mapSink
	revision uint64
}

func (s *revisionSink) SetRevision(revision uint64) { s.revision = revision }

// newTestCache returns a client with the transport, and a cache of cachedPrefix that uses it.
func newTestCache(transport http.RoundTripper, limits Limits, sink Sink) (*Client, *WatchCache) {
	client := NewClient(testAddress, limits, transport)
	return client, NewWatchCache(client, cachedPrefix, sink, slog.New(slog.DiscardHandler))
}

// drawOps draws one to three operations on different keys, of which at most one is outside cachedPrefix.
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
