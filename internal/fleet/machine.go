package fleet

import (
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// key names one attempt of a task.
type key struct {
	ref     world.TaskRef
	attempt uint64
}

// launch is a start command that a worker may still carry out.
type launch struct {
	token uint64
	// seq is the report whose answer carried the command; the worker's next
	// report settles it. 0: sent straight to the worker.
	seq uint64
	// open: a direct command is on its way. Without an answer it stays in doubt
	// until the worker shows a higher token, a new session, or is deleted.
	open bool
}

// seen is a task as last reported.
type seen struct {
	wire.TaskReport
	since time.Time
}

// cached is an image a worker is believed to hold.
type cached struct {
	used time.Time
	gb   float64
}

// machine is what this node knows of a worker.
type machine struct {
	name    string
	address string
	typ     string
	zone    string
	spot    bool

	session uint64
	seq     uint64
	beatSeq uint64 // of the last report that asked for an answer
	token   uint64 // highest the worker has shown in this session
	heard   time.Time
	recall  time.Time // zero: no notice
	tasks   map[key]seen
	stray   map[key]time.Time
	starts  map[key][]launch
	images  map[string]cached

	refused time.Time            // a start was refused for want of room
	errors  map[string]time.Time // jobs whose tasks failed here

	direct   bool      // a direct command is in flight
	directAt time.Time // when the last one failed
	obeyed   time.Time // when it was last known to hear this node
	beatAt   time.Time // when its last report came that asked for an answer
	since    time.Time // when this node first heard of it
	back     time.Time // when it answered a command again, after some without an answer since its last report
	deafFrom time.Time // when the first command since then failed
}

// deaf tells whether a machine's reports prove nothing of its hearing: a direct command to it failed,
// and since then it has neither answered one nor stayed with this node after an answer. Its reports arrive
// all the same, so that by them alone each would make it look ready for another task.
func (m *machine) deaf() bool { return m.directAt.After(m.obeyed) }

// hears tells whether a machine is known to hear this node.
func (m *machine) hears() bool { return !m.obeyed.IsZero() && !m.deaf() }

// unheard notes that a direct command got no answer.
func (m *machine) unheard(now time.Time) {
	if !m.deaf() {
		m.deafFrom = now
	}
	m.directAt, m.back = now, time.Time{}
}

// answers notes that a direct command got an answer.
func (m *machine) answers(now time.Time) {
	m.obeyed = now
	if m.directAt.After(m.beatAt) && m.back.IsZero() {
		m.back = now
	}
}

// awaited is from when on reports of a machine that answers are to be expected, and how long the first may
// take: a worker that is new to this node, or that was out of reach, first has to find its part's owner. What
// came back from a cut was once taken for mute at once, and its replicas were stopped.
func (m *machine) awaited() (from time.Time, find time.Duration) {
	from = m.beatAt
	for _, t := range []time.Time{m.since, m.back} {
		if t.After(from) {
			from, find = t, tuning.FindNode
		}
	}
	return from, find
}

// stays tells whether a report shows that its worker heard the answer to the one before: after
// a lost answer it would have gone on to another node, and counted that report.
func (m *machine) stays(r *wire.Report) bool {
	return r.Session == m.session && m.seq == m.beatSeq && r.Seq == m.seq+1
}

func newMachine(name string) *machine {
	return &machine{
		name: name, tasks: map[key]seen{}, stray: map[key]time.Time{}, starts: map[key][]launch{},
		images: map[string]cached{}, errors: map[string]time.Time{},
	}
}

// cache notes that an image is held now; beyond the cache's size those used
// longest ago are gone.
func (m *machine) cache(image string, gb, sizeGB float64, now time.Time) {
	m.images[image] = cached{now, gb}
	sum := 0.0
	for _, c := range m.images {
		sum += c.gb
	}
	for sizeGB > 0 && sum > sizeGB && len(m.images) > 1 {
		oldest := image
		for n, c := range m.images {
			if n != image && (oldest == image || c.used.Before(m.images[oldest].used)) {
				oldest = n
			}
		}
		sum -= m.images[oldest].gb
		delete(m.images, oldest)
	}
}

// observe takes in a report; older ones than the last are refused. beat tells
// reports that ask for an answer from those that answer commands. changed tells
// whether the report says anything new.
func (m *machine) observe(r *wire.Report, beat bool, now time.Time) (newer, changed bool) {
	if r.Session < m.session || r.Session == m.session && r.Seq <= m.seq {
		return false, false
	}
	changed = r.Session > m.session || r.Token > m.token || (r.NoticeS != nil) == m.recall.IsZero() || len(m.starts) > 0
	if r.Session > m.session {
		// A new session has none of the old one's tasks, and commands to the
		// old one are refused.
		m.session, m.token, m.beatSeq = r.Session, 0, 0
		clear(m.tasks)
		clear(m.stray)
		clear(m.starts)
		// Its images are as they were: only tasks end with a lease.
	}
	m.seq, m.heard = r.Seq, now
	m.token = max(m.token, r.Token)
	m.address, m.typ, m.zone, m.spot = r.Address, r.Type, r.Zone, r.Spot
	m.recall = time.Time{}
	if r.NoticeS != nil {
		m.recall = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
	}
	if beat {
		m.beatSeq, m.beatAt, m.back = r.Seq, now, time.Time{}
	}
	if m.since.IsZero() {
		m.since = now
	}
	for k, ls := range m.starts {
		keep := ls[:0]
		for _, l := range ls {
			// The worker has shown a higher token: what was sent under a lower
			// one is either in this report or will be refused.
			fenced := l.token < m.token
			settled := l.seq != 0 && l.seq < m.beatSeq
			if !fenced && !settled {
				keep = append(keep, l)
			}
		}
		if len(keep) == 0 {
			delete(m.starts, k)
		} else {
			m.starts[k] = keep
		}
	}
	old := m.tasks
	m.tasks = make(map[key]seen, len(r.Tasks))
	for _, t := range r.Tasks {
		ref, ok := world.ParseRef(t.Task)
		if !ok {
			continue
		}
		k := key{ref, t.Attempt}
		s := seen{t, now}
		if o, ok := old[k]; ok && o.State == t.State {
			s.since = o.since
		} else {
			changed = true
		}
		m.tasks[k] = s
	}
	return true, changed || len(old) != len(m.tasks)
}

// mayStart tells whether a start command for the attempt may still be carried out.
func (m *machine) mayStart(k key) bool { return len(m.starts[k]) > 0 }

// doubt tells whether any direct start without an answer is left.
func (m *machine) doubt(token uint64) bool {
	for _, ls := range m.starts {
		for _, l := range ls {
			if l.seq == 0 && !l.open && l.token >= token {
				return true
			}
		}
	}
	return false
}

// Wish is what the node wants of a bound task.
type Wish struct {
	GraceS float64
	At     time.Time
}

// orders compares what the worker reports with what is bound to it. It marks
// the starts it gives as on their way; seq is the report answered, 0 for a
// direct command.
func (m *machine) orders(bound map[world.TaskRef]world.Binding, known func(ref world.TaskRef, attempt uint64) bool,
	wish func(b world.Binding) (Wish, bool), token, seq uint64, now time.Time) []wire.Order {
	var out []wire.Order
	for k, s := range m.tasks {
		if len(out) >= tuning.OrdersMax {
			return out // the rest follows with the next answer
		}
		b, ok := bound[k.ref]
		here := ok && b.Attempt == k.attempt && b.Session == m.session
		if here {
			delete(m.stray, k)
			if w, stop := wish(b); stop && s.State != wire.TaskExited && (s.State != wire.TaskSaving || w.GraceS == 0) {
				g := w.GraceS
				out = append(out, wire.Order{Op: wire.OpStop, Task: s.Task, Attempt: k.attempt, GraceS: &g})
			}
			continue
		}
		if s.State == wire.TaskExited {
			// Forgotten only once the record has moved past this attempt and no
			// start of it can arrive any more: it would run again.
			if known(k.ref, k.attempt) && !m.mayStart(k) {
				out = append(out, wire.Order{Op: wire.OpForget, Task: s.Task, Attempt: k.attempt})
			}
			continue
		}
		if !known(k.ref, k.attempt) {
			continue
		}
		since, ok := m.stray[k]
		if !ok {
			m.stray[k] = now
		} else if now.Sub(since) > tuning.StrayAfter {
			zero := 0.0
			out = append(out, wire.Order{Op: wire.OpStop, Task: s.Task, Attempt: k.attempt, GraceS: &zero})
		}
	}
	for ref, b := range bound {
		if len(out) >= tuning.OrdersMax {
			break
		}
		if b.Session != m.session {
			continue
		}
		k := key{ref, b.Attempt}
		if _, ok := m.tasks[k]; ok {
			continue
		}
		if _, stop := wish(b); stop {
			continue
		}
		m.starts[k] = append(m.starts[k], launch{token: token, seq: seq, open: seq == 0})
		out = append(out, wire.Order{Op: wire.OpStart, Task: ref.String(), Attempt: b.Attempt})
	}
	return out
}

// answered settles the direct starts of one command that got an answer, or
// leaves them in doubt.
func (m *machine) answered(sent []wire.Order, session, token uint64, ok bool) {
	if session != m.session {
		return
	}
	for _, o := range sent {
		ref, _ := world.ParseRef(o.Task)
		k := key{ref, o.Attempt}
		ls := m.starts[k]
		for i := range ls {
			if ls[i].open && ls[i].token == token {
				if ok {
					ls = append(ls[:i], ls[i+1:]...)
				} else {
					ls[i].open = false
				}
				break
			}
		}
		if len(ls) == 0 {
			delete(m.starts, k)
		} else {
			m.starts[k] = ls
		}
	}
}

// Fate is what became of a bound task.
type Fate int

// Fates.
const (
	Unclear Fate = iota // not to be told yet
	Alive
	Exited
	Lost   // a new session of the worker: it is gone
	Absent // not there, and no command can bring it there
)

// fate tells what the worker's last report says of a binding.
func (m *machine) fate(b world.Binding, token uint64) (Fate, seen) {
	if m.session > b.Session {
		return Lost, seen{}
	}
	if m.session < b.Session {
		return Unclear, seen{}
	}
	k := key{b.Ref, b.Attempt}
	if s, ok := m.tasks[k]; ok {
		if s.State == wire.TaskExited {
			return Exited, s
		}
		return Alive, s
	}
	// Commands of earlier owners are fenced only when the worker shows our token.
	if m.token == token && !m.mayStart(k) {
		return Absent, seen{}
	}
	return Unclear, seen{}
}
