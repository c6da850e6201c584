package offload

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// This file is home's side: what is given away, what is asked of it, and what its host's
// words lead to.

// homeTransfer is a job as the machine sees it.
func homeTransfer(j *clusterstate.Job) federation.HomeTransfer {
	h := federation.HomeTransfer{Cancelled: j.Cancelled()}
	if j.OffloadedTo != nil {
		h.State, h.Number, h.Recalled = federation.HomeOffloaded, j.OffloadedTo.Number, j.OffloadedTo.Recalled
	}
	return h
}

// exchange asks another cell about the jobs that are there, and takes its words in.
func (s *Offloader) exchange(ctx context.Context, c config.Cell) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CellTimeout)
	defer cancel()
	s.mu.Lock()
	h := s.peers[c.Name]
	have := slices.Clone(h.endedTransfers)
	s.mu.Unlock()
	s.clusterState.RLock()
	rec := s.cellRecord(c.Name)
	line := federation.EpochPair{Own: s.operator.CellEpoch, Peer: rec.PeerEpoch}
	m := Message{Cell: s.operator.CellName, FromEpoch: line.Own, ToEpoch: line.Peer, Draining: s.operator.CellDrain, EndedTransfers: have, WantsInventory: !s.inventoryReceived(rec)}
	if s.inventoryReceived(rec) {
		jobs := s.offloadedJobs(c.Name)
		for _, n := range s.requestOrder(h, jobs) {
			j := jobs[n]
			m.Requests = append(m.Requests, Request{Number: n, Cancelled: j.Cancelled(), Recalled: j.OffloadedTo.Recalled, SubmittedAtMs: j.SubmittedAtMs, Spec: j.Spec})
		}
	}
	s.clusterState.RUnlock()
	reply, err := s.transport.Exchange(ctx, c, m)
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", c.Name, err)
	}
	if reply.Cell != c.Name {
		return fmt.Errorf("exchange with %s: %q answers", c.Name, reply.Cell)
	}
	return s.applyAnswer(ctx, c.Name, line, reply, have)
}

// requestOrder gives the transfers that the next message asks about, in order: first the lowest of those
// not known to be held, as the receiver refuses what comes below the highest that it took,
// then the others by turns.
func (s *Offloader) requestOrder(h *peerState, jobs map[uint64]*clusterstate.Job) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(h.heldTransfers, func(n uint64, _ bool) bool { return jobs[n] == nil })
	var out, held []uint64
	for _, n := range slices.Sorted(maps.Keys(jobs)) {
		if h.heldTransfers[n] {
			held = append(held, n)
		} else if len(out) < tuning.CellAsks {
			out = append(out, n)
		}
	}
	for i := 0; i < len(held) && len(out) < tuning.CellAsks; i++ {
		out = append(out, held[(h.nextRequest+i)%len(held)])
	}
	h.nextRequest += tuning.CellAsks
	slices.Sort(out)
	return out
}

// inventoryReceived tells whether the inventory of a cell is in, under this cell's epoch.
func (s *Offloader) inventoryReceived(rec record.Cell) bool {
	return rec.OwnEpoch == s.operator.CellEpoch && rec.InventoryReceived
}

// underOwnEpoch is a record as it counts under this cell's epoch: what was settled before is not now.
func (s *Offloader) underOwnEpoch(rec record.Cell) record.Cell {
	if rec.OwnEpoch != s.operator.CellEpoch {
		rec.OwnEpoch, rec.InventoryReceived = s.operator.CellEpoch, false
	}
	return rec
}

// applyAnswer takes an answer in: words first, so that a record that says settled follows what it rests
// on.
func (s *Offloader) applyAnswer(ctx context.Context, name string, line federation.EpochPair, m Message, sent []uint64) error {
	line, counts := line.Accept(federation.Envelope{From: m.FromEpoch, To: m.ToEpoch})
	s.clusterState.RLock()
	counts = counts && m.FromEpoch > s.cellRecord(name).FencedEpoch
	s.clusterState.RUnlock()
	now := time.Now()
	s.mu.Lock()
	h := s.peers[name]
	h.lastHeard, h.epoch, h.draining = now, m.FromEpoch, m.Draining
	h.endedTransfers = slices.DeleteFunc(h.endedTransfers, func(n uint64) bool { return slices.Contains(sent, n) })
	if counts && m.Digest != nil {
		h.digest = *m.Digest
		h.digest.ReceivedAt = now
	}
	s.mu.Unlock()
	done := counts
	if counts {
		for _, w := range m.Statuses {
			if federation.HostStatus(w.Status) == federation.HostHolds {
				s.mu.Lock()
				h.heldTransfers[w.Number] = true
				s.mu.Unlock()
			}
			if err := s.applyStatus(ctx, name, w); err != nil {
				return err
			}
		}
		if m.Inventory != nil {
			ok, err := s.applyInventory(ctx, name, m.Inventory)
			if err != nil {
				return err
			}
			done = ok
		}
	}
	return s.updateStanding(ctx, name, line, done && m.Inventory != nil, m.Inventory)
}

