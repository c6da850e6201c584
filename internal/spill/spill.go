// Package spill exchanges work with other cells: it offers what waits to them, takes what they
// offer, and tells each what became of its own.
//
// It acts on what package cell decides. All of it is the leader's duty; every change is guarded
// by the leader's record, by the record of the other cell and by the job's own, so that a
// deposed leader changes nothing (safety invariants 11, 12 and 17). Nothing is sent before what it
// says is durable. Where the operators name no cells nothing of this runs.
package spill

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/accept"
	"sableusher/internal/cell"
	"sableusher/internal/config"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Line speaks with other cells.
type Line interface {
	// Exchange asks a cell's leader, whichever of its nodes that is.
	Exchange(ctx context.Context, to config.Cell, m Message) (Message, error)
}

// Committer commits items.
type Committer interface {
	Do(ctx context.Context, it store.Item) (uint64, error)
	TxnOps() int
	LeastRoom() int
}

// Owner tells what this node owns. Callers hold the world's lock.
type Owner interface {
	Owns(part int) (token, stamp uint64, ok bool)
}

// ErrNotLeader: another node of this cell speaks for it.
var ErrNotLeader = errors.New("not the leader")

// Spill is one node's part in the exchange.
type Spill struct {
	op     *config.Operator
	world  *world.World
	owner  Owner
	commit Committer
	line   Line
	teams  map[string]config.Team
	log    *slog.Logger

	mu    sync.Mutex // guards what follows
	heard map[string]*heard
	busy  chan struct{} // held by the one answer at a time: their changes would fail each other's guards
}

// heard is what this process knows of another cell beside its record.
type heard struct {
	at       time.Time
	epoch    uint64
	draining bool
	digest   cell.Digest
	have     []uint64        // its transfers whose end is known here
	held     map[uint64]bool // transfers that it is known to hold
	turn     int             // where the asks about those of the next message begin
}

// New makes a node's part; without cells in the operators' settings it does nothing.
func New(op *config.Operator, teams []config.Team, w *world.World, o Owner, c Committer, l Line, log *slog.Logger) *Spill {
	s := &Spill{op: op, world: w, owner: o, commit: c, line: l, teams: map[string]config.Team{}, log: log, heard: map[string]*heard{}, busy: make(chan struct{}, 1)}
	for _, t := range teams {
		s.teams[t.Name] = t
	}
	for _, c := range op.Cells {
		s.heard[c.Name] = &heard{held: map[uint64]bool{}}
	}
	return s
}

// Run speaks with the other cells until ctx ends.
func (s *Spill) Run(ctx context.Context) error {
	if len(s.op.Cells) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	tick := time.NewTicker(tuning.CellExchange)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		s.world.RLock()
		_, _, leads := s.owner.Owns(world.Leader)
		on := leads && s.world.Level >= tuning.LevelCells
		s.world.RUnlock()
		if !on {
			continue
		}
		var g errgroup.Group
		for _, c := range s.op.Cells {
			g.Go(func() error {
				if err := s.exchange(ctx, c); err != nil {
					s.log.Debug("cell not spoken with", "cell", c.Name, "err", err)
				}
				return nil
			})
		}
		_ = g.Wait()
		if err := s.offer(ctx); err != nil {
			s.log.Debug("nothing offered", "err", err)
		}
	}
}

// guards are the conditions of what a leader writes about another cell. Callers hold the
// world's lock.
func (s *Spill) guards(name string) ([]wire.Guard, bool) {
	_, stamp, leads := s.owner.Owns(world.Leader)
	out := []wire.Guard{{Key: world.PartKey(world.Leader), Stamp: stamp}, {Key: world.CellKey(name)}}
	if c := s.world.Cells[name]; c != nil {
		out[1].Stamp = c.Stamp
	}
	return out, leads
}

// record gives what is kept of another cell. Callers hold the world's lock.
func (s *Spill) record(name string) world.CellRecord {
	if c := s.world.Cells[name]; c != nil {
		return c.CellRecord
	}
	return world.CellRecord{}
}

