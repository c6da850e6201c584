package simulation

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sableusher/internal/wire"
)

// kvPollInterval is the interval at which a watch checks whether a lease has expired or an outage has ended.
const kvPollInterval = 50 * time.Millisecond

// kvWatch is one open watch.
type kvWatch struct {
	prefix   string
	after    uint64 // revision
	deadline time.Time
	source   string // the controller that opened the watch
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

// matches reports whether the watch covers an event: a newer revision of a key under its prefix.
func (watch *kvWatch) matches(event wire.Event) bool {
	return event.ModRevision > watch.after &&
		(strings.HasPrefix(event.PutKey, watch.prefix) && event.PutKey != "" ||
			strings.HasPrefix(event.DeleteKey, watch.prefix) && event.DeleteKey != "")
}

// serveWatch answers with the matching events as soon as there are any, or with none at the watch's deadline. If
// events after the watch's revision may have been discarded, it answers with status 410 (Gone).
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

// eventsOf returns the events that a watch covers. It counts those that another controller wrote without receiving the
// response.
func (kv *FakeKV) eventsOf(watch *kvWatch) []wire.Event {
	events := []wire.Event{}
	for _, event := range kv.events {
		if !watch.matches(event) {
			continue
		}
		events = append(events, event)
		if writer := kv.faults.lostResponseWriters[event.ModRevision]; writer != "" && writer != watch.source {
			kv.UnconfirmedWritesRead++
		}
	}
	return events
}

// waitForEvent releases the lock and waits until there may be an event for the watch. The watch stays open during an
// outage. It returns false if the request was cancelled by its sender. Callers hold the lock.
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