// updateStanding brings the record of another cell up to date.
func (s *Offloader) updateStanding(ctx context.Context, name string, line federation.EpochPair, settled bool, list *Inventory) error {
	s.mu.Lock()
	h := *s.peers[name]
	s.mu.Unlock()
	s.clusterState.RLock()
	rec := s.cellRecord(name)
	guards, leads := s.leaderConditions(name)
	s.clusterState.RUnlock()
	if !leads {
		return ErrNotLeader
	}
	next := s.underOwnEpoch(rec)
	m := memberOf(name, next).Step(time.Now(), federation.Observation{Configured: true, LastHeard: h.lastHeard, Epoch: h.epoch, Draining: h.draining, InventoryExchanged: settled})
	if m.Standing != federation.Standing(rec.Standing) {
		s.logger.Info("cell changes", "cell", name, "standing", m.Standing, "before", federation.Standing(rec.Standing), "epoch", m.Epoch, "waits for", m.WaitReason(time.Now()))
		next.StandingSinceMs = m.Since.UnixMilli()
		for _, s := range federation.AllStandings {
			standingGauge.WithLabelValues(name, s.String()).Set(map[bool]float64{true: 1}[s == m.Standing])
		}
	}
	next.Standing, next.ReturnCount, next.InventoryReceived = int(m.Standing), m.Returns, m.InventoryExchanged
	next.PeerEpoch = max(next.PeerEpoch, m.Epoch, line.Peer)
	if list != nil && settled {
		next.LastSentTransfer = max(next.LastSentTransfer, list.HighestNumber)
	}
	if next == rec {
		return nil
	}
	return s.commit(ctx, guards, []wire.Op{kvstore.PutOp(record.CellKey(name), next)})
}

// applyStatus takes in what another cell says of one transfer.
func (s *Offloader) applyStatus(ctx context.Context, name string, w Status) error {
	s.clusterState.RLock()
	guards, leads := s.leaderConditions(name)
	rec := s.cellRecord(name)
	j := s.offloadedJobs(name)[w.Number]
	if j == nil {
		s.clusterState.RUnlock()
		// It is ended or here again; a cell that does not know yet what is away says nothing.
		if federation.HostStatus(w.Status) == federation.HostEnded && s.inventoryReceived(rec) {
			s.mu.Lock()
			if h := s.peers[name]; !slices.Contains(h.endedTransfers, w.Number) && len(h.endedTransfers) < tuning.CellAsks {
				h.endedTransfers = append(h.endedTransfers, w.Number)
			}
			s.mu.Unlock()
		}
		return nil
	}
	result := federation.ResultDone
	if w.FinalState != wire.JobDone {
		result = federation.ResultCancelled
	}
	after := homeTransfer(j).ApplyStatus(federation.TransferStatus{Number: w.Number, Status: federation.HostStatus(w.Status), Result: result})
	var ops []wire.Op
	switch {
	case after.State == federation.HomeOwned:
		g, op := rewriteJob(j, func(r *record.Job) { r.OffloadedTo = nil })
		guards, ops = append(guards, g), append(ops, op)
	case after.State == federation.HomeEnded:
		status, done := w.FinalState, w.DoneCount
		if status == "" {
			status = j.CancelledStatus() // refused or sent home after its user had cancelled it
		}
		guards = append(guards, wire.Condition{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision})
		ops = j.FinalizeOps(status, done, time.Now().UnixMilli())
		ops = append(ops, j.DeleteFurtherChunks(s.committer.MaxTransactionOps()-len(ops))...)
	}
	s.clusterState.RUnlock()
	if len(ops) == 0 || !leads {
		return nil
	}
	if err := s.commit(ctx, guards, ops); err != nil {
		return err
	}
	if after.State == federation.HomeOwned {
		s.logger.Info("job comes back", "job", j.Spec.ID, "from", name, "number", w.Number)
	} else {
		s.logger.Info("job ended in another cell", "job", j.Spec.ID, "cell", name, "number", w.Number, "status", w.FinalState)
	}
	return nil
}