func (s *Spill) do(ctx context.Context, guards []wire.Guard, ops []wire.Op) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	_, err := s.commit.Do(ctx, store.Item{Guards: guards, Ops: ops, Soon: true})
	return err
}

// away lists the jobs that are with a cell, by number. Callers hold the world's lock.
func (s *Spill) away(name string) map[uint64]*world.Job {
	out := map[uint64]*world.Job{}
	for _, j := range s.world.Jobs {
		if j.Known && j.Away != nil && j.Away.Cell == name {
			out[j.Away.Number] = j
		}
	}
	return out
}

// guests gives what is held of a cell's, for the machine to decide by. Callers hold the world's
// lock.
func (s *Spill) guests(name string) (cell.Guests, map[uint64]*world.Job) {
	g, jobs := cell.Guests{High: s.record(name).High}, map[uint64]*world.Job{}
	for _, j := range s.world.Jobs {
		if j.Known && j.Guest != nil && j.Guest.Cell == name {
			jobs[j.Guest.Number] = j
			g.List = append(g.List, cell.Guest{Number: j.Guest.Number, Epoch: j.Guest.Epoch, Status: cell.Held, Cancelled: j.Cancelled(), Recalled: j.Guest.Recalled})
		}
	}
	if c := s.world.Cells[name]; c != nil {
		for n := range c.Over {
			g.List = append(g.List, cell.Guest{Number: n, Status: cell.Over})
		}
	}
	slices.SortFunc(g.List, func(a, b cell.Guest) int {
		if a.Number < b.Number {
			return -1
		}
		return 1
	})
	return g, jobs
}

// home is a job as the machine sees it.
func home(j *world.Job) cell.Home {
	h := cell.Home{Cancelled: j.Cancelled()}
	if j.Away != nil {
		h.State, h.Number, h.Recalled = cell.Away, j.Away.Number, j.Away.Recalled
	}
	return h
}

// rewrite is a job's own record with a change.
func rewrite(j *world.Job, change func(*world.JobRecord)) (wire.Guard, wire.Op) {
	marked := *j
	change(&marked.JobRecord)
	return wire.Guard{Key: world.JobKey(j.Spec.ID), Stamp: j.Stamp}, marked.Encode(0, nil)
}

// exchange asks another cell about the jobs that are there, and takes its words in.
func (s *Spill) exchange(ctx context.Context, c config.Cell) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CellTimeout)
	defer cancel()
	s.mu.Lock()
	h := s.heard[c.Name]
	have := slices.Clone(h.have)
	s.mu.Unlock()
	s.world.RLock()
	rec := s.record(c.Name)
	line := cell.Line{Own: s.op.CellEpoch, Other: rec.Other}
	m := Message{Cell: s.op.CellName, From: line.Own, To: line.Other, Draining: s.op.CellDrain, Have: have, Want: !s.settled(rec)}
	if s.settled(rec) {
		jobs := s.away(c.Name)
		for _, n := range s.turns(h, jobs) {
			j := jobs[n]
			m.Asks = append(m.Asks, Ask{Number: n, Cancelled: j.Cancelled(), Recalled: j.Away.Recalled, AtMs: j.AtMs, Spec: j.Spec})
		}
	}
	s.world.RUnlock()
	reply, err := s.line.Exchange(ctx, c, m)
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", c.Name, err)
	}
	if reply.Cell != c.Name {
		return fmt.Errorf("exchange with %s: %q answers", c.Name, reply.Cell)
	}
	return s.take(ctx, c.Name, line, reply, have)
}

// turns gives the transfers that the next message asks about, in order: first the lowest of those
// not known to be held, as the receiver refuses what comes below the highest that it took,
// then the others by turns.
func (s *Spill) turns(h *heard, jobs map[uint64]*world.Job) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(h.held, func(n uint64, _ bool) bool { return jobs[n] == nil })
	var out, held []uint64
	for _, n := range slices.Sorted(maps.Keys(jobs)) {
		if h.held[n] {
			held = append(held, n)
		} else if len(out) < tuning.CellAsks {
			out = append(out, n)
		}
	}
	for i := 0; i < len(held) && len(out) < tuning.CellAsks; i++ {
		out = append(out, held[(h.turn+i)%len(held)])
	}
	h.turn += tuning.CellAsks
	slices.Sort(out)
	return out
}

