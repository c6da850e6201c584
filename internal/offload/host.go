package offload

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"sableusher/internal/admission"
	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// This file is the host's side: what is taken from others, what they are told of it, and what
// this cell tells of itself.

// Answer answers another cell's leader. An error means that nothing is said.
func (s *Offloader) Answer(ctx context.Context, m Message) (Message, error) {
	i := slices.IndexFunc(s.operator.Cells, func(c config.Cell) bool { return c.Name == m.Cell })
	if i < 0 {
		return Message{}, fmt.Errorf("cell %q is not named here", m.Cell)
	}
	select {
	case s.answerSlot <- struct{}{}:
		defer func() { <-s.answerSlot }()
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
	s.clusterState.RLock()
	rec := s.cellRecord(m.Cell)
	guards, leads := s.leaderConditions(m.Cell)
	on := s.clusterState.SchemaVersion >= tuning.LevelCells
	s.clusterState.RUnlock()
	if !leads || !on {
		return Message{}, ErrNotLeader
	}
	line, counts := federation.EpochPair{Own: s.operator.CellEpoch, Peer: rec.PeerEpoch}.Accept(federation.Envelope{From: m.FromEpoch, To: m.ToEpoch})
	if line.Peer != rec.PeerEpoch {
		// Known before anything is said under it: a late message of an epoch before counts
		// no more.
		next := s.underOwnEpoch(rec)
		next.PeerEpoch = line.Peer
		if err := s.commit(ctx, guards, []wire.Op{kvstore.PutOp(record.CellKey(m.Cell), next)}); err != nil {
			return Message{}, err
		}
	}
	reply := Message{Cell: s.operator.CellName, FromEpoch: line.Own, ToEpoch: line.Peer, Draining: s.operator.CellDrain}
	if !counts || m.FromEpoch <= rec.FencedEpoch {
		return reply, nil
	}
	if err := s.dropEarlierEpochs(ctx, m.Cell); err != nil {
		return Message{}, err
	}
	if err := s.applyRequests(ctx, m); err != nil {
		return Message{}, err
	}
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	if _, leads := s.ownership.Ownership(record.LeaderShard); !leads {
		return Message{}, ErrNotLeader
	}
	s.fillAnswer(&reply, &m)
	return reply, nil
}

// dropEarlierEpochs drops what was held under an epoch of this cell before: nothing of it runs, as the new
// epoch says.
func (s *Offloader) dropEarlierEpochs(ctx context.Context, name string) error {
	s.clusterState.RLock()
	guests, jobs := s.hostTransfers(name)
	guards, _ := s.leaderConditions(name)
	var ops []wire.Op
	kept := guests.DropEarlierEpochs(s.operator.CellEpoch)
	for n, j := range jobs {
		if kept.Status(n).Status == federation.HostAbsent && j.BoundCount == 0 && len(ops) < s.committer.MaxTransactionOps() {
			guards = append(guards, wire.Condition{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision})
			ops = append(ops, kvstore.DeleteOp(record.JobKey(j.Spec.ID)))
		}
	}
	left := len(guests.Transfers) - len(kept.Transfers) - len(ops)
	s.clusterState.RUnlock()
	if len(ops) > 0 {
		if err := s.commit(ctx, guards, ops); err != nil {
			return err
		}
	}
	if left > 0 {
		return fmt.Errorf("%d guests of an epoch before are not dropped yet", left)
	}
	return nil
}

// applyRequests carries out what another cell asks: it takes offers in order, passes on cancellations and
// recalls, releases what is wanted back and forgets what home has.
func (s *Offloader) applyRequests(ctx context.Context, m Message) error {
	s.clusterState.RLock()
	guests, jobs := s.hostTransfers(m.Cell)
	guards, _ := s.leaderConditions(m.Cell)
	rec := s.cellRecord(m.Cell)
	next := rec
	var ops []wire.Op
	budget := s.committer.MaxTransactionOps() - 1
	change := func(g wire.Condition, op wire.Op) { guards, ops = append(guards, g), append(ops, op) }
	room := s.remainingTasks()
	var told []func() // once it is durable
	for _, a := range m.Requests {
		if len(ops) >= budget {
			break
		}
		j := jobs[a.Number]
		spec := a.Spec
		fits := j == nil && room >= spec.TaskCount && s.acceptsJob(&spec)
		before := guests.Status(a.Number)
		after, word := guests.ApplyRequest(federation.TransferRequest{Number: a.Number, Cancelled: a.Cancelled, Recalled: a.Recalled}, s.operator.CellEpoch, fits)
		guests = after
		next.LastReceivedTransfer = max(next.LastReceivedTransfer, guests.HighestNumber)
		switch {
		case j == nil && word.Status == federation.HostHolds && before.Status == federation.HostAbsent:
			rec := record.Job{Spec: spec, SubmittedAtMs: a.SubmittedAtMs, OffloadedFrom: &record.Transfer{Cell: m.Cell, Number: a.Number, Epoch: s.operator.CellEpoch}}
			if rec.ChooseLayout(s.clusterState.SchemaVersion, s.clusterState.SizeLimits(s.committer.UpcomingMaxRecordBytes())) != nil {
				guests, _ = guests.Release(a.Number, 0)
				continue
			}
			room -= spec.TaskCount
			change(wire.Condition{Key: record.JobKey(spec.ID)}, kvstore.PutOp(record.JobKey(spec.ID), rec))
			told = append(told, func() {
				s.logger.Info("job taken from another cell", "job", spec.ID, "cell", m.Cell, "number", a.Number)
			})
		case j == nil:
		case (a.Recalled || s.operator.CellDrain) && !j.Cancelled() && j.BoundCount == 0 && j.DoneCount == 0:
			if _, ok := guests.Release(a.Number, j.BoundCount); ok {
				change(wire.Condition{Key: record.JobKey(spec.ID), ModRevision: j.ModRevision}, kvstore.DeleteOp(record.JobKey(spec.ID)))
				ops = append(ops, j.DeleteFurtherChunks(budget-len(ops))...)
				told = append(told, func() { s.logger.Info("job sent home", "job", spec.ID, "cell", m.Cell, "number", a.Number) })
			}
		case a.Cancelled && !j.Cancelled():
			change(rewriteJob(j, func(r *record.Job) {
				r.CancelledAtMs, r.CancelAfterRelease = max(time.Now().UnixMilli(), 1), true
			}))
		case a.Recalled && !j.OffloadedFrom.Recalled:
			change(rewriteJob(j, func(r *record.Job) {
				back := *r.OffloadedFrom
				back.Recalled = true
				r.OffloadedFrom = &back
			}))
		}
	}
	if c := s.clusterState.Cells[m.Cell]; c != nil {
		for _, n := range m.EndedTransfers {
			if o, ok := c.GuestOutcomes[n]; ok && len(ops) < budget {
				change(wire.Condition{Key: record.GuestOutcomeKey(m.Cell, n), ModRevision: o.ModRevision}, kvstore.DeleteOp(record.GuestOutcomeKey(m.Cell, n)))
			}
		}
	}
	s.clusterState.RUnlock()
	if next != rec {
		ops = append(ops, kvstore.PutOp(record.CellKey(m.Cell), next))
	}
	if len(ops) == 0 {
		return nil
	}
	if err := s.commit(ctx, guards, ops); err != nil {
		return err
	}
	for _, tell := range told {
		tell()
	}
	return nil
}

// acceptsJob tells whether a job of another cell may run here at all.
func (s *Offloader) acceptsJob(spec *wire.JobSpec) bool {
	t := s.teamsByName[spec.Team]
	// A limit is the home's to keep; what is away would have to be set aside in both.
	return t.GPUsMax == 0 && t.CPUsMax == 0 && spec.Kind != wire.KindService && len(spec.Dependencies) == 0 &&
		admission.Validate(spec, s.teamsByName, s.clusterState.Catalog.Types) == nil && s.clusterState.Jobs[spec.ID] == nil
}

// fillAnswer puts into an answer what the records say. Callers hold the world's lock.
func (s *Offloader) fillAnswer(reply, m *Message) {
	guests, jobs := s.hostTransfers(m.Cell)
	word := func(n uint64) Status {
		out := Status{Number: n, Status: int(guests.Status(n).Status)}
		if j := jobs[n]; j != nil {
			out.DoneCount = j.DoneCount
		}
		if c := s.clusterState.Cells[m.Cell]; c != nil {
			if o, ok := c.GuestOutcomes[n]; ok {
				out.FinalState, out.DoneCount = o.Status, o.DoneCount
			}
		}
		return out
	}
	said := map[uint64]bool{}
	for _, a := range m.Requests {
		// Of an offer that was not looked at nothing is known yet.
		if a.Number <= guests.HighestNumber {
			reply.Statuses = append(reply.Statuses, word(a.Number))
			said[a.Number] = true
		}
	}
	for _, g := range guests.Transfers {
		if g.Status == federation.HostEnded && !said[g.Number] && len(reply.Statuses) < 2*tuning.CellAsks {
			reply.Statuses = append(reply.Statuses, word(g.Number))
		}
	}
	if m.WantsInventory {
		list := &Inventory{HighestNumber: guests.HighestNumber}
		for _, g := range guests.Transfers {
			if j := jobs[g.Number]; j != nil {
				list.Held = append(list.Held, Request{Number: g.Number, SubmittedAtMs: j.SubmittedAtMs, Spec: j.Spec})
			} else {
				list.Ended = append(list.Ended, word(g.Number))
			}
		}
		reply.Inventory = list
	}
	reply.Digest = s.digest()
}

// remainingTasks is how many more tasks of other cells' jobs are taken. Callers hold the world's lock.
func (s *Offloader) remainingTasks() int {
	if s.operator.CellDrain {
		return 0
	}
	held := 0
	for _, j := range s.clusterState.Jobs {
		if j.HasRecord && j.OffloadedFrom != nil {
			held += j.Spec.TaskCount - j.DoneCount
		}
	}
	return max(s.operator.CellGuests-held, 0)
}

// digest tells what this cell has free. Callers hold the world's lock.
func (s *Offloader) digest() *federation.Digest {
	type like struct {
		typ, zone string
		spot      bool
		free      record.Resources
	}
	count, images, up := map[like]int{}, map[string]int{}, 0
	fetch, boot := 0.0, 0.0
	for _, t := range s.clusterState.Catalog.Types {
		boot = max(boot, t.BootSeconds)
	}
	for _, m := range s.clusterState.Machines {
		t, ok := s.clusterState.Catalog.Types[m.Type]
		if !ok || !m.Up || m.Deleting || m.Draining {
			continue
		}
		up++
		if t.ImageFetchGBps > 0 {
			fetch = max(fetch, 1/t.ImageFetchGBps)
		}
		for image := range m.TasksByImage {
			images[image]++
		}
		free := record.Capacity(&t).Minus(m.Used)
		if free.GPUs > 0 || t.GPUs == 0 && free.CPUs > 0 {
			// Whole GPUs, cores in fours and GB in sixteens: what is told need not be exact.
			free = record.Resources{CPUs: float64(int(free.CPUs/4)) * 4, GPUs: float64(int(free.GPUs)), MemoryGB: float64(int(free.MemoryGB/16)) * 16}
			count[like{m.Type, m.Zone, m.Spot, free}]++
		}
	}
	d := &federation.Digest{FetchSecondsPerGB: fetch, BootSeconds: boot, RemainingTasks: s.remainingTasks()}
	for l, n := range count {
		d.FreeCapacities = append(d.FreeCapacities, federation.FreeCapacity{Type: l.typ, Zone: l.zone, Spot: l.spot, Free: l.free, Count: n})
	}
	slices.SortFunc(d.FreeCapacities, func(a, b federation.FreeCapacity) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.Free.MemoryGB, b.Free.MemoryGB))
	})
	d.FreeCapacities = federation.LargestCapacities(d.FreeCapacities)
	for _, image := range slices.Sorted(maps.Keys(images)) {
		if images[image]*tuning.DigestHeld >= up && len(d.Images) < tuning.DigestShapes {
			d.Images = append(d.Images, image)
		}
	}
	for rank := range wire.PriorityCount {
		d.WaitSecondsByRank = append(d.WaitSecondsByRank, s.expectedWaitSeconds(rank))
	}
	return d
}

// expectedWaitSeconds is how long work of a rank without room is expected to wait here, in seconds: what waits
// of its rank and above, over the pace at which what runs of those ends. Callers hold the
// world's lock.
func (s *Offloader) expectedWaitSeconds(rank int) float64 {
	waits, runs := 0.0, 0.0
	for _, j := range s.clusterState.Jobs {
		if !j.HasRecord || j.Cancelled() || j.OffloadedTo != nil || j.Spec.Priority.Rank() > rank || j.Spec.Kind == wire.KindService {
			continue
		}
		waits += float64(j.PendingCount()) * j.Spec.RuntimeEstimateSeconds
		runs += float64(j.BoundCount)
	}
	if waits == 0 {
		return 0
	}
	return min(waits/max(runs, 1), tuning.NoDeadline.Seconds())
}