// applyInventory brings what this cell knows in line with what another holds of its jobs. ok tells
// whether all of it is durable.
func (s *Offloader) applyInventory(ctx context.Context, name string, list *Inventory) (ok bool, err error) {
	ok = true
	for _, a := range list.Held {
		s.clusterState.RLock()
		guards, leads := s.leaderConditions(name)
		j := s.clusterState.Jobs[a.Spec.ID]
		var op wire.Op
		there := &record.Transfer{Cell: name, Number: a.Number, Epoch: s.operator.CellEpoch}
		switch {
		case !leads:
			s.clusterState.RUnlock()
			return false, ErrNotLeader
		case j != nil && j.HasRecord && j.OffloadedTo != nil && j.OffloadedTo.Number == a.Number && j.OffloadedTo.Cell == name:
			s.clusterState.RUnlock()
			continue
		case j != nil && j.HasRecord && (j.BoundCount > 0 || j.OffloadedTo != nil && j.OffloadedTo.Cell != name):
			// Its tasks leave first: their machines are gone, as this cell's epoch says.
			s.clusterState.RUnlock()
			ok = false
			continue
		case j != nil && j.HasRecord:
			g, o := rewriteJob(j, func(r *record.Job) { r.OffloadedTo = there })
			guards, op = append(guards, g), o
		default:
			// Accepted in writes that are lost.
			rec := record.Job{Spec: a.Spec, SubmittedAtMs: a.SubmittedAtMs, OffloadedTo: there}
			if err := rec.ChooseLayout(s.clusterState.SchemaVersion, s.clusterState.SizeLimits(s.committer.UpcomingMaxRecordBytes())); err != nil {
				s.logger.Error("job of another cell's inventory can't be recorded", "job", a.Spec.ID, "err", err)
			}
			guards = append(guards, wire.Condition{Key: record.JobKey(a.Spec.ID)}, wire.Condition{Key: record.FinalKey(a.Spec.ID)})
			op = kvstore.PutOp(record.JobKey(a.Spec.ID), rec)
		}
		s.clusterState.RUnlock()
		s.logger.Info("job is with another cell, as that one tells", "job", a.Spec.ID, "cell", name, "number", a.Number)
		if err := s.commit(ctx, guards, []wire.Op{op}); err != nil {
			return false, err
		}
	}
	return ok, nil
}

// forgetCell carries out an operator's word that a cell is gone for good: its record says so first, then
// what is there is here again.
func (s *Offloader) forgetCell(ctx context.Context, f config.Forgotten) error {
	s.clusterState.RLock()
	rec := s.cellRecord(f.Name)
	guards, leads := s.leaderConditions(f.Name)
	m := memberOf(f.Name, rec)
	var ops []wire.Op
	var back []string
	if rec.FencedEpoch < f.Epoch {
		after, err := m.Forget(f.Epoch, time.Now())
		if err != nil {
			s.clusterState.RUnlock()
			return fmt.Errorf("not forgotten: %w", err)
		}
		rec.FencedEpoch, rec.Standing, rec.StandingSinceMs, rec.InventoryReceived = after.FencedEpoch, int(after.Standing), after.Since.UnixMilli(), after.InventoryExchanged
		ops = append(ops, kvstore.PutOp(record.CellKey(f.Name), rec))
	} else if rec.PeerEpoch <= rec.FencedEpoch {
		for _, j := range s.offloadedJobs(f.Name) {
			if len(ops) < s.committer.MaxTransactionOps() {
				g, op := rewriteJob(j, func(r *record.Job) { r.OffloadedTo = nil })
				guards, ops, back = append(guards, g), append(ops, op), append(back, j.Spec.ID)
			}
		}
	}
	s.clusterState.RUnlock()
	if len(ops) == 0 || !leads {
		return nil
	}
	if err := s.commit(ctx, guards, ops); err != nil {
		return err
	}
	s.logger.Info("cell forgotten by its operators' word", "cell", f.Name, "epoch", f.Epoch, "jobs back", back)
	return nil
}

// memberOf is a cell's record as the machine of members sees it.
func memberOf(name string, rec record.Cell) federation.Member {
	return federation.Member{Name: name, Epoch: rec.PeerEpoch, Standing: federation.Standing(rec.Standing), Since: time.UnixMilli(rec.StandingSinceMs), Returns: rec.ReturnCount,
		InventoryExchanged: rec.InventoryReceived, FencedEpoch: rec.FencedEpoch}
}