// settled tells whether the inventory of a cell is in, under this cell's epoch.
func (s *Spill) settled(rec world.CellRecord) bool { return rec.Own == s.op.CellEpoch && rec.Settled }

// take takes an answer in: words first, so that a record that says settled follows what it rests
// on.
func (s *Spill) take(ctx context.Context, name string, line cell.Line, m Message, sent []uint64) error {
	line, counts := line.Takes(cell.Envelope{From: m.From, To: m.To})
	now := time.Now()
	s.mu.Lock()
	h := s.heard[name]
	h.at, h.epoch, h.draining = now, m.From, m.Draining
	h.have = slices.DeleteFunc(h.have, func(n uint64) bool { return slices.Contains(sent, n) })
	if counts && m.Digest != nil {
		d := m.Digest
		h.digest = cell.Digest{At: now, Rooms: d.Rooms, Waits: d.Waits, Images: d.Images, FetchS: d.FetchS, BootS: d.BootS, Guests: d.Guests}
	}
	s.mu.Unlock()
	done := counts
	if counts {
		for _, w := range m.Words {
			if cell.Status(w.Status) == cell.Held {
				s.mu.Lock()
				h.held[w.Number] = true
				s.mu.Unlock()
			}
			if err := s.word(ctx, name, w); err != nil {
				return err
			}
		}
		if m.List != nil {
			ok, err := s.settle(ctx, name, m.List)
			if err != nil {
				return err
			}
			done = ok
		}
	}
	return s.stand(ctx, name, line, done && m.List != nil, m.List)
}

// stand brings the record of another cell up to date.
func (s *Spill) stand(ctx context.Context, name string, line cell.Line, settled bool, list *Inventory) error {
	s.mu.Lock()
	h := *s.heard[name]
	s.mu.Unlock()
	s.world.RLock()
	rec := s.record(name)
	guards, leads := s.guards(name)
	s.world.RUnlock()
	if !leads {
		return ErrNotLeader
	}
	next := rec
	if rec.Own != s.op.CellEpoch {
		next.Own, next.Settled = s.op.CellEpoch, false
	}
	m := cell.Member{Name: name, Epoch: rec.Other, Standing: cell.Standing(rec.Standing), Since: time.UnixMilli(rec.SinceMs), Returns: rec.Returns,
		Settled: next.Settled, Fenced: rec.Fenced}
	m = m.Step(time.Now(), cell.Heard{Named: true, At: h.at, Epoch: h.epoch, Draining: h.draining, Settled: settled})
	if m.Standing != cell.Standing(rec.Standing) {
		s.log.Info("cell changes", "cell", name, "standing", m.Standing, "before", cell.Standing(rec.Standing), "epoch", m.Epoch, "waits for", m.Waits(time.Now()))
		next.SinceMs = m.Since.UnixMilli()
	}
	next.Standing, next.Returns, next.Settled = int(m.Standing), m.Returns, m.Settled
	next.Other = max(next.Other, m.Epoch, line.Other)
	if list != nil && settled {
		next.Next = max(next.Next, list.High)
	}
	if next == rec {
		return nil
	}
	return s.do(ctx, guards, []wire.Op{store.Set(world.CellKey(name), next)})
}

