package api

import (
	"context"
	"errors"
	"sync"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// finalRecordCache reads the final records of ended jobs from the store and caches up to tuning.FinalRecordCacheSize
// of them; when it is full, it evicts the one cached first. Final records never change, so cached ones are never stale.
// It is safe for concurrent use.
type finalRecordCache struct {
	reader kvstore.Reader

	mu      sync.Mutex // guards the fields below
	records map[string]record.Final
	order   []string // the ids of records, oldest first
}

func newFinalRecordCache(reader kvstore.Reader) *finalRecordCache {
	return &finalRecordCache{reader: reader, records: map[string]record.Final{}}
}

// cached returns a job's final record if it is cached.
func (c *finalRecordCache) cached(id string) (record.Final, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, ok := c.records[id]
	return final, ok
}

// read returns a job's final record, from the store if it is not cached. It returns errNoSuchJob if there is none.
func (c *finalRecordCache) read(ctx context.Context, id string) (record.Final, error) {
	if final, ok := c.cached(id); ok {
		return final, nil
	}
	final, err := kvstore.ReadRecord[record.Final](ctx, c.reader, record.FinalKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		return final, errNoSuchJob
	}
	if err == nil {
		c.add(id, final)
	}
	return final, err
}

// add caches a record and evicts the one added first if the cache exceeds its size.
func (c *finalRecordCache) add(id string, final record.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.records[id]; ok {
		return
	}
	c.records[id] = final
	c.order = append(c.order, id)
	if len(c.order) > tuning.FinalRecordCacheSize {
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
}
