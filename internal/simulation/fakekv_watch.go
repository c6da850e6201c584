package simulation

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sableusher/internal/wire"
)

// kvPollInterval is how often a watch looks whether a lease has expired or an outage is over.
const kvPollInterval = 50 * time.Millisecond

// kvWatch is one open watch.
type kvWatch struct {
	prefix   string
	after    uint64 // revision
	deadline time.Time
	source   string // the controller that watches
}

func newKVWatch(r *http.Request) kvWatch {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("hold_ms"))
	return kvWatch{
		prefix:   query.Get("under"),
		after:    after,
		deadline: time.Now().Add(time.Duration(waitMs) * time.Millisecond),
		source:   r.Header.Get(sourceHeader),
	}
}

// matches tells whether a watch is about an event.
func (watch *kvWatch) matches(event wire.Event) bool {
	return event.ModRevision > watch.after &&
		(strings.HasPrefix(event.PutKey, watch.prefix) && event.PutKey != "" ||
			strings.HasPrefix(event.DeleteKey, watch.prefix) && event.DeleteKey != "")
}

// serveWatch answers with the events since a revision as soon as there are some, or with none at the
// watch's deadline.
func (kv *FakeKV) serveWatch(w http.ResponseWriter, r *http.Request) {
	watch := newKVWatch(r)
	for {
		if len(kv.events) == kvMaxEvents && kv.events[0].ModRevision > watch.after+1 {
			wire.WriteResponse(w, http.StatusGone, nil)
			return
		}
		events := kv.eventsOf(&watch)
		if len(events) > 0 || !time.Now().Before(watch.deadline) {
			wire.WriteResponse(w, http.StatusOK, wire.WatchResponse{Revision: kv.revision, Events: events})
			return
		}
		if !kv.waitForEvent(r.Context(), &watch) {
			return
		}
	}
}

func (kv *FakeKV) eventsOf(watch *kvWatch) []wire.Event {
	events := []wire.Event{}
	for _, event := range kv.events {
		if !watch.matches(event) {
			continue
		}
		events = append(events, event)
		if writer := kv.faults.lostAnswerWriters[event.ModRevision]; writer != "" && writer != watch.source {
			kv.LostAnswersRead++
		}
	}
	return events
}

// waitForEvent waits without the lock until there may be something to answer; a watch remains open during
// an outage. False if its sender has given up.
func (kv *FakeKV) waitForEvent(ctx context.Context, watch *kvWatch) bool {
	eventAdded := kv.eventAdded
	kv.mu.Unlock()
	timer := time.NewTimer(min(time.Until(watch.deadline), kvPollInterval))
	select {
	case <-eventAdded:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	kv.mu.Lock()
	kv.expireLeases()
	for ctx.Err() == nil && kv.faults.refuses(watch.source) {
		kv.sleepUnlocked(kvPollInterval)
	}
	return ctx.Err() == nil
}