// word takes in what another cell says of one transfer.
func (s *Spill) word(ctx context.Context, name string, w Word) error {
	s.world.RLock()
	guards, leads := s.guards(name)
	rec := s.record(name)
	j := s.away(name)[w.Number]
	if j == nil {
		s.world.RUnlock()
		// It is ended or here again; a cell that does not know yet what is away says nothing.
		if cell.Status(w.Status) == cell.Over && s.settled(rec) {
			s.mu.Lock()
			if h := s.heard[name]; !slices.Contains(h.have, w.Number) && len(h.have) < tuning.CellAsks {
				h.have = append(h.have, w.Number)
			}
			s.mu.Unlock()
		}
		return nil
	}
	result := cell.Done
	if w.Final != wire.JobDone {
		result = cell.Cancelled
	}
	after := home(j).Hear(cell.Word{Number: w.Number, Status: cell.Status(w.Status), Result: result})
	var ops []wire.Op
	switch {
	case after.State == cell.Here:
		g, op := rewrite(j, func(r *world.JobRecord) { r.Away = nil })
		guards, ops = append(guards, g), append(ops, op)
	case after.State == cell.Ended:
		status, done := w.Final, w.Done
		if status == "" {
			status = j.Ending() // refused or sent home after its user had cancelled it
		}
		id := j.Spec.ID
		guards = append(guards, wire.Guard{Key: world.JobKey(id), Stamp: j.Stamp})
		ops = []wire.Op{store.Set(world.FinalKey(id), world.FinalRecord{Status: status, Tasks: j.Spec.Tasks, Done: done, AtMs: time.Now().UnixMilli()}), store.Drop(world.JobKey(id))}
		for _, key := range j.Further() {
			if len(ops) < s.commit.TxnOps() {
				ops = append(ops, store.Drop(key))
			}
		}
	}
	s.world.RUnlock()
	if len(ops) == 0 || !leads {
		return nil
	}
	if err := s.do(ctx, guards, ops); err != nil {
		return err
	}
	if after.State == cell.Here {
		s.log.Info("job comes back", "job", j.Spec.ID, "from", name, "number", w.Number)
	} else {
		s.log.Info("job ended in another cell", "job", j.Spec.ID, "cell", name, "number", w.Number, "status", w.Final)
	}
	return nil
}

// settle brings what this cell knows in line with what another holds of its jobs. ok tells
// whether all of it is durable.
func (s *Spill) settle(ctx context.Context, name string, list *Inventory) (ok bool, err error) {
	ok = true
	for _, a := range list.Held {
		s.world.RLock()
		guards, leads := s.guards(name)
		j := s.world.Jobs[a.Spec.ID]
		var op wire.Op
		there := &world.Transfer{Cell: name, Number: a.Number, Epoch: s.op.CellEpoch}
		switch {
		case !leads:
			s.world.RUnlock()
			return false, ErrNotLeader
		case j != nil && j.Known && j.Away != nil && j.Away.Number == a.Number && j.Away.Cell == name:
			s.world.RUnlock()
			continue
		case j != nil && j.Known && (j.Bound > 0 || j.Away != nil && j.Away.Cell != name):
			// Its tasks leave first: their machines are gone, as this cell's epoch says.
			s.world.RUnlock()
			ok = false
			continue
		case j != nil && j.Known:
			g, o := rewrite(j, func(r *world.JobRecord) { r.Away = there })
			guards, op = append(guards, g), o
		default:
			// Accepted in writes that are lost.
			rec := world.JobRecord{Spec: a.Spec, AtMs: a.AtMs, Away: there}
			if why := rec.Lay(s.world.Level, s.world.Fit(s.commit.LeastRoom())); why != "" {
				s.log.Error("job of another cell's inventory can't be recorded", "job", a.Spec.ID, "why", why)
			}
			guards = append(guards, wire.Guard{Key: world.JobKey(a.Spec.ID)}, wire.Guard{Key: world.FinalKey(a.Spec.ID)})
			op = store.Set(world.JobKey(a.Spec.ID), rec)
		}
		s.world.RUnlock()
		s.log.Info("job is with another cell, as that one tells", "job", a.Spec.ID, "cell", name, "number", a.Number)
		if err := s.do(ctx, guards, []wire.Op{op}); err != nil {
			return false, err
		}
	}
	return ok, nil
}