// offerJobs gives away what is expected to start sooner elsewhere.
func (s *Offloader) offerJobs(ctx context.Context) error {
	now := time.Now()
	s.clusterState.RLock()
	var list []federation.TargetCell
	flight := map[string]int{}
	for _, c := range s.operator.Cells {
		rec := s.cellRecord(c.Name)
		s.mu.Lock()
		h := s.peers[c.Name]
		if s.inventoryReceived(rec) && federation.Standing(rec.Standing) == federation.StandingJoined {
			list = append(list, federation.TargetCell{Name: c.Name, Digest: h.digest, TransferSeconds: c.TransferS})
		}
		s.mu.Unlock()
	}
	if len(list) == 0 {
		s.clusterState.RUnlock()
		return nil
	}
	for _, j := range s.clusterState.Jobs {
		// What was given since the digest came is on its way.
		if j.HasRecord && j.OffloadedTo != nil {
			if i := slices.IndexFunc(list, func(c federation.TargetCell) bool { return c.Name == j.OffloadedTo.Cell }); i >= 0 && time.UnixMilli(j.OffloadedAtMs).After(list[i].Digest.ReceivedAt.Add(-tuning.CellExchange)) {
				flight[j.OffloadedTo.Cell] += j.Spec.TaskCount
			}
		}
	}
	type gift struct {
		job *clusterstate.Job
		to  string
	}
	var gifts []gift
	wait := map[int]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.clusterState.Jobs)) {
		j := s.clusterState.Jobs[id]
		if len(gifts) >= tuning.CellGifts || !j.CanStart() || !s.canBeOffloaded(j) {
			continue
		}
		rank := j.Spec.Priority.Rank()
		if _, ok := wait[rank]; !ok {
			wait[rank] = s.expectedWaitSeconds(rank)
		}
		for i := range list {
			list[i].TasksInFlight = flight[list[i].Name]
		}
		w := federation.OffloadCandidate{JobID: id, TaskResources: record.TaskResources(&j.Spec), TaskCount: j.Spec.TaskCount, SameZone: j.Spec.SameZone, MachineTypes: j.Spec.MachineTypes,
			AllowSpot: j.Spec.AllowSpot, PriorityRank: rank, Image: j.Spec.Image, ImageSizeGB: j.Spec.ImageSizeGB, LocalWaitSeconds: max(wait[rank], now.Sub(j.ReadySince()).Seconds()), OffloadedHere: j.OffloadedFrom != nil}
		if to, ok := federation.ChooseCell(now, &w, list, rand.New(rand.NewPCG(rand.Uint64(), 1))); ok {
			gifts = append(gifts, gift{j, to})
			flight[to] += j.Spec.TaskCount
		}
	}
	next, given := map[string]record.Cell{}, map[string][]string{}
	ops, guards := map[string][]wire.Op{}, map[string][]wire.Condition{}
	for _, g := range gifts {
		rec, ok := next[g.to]
		if !ok {
			rec = s.cellRecord(g.to)
			guards[g.to], _ = s.leaderConditions(g.to)
		}
		if _, ok := homeTransfer(g.job).Offload(rec.LastSentTransfer + 1); !ok || len(ops[g.to]) >= s.committer.MaxTransactionOps()-1 {
			continue
		}
		rec.LastSentTransfer++
		next[g.to] = rec
		guard, op := rewriteJob(g.job, func(r *record.Job) {
			r.OffloadedTo, r.OffloadedAtMs = &record.Transfer{Cell: g.to, Number: rec.LastSentTransfer, Epoch: s.operator.CellEpoch}, now.UnixMilli()
		})
		guards[g.to], ops[g.to] = append(guards[g.to], guard), append(ops[g.to], op)
		given[g.to] = append(given[g.to], g.job.Spec.ID)
	}
	s.clusterState.RUnlock()
	var errs []error
	for to, list := range ops {
		err := s.commit(ctx, guards[to], append(list, kvstore.PutOp(record.CellKey(to), next[to])))
		if errs = append(errs, err); err == nil {
			s.logger.Info("jobs given to another cell", "cell", to, "jobs", given[to])
		}
	}
	return errors.Join(errs...)
}

// canBeOffloaded tells whether a job is one that may be given away: nothing of it has started, one record
// says all of it, and nothing but its own team's room holds it here. Callers hold the lock.
func (s *Offloader) canBeOffloaded(j *clusterstate.Job) bool {
	t, ok := s.teamsByName[j.Spec.Team]
	return ok && t.GPUsMax == 0 && t.CPUsMax == 0 && t.GPUs == 0 && t.CPUs == 0 && j.Spec.Kind != wire.KindService && j.OffloadedFrom == nil && j.OffloadedTo == nil &&
		j.BoundCount == 0 && j.DoneCount == 0 && len(j.Spec.Dependencies) == 0 && j.Spec.Zone == "" && j.ChunkCount() == 1 && len(j.FurtherChunkKeys()) == 0 &&
		time.Since(j.ReadySince()) > tuning.SpillAfter && j.Spec.MaxRetries == nil
}
