package standin

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// State is a stand-in for the state service.
type State struct {
	mu       sync.Mutex
	rev      uint64
	rows     map[string]wire.Row
	log      []wire.Event
	keep     int // changes kept for watches
	holds    map[uint64]*hold
	nextHold uint64
	changed  chan struct{}
	down     time.Time            // outage until
	refused  map[string]time.Time // nodes refused until

	reqs, writes bucket
	Refusals     int // requests over a limit
	Broken       []string
	txnOps       int
	valueKB      float64
	lowered      bool                           // limits have fallen: refusals for size may happen, though not again and again
	Oversize     int                            // refusals for size since
	Check        func(key string, old wire.Raw) // called with what is about to be written

	lost     odds              // transactions that are carried out at once, and whose answer is lost
	lostRevs map[uint64]string // who wrote the revisions whose answer was lost
	LostRead int               // how often another node read what such a transaction wrote

	late  odds // transactions that get no answer and are carried out later
	slow  odds // requests that take long
	Later int  // transactions that were carried out late
}

type hold struct {
	ttl time.Duration
	end time.Time
}

// odds is a share of messages that a trouble concerns, until a time. Its draws are its own.
type odds struct {
	share float64
	until time.Time
	rnd   *rand.Rand
}

func (o *odds) hit() bool {
	return time.Now().Before(o.until) && o.rnd.Float64() < o.share
}

// between draws a time from a span.
func (o *odds) between(from, to time.Duration) time.Duration {
	return from + time.Duration(o.rnd.Float64()*float64(to-from))
}

type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// NewState makes an empty state service that keeps so many changes for watches.
func NewState(rps, writeRPS float64, txnOps int, valueKB float64, keep int) *State {
	now := time.Now()
	return &State{rows: map[string]wire.Row{}, holds: map[uint64]*hold{}, changed: make(chan struct{}), keep: keep,
		refused: map[string]time.Time{}, lostRevs: map[uint64]string{}, reqs: bucket{rps, rps, now}, writes: bucket{writeRPS, writeRPS, now},
		txnOps: txnOps, valueKB: valueKB}
}

// Lower lets the limits fall without a word.
func (s *State) Lower(writeRPS float64, txnOps int, valueKB float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes.rate, s.txnOps, s.valueKB, s.lowered = writeRPS, txnOps, valueKB, true
}

// Largest is the size of the largest live record, as JSON.
func (s *State) Largest(under string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, which := 0, ""
	for k, r := range s.rows {
		if n := wire.JSONSize(r.Value); strings.HasPrefix(k, under) && n > most {
			most, which = n, k
		}
	}
	return most, which
}

// tooLarge notes a request over the limits. Once they have fallen some are in
// order: nodes can't know.
func (s *State) tooLarge(w http.ResponseWriter, what string) {
	if s.lowered {
		s.Oversize++
	} else {
		s.Broken = append(s.Broken, what)
	}
	wire.Reply(w, http.StatusBadRequest, nil)
}

// Snapshot keeps what stands now.
func (s *State) Snapshot() map[string]wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// Row gives what stands under a key.
func (s *State) Row(key string) wire.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// Restore puts back what a snapshot holds, as after a loss of writes; sessions are gone. Nobody
// may be using the service meanwhile.
func (s *State) Restore(rows map[string]wire.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.holds, s.log = map[string]wire.Row{}, map[uint64]*hold{}, nil
	s.rev++
	for k, r := range rows {
		if r.Hold == 0 {
			s.rows[k] = r
		}
	}
}

// Outage refuses all requests until a time.
func (s *State) Outage(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = until
	for _, h := range s.holds {
		h.end = until.Add(h.ttl) // every hold has its full time again
	}
}

// Refuse refuses one node's requests until a time, while its holds run out.
func (s *State) Refuse(node string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = until
}

// LateWrites lets a share of the transactions go without an answer until a time: they are carried
// out 2 to 12 s later, after newer ones of the same node.
func (s *State) LateWrites(share float64, until time.Time, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = odds{share, until, rand.New(rand.NewPCG(seed, 51))}
}

// LoseAnswers lets a share of the transactions be carried out at once while their answers are lost, until
// a time.
func (s *State) LoseAnswers(share float64, until time.Time, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = odds{share, until, rand.New(rand.NewPCG(seed, 54))}
}

// Slow lets a share of the requests take up to 2 s until a time, most of them less than a node waits.
func (s *State) Slow(share float64, until time.Time, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = odds{share, until, rand.New(rand.NewPCG(seed, 52))}
}

func (s *State) expire() {
	now := time.Now()
	if now.Before(s.down) {
		return
	}
	for id, h := range s.holds {
		if now.After(h.end) {
			s.endHold(id)
		}
	}
}

func (s *State) endHold(id uint64) {
	delete(s.holds, id)
	var keys []string
	for k, r := range s.rows {
		if r.Hold == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.rev++
		delete(s.rows, k)
		s.note(wire.Event{Drop: k, Stamp: s.rev})
	}
}