// Answer answers another cell's leader. An error means that nothing is said.
func (s *Spill) Answer(ctx context.Context, m Message) (Message, error) {
	i := slices.IndexFunc(s.op.Cells, func(c config.Cell) bool { return c.Name == m.Cell })
	if i < 0 {
		return Message{}, fmt.Errorf("cell %q is not named here", m.Cell)
	}
	select {
	case s.busy <- struct{}{}:
		defer func() { <-s.busy }()
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
	s.world.RLock()
	rec := s.record(m.Cell)
	guards, leads := s.guards(m.Cell)
	on := s.world.Level >= tuning.LevelCells
	s.world.RUnlock()
	if !leads || !on {
		return Message{}, ErrNotLeader
	}
	line, counts := cell.Line{Own: s.op.CellEpoch, Other: rec.Other}.Takes(cell.Envelope{From: m.From, To: m.To})
	if line.Other != rec.Other {
		// Known before anything is said under it: a late message of an epoch before counts
		// no more.
		next := rec
		next.Other = line.Other
		if next.Own != s.op.CellEpoch {
			next.Own, next.Settled = s.op.CellEpoch, false
		}
		if err := s.do(ctx, guards, []wire.Op{store.Set(world.CellKey(m.Cell), next)}); err != nil {
			return Message{}, err
		}
	}
	reply := Message{Cell: s.op.CellName, From: line.Own, To: line.Other, Draining: s.op.CellDrain}
	if !counts {
		return reply, nil
	}
	if err := s.clean(ctx, m.Cell); err != nil {
		return Message{}, err
	}
	if err := s.hear(ctx, m); err != nil {
		return Message{}, err
	}
	s.world.RLock()
	defer s.world.RUnlock()
	if _, _, leads := s.owner.Owns(world.Leader); !leads {
		return Message{}, ErrNotLeader
	}
	s.tell(&reply, &m)
	return reply, nil
}

// clean drops what was held under an epoch of this cell before: nothing of it runs, as the new
// epoch says.
func (s *Spill) clean(ctx context.Context, name string) error {
	s.world.RLock()
	guests, jobs := s.guests(name)
	guards, _ := s.guards(name)
	var ops []wire.Op
	kept := guests.Clean(s.op.CellEpoch)
	for n, j := range jobs {
		if kept.Word(n).Status == cell.Absent && j.Bound == 0 && len(ops) < s.commit.TxnOps() {
			guards = append(guards, wire.Guard{Key: world.JobKey(j.Spec.ID), Stamp: j.Stamp})
			ops = append(ops, store.Drop(world.JobKey(j.Spec.ID)))
		}
	}
	left := len(guests.List) - len(kept.List) - len(ops)
	s.world.RUnlock()
	if len(ops) > 0 {
		if err := s.do(ctx, guards, ops); err != nil {
			return err
		}
	}
	if left > 0 {
		return fmt.Errorf("%d guests of an epoch before are not dropped yet", left)
	}
	return nil
}

// hear carries out what another cell asks: it takes offers in order, passes on cancellations and
// recalls, releases what is wanted back and forgets what home has.
func (s *Spill) hear(ctx context.Context, m Message) error {
	s.world.RLock()
	guests, jobs := s.guests(m.Cell)
	guards, _ := s.guards(m.Cell)
	rec := s.record(m.Cell)
	next := rec
	var ops []wire.Op
	budget := s.commit.TxnOps() - 1
	change := func(g wire.Guard, op wire.Op) { guards, ops = append(guards, g), append(ops, op) }
	room := s.room()
	var told []func() // once it is durable
	for _, a := range m.Asks {
		if len(ops) >= budget {
			break
		}
		j := jobs[a.Number]
		spec := a.Spec
		fits := j == nil && room >= spec.Tasks && s.takes(&spec)
		before := guests.Word(a.Number)
		after, word := guests.Hear(cell.Ask{Number: a.Number, Cancelled: a.Cancelled, Recalled: a.Recalled}, s.op.CellEpoch, fits)
		guests = after
		next.High = max(next.High, guests.High)
		switch {
		case j == nil && word.Status == cell.Held && before.Status == cell.Absent:
			rec := world.JobRecord{Spec: spec, AtMs: a.AtMs, Guest: &world.Transfer{Cell: m.Cell, Number: a.Number, Epoch: s.op.CellEpoch}}
			if rec.Lay(s.world.Level, s.world.Fit(s.commit.LeastRoom())) != "" {
				guests, _ = guests.Release(a.Number, 0)
				continue
			}
			room -= spec.Tasks
			change(wire.Guard{Key: world.JobKey(spec.ID)}, store.Set(world.JobKey(spec.ID), rec))
			told = append(told, func() {
				s.log.Info("job taken from another cell", "job", spec.ID, "cell", m.Cell, "number", a.Number)
			})
		case j == nil:
		case (a.Recalled || s.op.CellDrain) && !j.Cancelled() && j.Bound == 0 && j.Done == 0:
			if _, ok := guests.Release(a.Number, j.Bound); ok {
				change(wire.Guard{Key: world.JobKey(spec.ID), Stamp: j.Stamp}, store.Drop(world.JobKey(spec.ID)))
				for _, key := range j.Further() {
					if len(ops) < budget {
						ops = append(ops, store.Drop(key))
					}
				}
				told = append(told, func() { s.log.Info("job sent home", "job", spec.ID, "cell", m.Cell, "number", a.Number) })
			}
		case a.Cancelled && !j.Cancelled():
			change(rewrite(j, func(r *world.JobRecord) { r.CancelMs, r.Certain = max(time.Now().UnixMilli(), 1), true }))
		case a.Recalled && !j.Guest.Recalled:
			change(rewrite(j, func(r *world.JobRecord) {
				back := *r.Guest
				back.Recalled = true
				r.Guest = &back
			}))
		}
	}
	if c := s.world.Cells[m.Cell]; c != nil {
		for _, n := range m.Have {
			if o, ok := c.Over[n]; ok && len(ops) < budget {
				change(wire.Guard{Key: world.OverKey(m.Cell, n), Stamp: o.Stamp}, store.Drop(world.OverKey(m.Cell, n)))
			}
		}
	}
	s.world.RUnlock()
	if next != rec {
		ops = append(ops, store.Set(world.CellKey(m.Cell), next))
	}
	if len(ops) == 0 {
		return nil
	}
	if err := s.do(ctx, guards, ops); err != nil {
		return err
	}
	for _, tell := range told {
		tell()
	}
	return nil
}

// takes tells whether a job of another cell may run here at all.
func (s *Spill) takes(spec *wire.Spec) bool {
	t := s.teams[spec.Team]
	// A limit or guarantee is the home's to keep; what is away would have to be set aside in both.
	return t.GPUsMax == 0 && t.CPUsMax == 0 && spec.Kind != wire.KindService && len(spec.Awaits) == 0 &&
		accept.Impossible(spec, s.teams, s.world.Types) == "" && s.world.Jobs[spec.ID] == nil
}

// tell puts into an answer what the records say. Callers hold the world's lock.
func (s *Spill) tell(reply, m *Message) {
	guests, jobs := s.guests(m.Cell)
	word := func(n uint64) Word {
		out := Word{Number: n, Status: int(guests.Word(n).Status)}
		if j := jobs[n]; j != nil {
			out.Done = j.Done
		}
		if c := s.world.Cells[m.Cell]; c != nil {
			if o, ok := c.Over[n]; ok {
				out.Final, out.Done = o.Status, o.Done
			}
		}
		return out
	}
	said := map[uint64]bool{}
	for _, a := range m.Asks {
		// Of an offer that was not looked at nothing is known yet.
		if a.Number <= guests.High {
			reply.Words = append(reply.Words, word(a.Number))
			said[a.Number] = true
		}
	}
	for _, g := range guests.List {
		if g.Status == cell.Over && !said[g.Number] && len(reply.Words) < 2*tuning.CellAsks {
			reply.Words = append(reply.Words, word(g.Number))
		}
	}
	if m.Want {
		list := &Inventory{High: guests.High}
		for _, g := range guests.List {
			if j := jobs[g.Number]; j != nil {
				list.Held = append(list.Held, Ask{Number: g.Number, AtMs: j.AtMs, Spec: j.Spec})
			} else {
				list.Over = append(list.Over, word(g.Number))
			}
		}
		reply.List = list
	}
	reply.Digest = s.digest()
}

// room is how many more tasks of other cells' jobs are taken. Callers hold the world's lock.
func (s *Spill) room() int {
	if s.op.CellDrain {
		return 0
	}
	held := 0
	for _, j := range s.world.Jobs {
		if j.Known && j.Guest != nil {
			held += j.Spec.Tasks - j.Done
		}
	}
	return max(s.op.CellGuests-held, 0)
}

// digest tells what this cell has free. Callers hold the world's lock.
func (s *Spill) digest() *Digest {
	type like struct {
		typ, zone string
		spot      bool
		free      world.Amount
	}
	count, images, up := map[like]int{}, map[string]int{}, 0
	fetch, boot := 0.0, 0.0
	for _, t := range s.world.Types {
		boot = max(boot, t.BootS)
	}
	for _, m := range s.world.Machines {
		t, ok := s.world.Types[m.Type]
		if !ok || !m.Up || m.Gone || m.Drain {
			continue
		}
		up++
		if t.FetchGBps > 0 {
			fetch = max(fetch, 1/t.FetchGBps)
		}
		for image := range m.Images {
			images[image]++
		}
		free := world.Capacity(&t).Plus(m.Used, -1)
		if free.GPUs > 0 || t.GPUs == 0 && free.CPUs > 0 {
			// Whole GPUs, cores in fours and GB in sixteens: what is told need not be exact.
			free = world.Amount{CPUs: float64(int(free.CPUs/4)) * 4, GPUs: float64(int(free.GPUs)), Mem: float64(int(free.Mem/16)) * 16}
			count[like{m.Type, m.Zone, m.Spot, free}]++
		}
	}
	d := &Digest{FetchS: fetch, BootS: boot, Guests: s.room()}
	for l, n := range count {
		d.Rooms = append(d.Rooms, cell.Room{Type: l.typ, Zone: l.zone, Spot: l.spot, Free: l.free, Count: n})
	}
	slices.SortFunc(d.Rooms, func(a, b cell.Room) int { return cmpRoom(&a, &b) })
	d.Rooms = cell.Shrink(d.Rooms)
	for _, image := range slices.Sorted(maps.Keys(images)) {
		if images[image]*tuning.DigestHeld >= up && len(d.Images) < tuning.DigestShapes {
			d.Images = append(d.Images, image)
		}
	}
	for rank := range wire.Ranks {
		d.Waits = append(d.Waits, s.wait(rank))
	}
	return d
}

func cmpRoom(a, b *cell.Room) int {
	x, y := fmt.Sprint(*a), fmt.Sprint(*b)
	if x < y {
		return -1
	} else if x > y {
		return 1
	}
	return 0
}

// wait is how long work of a rank without room is expected to wait here, in seconds: what waits
// of its rank and above, over the pace at which what runs of those ends. Callers hold the
// world's lock.
func (s *Spill) wait(rank int) float64 {
	waits, runs := 0.0, 0.0
	for _, j := range s.world.Jobs {
		if !j.Known || j.Cancelled() || j.Away != nil || wire.Rank(j.Spec.Priority) > rank || j.Spec.Kind == wire.KindService {
			continue
		}
		waits += float64(j.Pending()) * j.Spec.EstimateS
		runs += float64(j.Bound)
	}
	if waits == 0 {
		return 0
	}
	return min(waits/max(runs, 1), tuning.NoDeadline.Seconds())
}

// offer gives away what is expected to start sooner elsewhere.
func (s *Spill) offer(ctx context.Context) error {
	now := time.Now()
	s.world.RLock()
	var list []cell.Candidate
	flight := map[string]int{}
	for _, c := range s.op.Cells {
		rec := s.record(c.Name)
		s.mu.Lock()
		h := s.heard[c.Name]
		if s.settled(rec) && cell.Standing(rec.Standing) == cell.Joined {
			list = append(list, cell.Candidate{Name: c.Name, Digest: h.digest, TransferS: c.TransferS})
		}
		s.mu.Unlock()
	}
	if len(list) == 0 {
		s.world.RUnlock()
		return nil
	}
	for _, j := range s.world.Jobs {
		// What was given since the digest came is on its way.
		if j.Known && j.Away != nil {
			if i := slices.IndexFunc(list, func(c cell.Candidate) bool { return c.Name == j.Away.Cell }); i >= 0 && time.UnixMilli(j.AwayMs).After(list[i].Digest.At.Add(-tuning.CellExchange)) {
				flight[j.Away.Cell] += j.Spec.Tasks
			}
		}
	}
	type gift struct {
		job *world.Job
		to  string
	}
	var gifts []gift
	wait := map[int]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.world.Jobs)) {
		j := s.world.Jobs[id]
		if len(gifts) >= tuning.CellGifts || !j.Startable() || !s.mayLeave(j) {
			continue
		}
		rank := wire.Rank(j.Spec.Priority)
		if _, ok := wait[rank]; !ok {
			wait[rank] = s.wait(rank)
		}
		for i := range list {
			list[i].Flight = flight[list[i].Name]
		}
		w := cell.Work{ID: id, Need: world.Need(&j.Spec), Tasks: j.Spec.Tasks, OneZone: j.Spec.OneZone, Types: j.Spec.Types,
			Spot: j.Spec.Spot, Rank: rank, Image: j.Spec.Image, ImageGB: j.Spec.ImageGB, HereS: max(wait[rank], now.Sub(j.Since()).Seconds()), Guest: j.Guest != nil}
		if to, ok := cell.Choose(now, &w, list, rand.New(rand.NewPCG(rand.Uint64(), 1))); ok {
			gifts = append(gifts, gift{j, to})
			flight[to] += j.Spec.Tasks
		}
	}
	next, given := map[string]world.CellRecord{}, map[string][]string{}
	ops, guards := map[string][]wire.Op{}, map[string][]wire.Guard{}
	for _, g := range gifts {
		rec, ok := next[g.to]
		if !ok {
			rec = s.record(g.to)
			guards[g.to], _ = s.guards(g.to)
		}
		if _, ok := home(g.job).Give(rec.Next + 1); !ok || len(ops[g.to]) >= s.commit.TxnOps()-1 {
			continue
		}
		rec.Next++
		next[g.to] = rec
		guard, op := rewrite(g.job, func(r *world.JobRecord) {
			r.Away, r.AwayMs = &world.Transfer{Cell: g.to, Number: rec.Next, Epoch: s.op.CellEpoch}, now.UnixMilli()
		})
		guards[g.to], ops[g.to] = append(guards[g.to], guard), append(ops[g.to], op)
		given[g.to] = append(given[g.to], g.job.Spec.ID)
	}
	s.world.RUnlock()
	var errs []error
	for to, list := range ops {
		err := s.do(ctx, guards[to], append(list, store.Set(world.CellKey(to), next[to])))
		if errs = append(errs, err); err == nil {
			s.log.Info("jobs given to another cell", "cell", to, "jobs", given[to])
		}
	}
	return errors.Join(errs...)
}

// mayLeave tells whether a job is one that may be given away: nothing of it has started, one record
// says all of it, and nothing but its own team's room holds it here. Callers hold the lock.
func (s *Spill) mayLeave(j *world.Job) bool {
	t, ok := s.teams[j.Spec.Team]
	return ok && t.GPUsMax == 0 && t.CPUsMax == 0 && t.GPUs == 0 && t.CPUs == 0 && j.Spec.Kind != wire.KindService && j.Guest == nil && j.Away == nil &&
		j.Bound == 0 && j.Done == 0 && len(j.Spec.Awaits) == 0 && j.Spec.Zone == "" && j.Records() == 1 && len(j.Further()) == 0 &&
		time.Since(j.Since()) > tuning.SpillAfter && j.Spec.Repeats == nil
}