func (s *State) note(e wire.Event) {
	s.log = append(s.log, e)
	if len(s.log) > s.keep {
		s.log = s.log[len(s.log)-s.keep:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers as the protocol says.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow.hit() {
		d := s.slow.between(50*time.Millisecond, 2*time.Second)
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
	}
	if r.URL.Path == "/multi" && s.late.hit() {
		d := s.late.between(2*time.Second, 12*time.Second)
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
		w.Header().Set(lostHeader, "1")
		s.Later++
	}
	s.expire()
	now := time.Now()
	if now.Before(s.down) || now.Before(s.refused[r.Header.Get(fromHeader)]) {
		wire.Reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	if !s.reqs.take(1) {
		s.Refusals++
		wire.Reply(w, http.StatusTooManyRequests, nil)
		return
	}
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/watch":
		s.watch(w, r, q.Get("under"), q.Get("after"), q.Get("hold_ms"))
	case r.Method == http.MethodGet && path == "/store":
		s.list(w, q.Get("under"), q.Get("after"), q.Get("page"))
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		row, ok := s.rows[strings.TrimPrefix(path, "/store/")]
		if !ok {
			wire.Reply(w, http.StatusNotFound, wire.Row{Revision: s.rev})
			return
		}
		wire.Reply(w, http.StatusOK, row)
	case path == "/multi":
		before := s.rev
		s.txn(w, body)
		if s.lost.hit() {
			w.Header().Set(lostHeader, "1")
			if s.rev > before {
				s.lostRevs[s.rev] = r.Header.Get(fromHeader)
			}
		}
	case path == "/holds":
		var h wire.HoldRequest
		if wire.Decode(body, &h) != nil || h.TTLMs < 100 || h.TTLMs > 600000 {
			wire.Reply(w, http.StatusBadRequest, nil)
			return
		}
		s.nextHold++
		ttl := time.Duration(h.TTLMs) * time.Millisecond
		s.holds[s.nextHold] = &hold{ttl, now.Add(ttl)}
		wire.Reply(w, http.StatusOK, wire.HoldResult{Hold: s.nextHold})
	case strings.HasPrefix(path, "/holds/"):
		id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		h := s.holds[id]
		if h == nil {
			wire.Reply(w, http.StatusNotFound, nil)
			return
		}
		if r.Method == http.MethodDelete {
			s.endHold(id)
		} else {
			h.end = now.Add(h.ttl)
		}
		w.WriteHeader(http.StatusOK)
	default:
		wire.Reply(w, http.StatusBadRequest, nil)
	}
}

func (s *State) list(w http.ResponseWriter, under, after, page string) {
	limit, _ := strconv.Atoi(page)
	limit = min(max(limit, 1), 1000)
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, under) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := wire.Rows{Revision: s.rev, Items: []wire.Row{}}
	for _, k := range keys {
		if len(out.Items) == limit {
			out.More = true
			break
		}
		out.Items = append(out.Items, s.rows[k])
	}
	wire.Reply(w, http.StatusOK, out)
}

func (s *State) watch(w http.ResponseWriter, r *http.Request, under, after, hold string) {
	from, _ := strconv.ParseUint(after, 10, 64)
	ms, _ := strconv.Atoi(hold)
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		if len(s.log) == s.keep && s.log[0].Stamp > from+1 {
			wire.Reply(w, http.StatusGone, nil)
			return
		}
		out := wire.News{Revision: s.rev, Events: []wire.Event{}}
		for _, e := range s.log {
			if e.Stamp > from && (strings.HasPrefix(e.Set, under) && e.Set != "" || strings.HasPrefix(e.Drop, under) && e.Drop != "") {
				out.Events = append(out.Events, e)
			}
		}
		for _, e := range out.Events {
			if by := s.lostRevs[e.Stamp]; by != "" && by != r.Header.Get(fromHeader) {
				s.LostRead++
			}
		}
		if len(out.Events) > 0 || !time.Now().Before(end) {
			wire.Reply(w, http.StatusOK, out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(min(time.Until(end), 50*time.Millisecond)) // ended holds show here too
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		s.mu.Lock()
		s.expire()
		if r.Context().Err() != nil {
			return
		}
		for time.Now().Before(s.down) || time.Now().Before(s.refused[r.Header.Get(fromHeader)]) {
			s.mu.Unlock() // open watches remain open during an outage
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

func (s *State) txn(w http.ResponseWriter, body []byte) {
	var t wire.Txn
	if err := wire.Decode(body, &t); err != nil || len(t.Apply) > s.txnOps || len(t.Guards) > 4*s.txnOps || len(body) > 64<<10 {
		s.tooLarge(w, "transaction over its limits or unreadable")
		return
	}
	if !s.writes.take(float64(len(t.Apply))) {
		s.Refusals++
		wire.Reply(w, http.StatusTooManyRequests, nil)
		return
	}
	for _, o := range t.Apply {
		if o.Set != "" && float64(wire.JSONSize(o.Value)) > s.valueKB*1024 || o.Key() == "" || o.Set != "" && o.Drop != "" {
			s.tooLarge(w, "value over its limit: "+o.Key())
			return
		}
		if o.Hold != 0 && s.holds[o.Hold] == nil {
			wire.Reply(w, http.StatusBadRequest, wire.Problem{Error: "no such lease"})
			return
		}
	}
	var failed []string
	for _, g := range t.Guards {
		if s.rows[g.Key].Stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		wire.Reply(w, http.StatusConflict, wire.TxnResult{Failed: failed, Revision: s.rev})
		return
	}
	if len(t.Apply) > 0 {
		s.rev++
	}
	for _, o := range t.Apply {
		if o.Set != "" {
			if s.Check != nil {
				s.Check(o.Set, o.Value)
			}
			s.rows[o.Set] = wire.Row{Key: o.Set, Value: slices.Clone(o.Value), Stamp: s.rev, Hold: o.Hold}
			s.note(wire.Event{Set: o.Set, Value: slices.Clone(o.Value), Stamp: s.rev})
		} else if _, ok := s.rows[o.Drop]; ok {
			delete(s.rows, o.Drop)
			s.note(wire.Event{Drop: o.Drop, Stamp: s.rev})
		}
	}
	wire.Reply(w, http.StatusOK, wire.TxnResult{Revision: s.rev})
}
