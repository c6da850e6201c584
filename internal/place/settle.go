package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sableusher/internal/fleet"
	"sableusher/internal/repeats"
	"sableusher/internal/settle"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// release ends a binding in the record.
// It gives the change that it is part of; nil if it is none, or can't be made just now.
func (r *round) release(b world.Binding, machine string, state int, why string) *edit {
	r.blocked = true
	ed := r.edit(b.Job, b.Ref.Index)
	if ed == nil {
		return nil
	}
	t := r.task(b.Job, b.Ref.Index)
	if t.State != world.Bound || t.Attempt != b.Attempt || t.Machine != machine {
		return nil
	}
	left := world.Task{Index: b.Ref.Index, State: state, Attempt: b.Attempt}
	if state != world.Done {
		left.Failures = t.Failures
	}
	ed.tasks[b.Ref.Index] = left
	// A gang's tasks end together, also those in other nodes' parts: there the
	// job's record alone is the guard, as this node doesn't own the part.
	if part := world.PartOf(machine, r.world.Size); r.stamps[part] != 0 {
		ed.parts[part] = true
	}
	r.ended(b, state == world.Done, machine)
	r.log.Debug("task leaves machine", "task", b.Ref, "attempt", b.Attempt, "machine", machine, "why", why)
	return ed
}

// spend counts a failure with the change that ends its attempt: it is in the records or
// it has not been told, whoever ends in between. With the last repeat the job ends.
func (r *round) spend(b world.Binding, ed *edit, last bool) {
	t := ed.tasks[b.Ref.Index]
	t.Failures++
	ed.tasks[b.Ref.Index] = t
	if last {
		ed.ends, r.ending[b.Ref.Job] = true, true
	}
	r.log.Info("task failed", "task", b.Ref, "attempt", b.Attempt, "failures", t.Failures, "repeats", *b.Job.Spec.Repeats, "ends", last)
}

// settle carries out what became of the tasks bound in this node's parts, on
// machines of which something new is known. One with a task that is to leave it
// is looked at again until it has left.
func (r *round) settle() {
	look := slices.Sorted(maps.Keys(r.look))
	clear(r.look)
	for _, name := range look {
		m := r.world.Machines[name]
		if m == nil {
			continue
		}
		token, mine := r.tokens[m.Part]
		if !mine {
			continue
		}
		r.blocked = false
		if s := r.fleet.MachineStatus(name, token); !s.ReclaimAt.IsZero() {
			r.evacuate(m)
		}
		gone := (m.Gone || m.Drain) && r.gone[name]
		for _, b := range m.Bound {
			if gone {
				r.release(b, name, world.Idle, "machine deleted")
				continue
			}
			r.settleTask(b, name, token)
		}
		if r.blocked || gone {
			r.look[name] = struct{}{}
		}
		if gone && len(m.Bound) == 0 && m.Stamp != 0 && !r.world.Rented(name) && !r.busy[world.MachineKey(name)] {
			r.out = append(r.out, &change{
				what: "forget machine " + name, keys: []string{world.MachineKey(name)}, parts: []int{m.Part},
				item: store.Item{
					Guards: []wire.Guard{{Key: world.PartKey(m.Part), Stamp: r.stamps[m.Part]}, {Key: world.MachineKey(name), Stamp: m.Stamp}},
					Ops:    []wire.Op{store.Drop(world.MachineKey(name))},
					Lazy:   true, // its record says that it is being deleted, so nobody counts on it
				},
			})
		}
	}
	for name, set := range r.world.Orphans {
		if _, mine := r.tokens[world.PartOf(name, r.world.Size)]; mine && r.gone[name] {
			for _, b := range set {
				r.release(b, name, world.Idle, "machine deleted")
			}
		}
	}
	for name := range r.gone {
		if r.world.Machines[name] == nil && r.world.Orphans[name] == nil {
			delete(r.gone, name)
		}
	}
	r.finishJobs()
}

// settleTask carries out what is to become of one bound task.
func (r *round) settleTask(b world.Binding, name string, token uint64) {
	spec := &b.Job.Spec
	t := settle.Task{TaskObservation: r.fleet.ObserveTask(b, name, token), Kind: spec.Kind, Cancelled: b.Job.Cancelled(), Stopping: r.fleet.StopRequested(b),
		Counted: spec.Repeats != nil, Spent: repeats.Spent(spec.Repeats, r.task(b.Job, b.Ref.Index).Failures)}
	d := settle.Decide(t)
	if d.Kick {
		r.fleet.RequestDispatch(name)
	}
	if m := r.world.Machines[name]; d.Image && m != nil {
		r.fleet.RecordImageUse(name, spec.Image, spec.ImageGB, r.world.Types[m.Type].CacheGB)
	}
	if d.Failure {
		r.fleet.RecordTaskFailure(name, spec.ID)
		r.stale[name] = struct{}{}
	}
	if d.Refused {
		r.fleet.RecordStartRefusal(name)
		r.stale[name] = struct{}{}
	}
	if d.Pause {
		r.fail(spec.ID, r.now)
	}
	if t.Presence == fleet.PresenceExited && t.Cause != wire.CauseDone && (t.Cause != wire.CauseStopped || !t.Saved) {
		r.log.Debug("task ended without being done", "task", b.Ref, "cause", t.Cause, "machine", name)
	}
	switch {
	case d.Gang:
		for i := range spec.Tasks {
			if o := r.task(b.Job, i); o.State == world.Bound && o.Attempt == b.Attempt {
				r.release(world.Binding{Ref: world.TaskRef{Job: spec.ID, Index: i}, Job: b.Job, Attempt: o.Attempt, Session: o.Session}, o.Machine, d.State, "done with its gang")
			}
		}
	case d.Release:
		if ed := r.release(b, name, d.State, d.Why); ed != nil && d.Count {
			r.spend(b, ed, d.End)
		}
	case t.Presence == fleet.PresenceAlive:
		r.alive(b, t.TaskObservation)
	}
	if spec.Kind != wire.KindGang || t.Presence == fleet.PresenceExited || t.Presence == fleet.PresenceSessionEnded {
		return
	}
	if b.Job.Yield == b.Attempt {
		r.fleet.RequestStop(b, name, graced(spec))
	}
	if !r.fleet.StopRequested(b) && r.broken(b) {
		r.fleet.RequestStop(b, name, 0)
	}
}

// broken tells whether a gang's attempt can no longer run whole: a task of it
// has ended, or it was not bound whole in time.
func (r *round) broken(b world.Binding) bool {
	k := gangKey{b.Job, b.Attempt}
	is, ok := r.gangs[k]
	if !ok {
		is = r.lookBroken(b)
		r.gangs[k] = is
	}
	return is
}

func (r *round) lookBroken(b world.Binding) bool {
	j := b.Job
	switch settle.Attempt(j.Spec.Tasks, func(i int) world.Task { return r.task(j, i) }, b.Attempt) {
	case settle.Broken:
		return true
	case settle.Whole:
		delete(r.forming, j.Spec.ID)
		return false
	}
	since, ok := r.forming[j.Spec.ID]
	if !ok {
		r.forming[j.Spec.ID] = r.now
		return false
	}
	return r.now.Sub(since) > tuning.GangForm+time.Duration(j.Spec.Tasks)*tuning.GangFormTask
}

// finishJobs ends jobs whose tasks are all done, or that are cancelled and have
// left every machine, where no change of a single record could end them. Only
// the leader does so; it also sweeps chunks left by long jobs.
func (r *round) finishJobs() {
	if _, _, leads := r.member.Owns(world.Leader); !leads {
		return
	}
	for id, j := range r.world.Jobs {
		key := world.JobKey(id)
		if r.busy[key] {
			continue
		}
		if j.Spec.Kind == wire.KindGang && j.Done > 0 && j.Bound == 0 && j.Known && !j.Complete() && !j.Cancelled() {
			r.completeGang(j)
			continue
		}
		var ops []wire.Op
		guard := wire.Guard{Key: key, Stamp: j.Stamp}
		switch {
		case !j.Known:
			ops, guard.Stamp = r.drops(j, 0), 0
		case j.Complete():
			ops = r.final(j, wire.JobDone, j.Done)
		// No task can be bound after the cancellation, and the view holds all before it.
		case j.Cancelled() && j.Left() && r.member.Seen(j.Stamp):
			ops = r.final(j, j.Ending(), j.Done)
		}
		if len(ops) > 0 {
			r.out = append(r.out, &change{what: "finish " + id, keys: []string{key}, item: store.Item{Guards: []wire.Guard{guard}, Ops: ops}})
		}
	}
}

// completeGang ends the tasks of a gang of which some are done and none is on a machine any
// more. A gang completes together, so they are done as well: their own reports of it were
// lost, with a worker's session or its machine, before the first one came through. Such a
// gang once stood still for ever, since its last attempt looked as if it had not left.
func (r *round) completeGang(j *world.Job) {
	for i := range j.Spec.Tasks {
		if t := r.task(j, i); t.State == world.Idle {
			if ed := r.edit(j, i); ed != nil {
				ed.tasks[i] = world.Task{Index: i, State: world.Done, Attempt: t.Attempt}
			}
		}
	}
	r.log.Info("gang completed by the report of some of its tasks", "job", j.Spec.ID, "done", j.Done, "tasks", j.Spec.Tasks)
}

// adopt records machines that reported and whose records are missing or behind.
func (r *round) adopt() {
	found := r.fleet.TakeAdoptions()
	// Small machines first: what the state service takes in a second is few beside a fleet that is
	// up at the start, and services, which come first then, should find those before they take
	// the place of larger tasks for as long as they run.
	names := slices.SortedFunc(maps.Keys(found), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.world.Types[found[a].Type].CPUs, r.world.Types[found[b].Type].CPUs), cmp.Compare(a, b))
	})
	for _, name := range names {
		rep := found[name]
		part := world.PartOf(name, r.world.Size)
		key := world.MachineKey(name)
		m := r.world.Machines[name]
		if _, mine := r.stamps[part]; !mine || r.busy[key] || m != nil && m.Gone {
			continue
		}
		// A report that a cut has held back may come long after its machine was deleted:
		// a record of it would be room that is not there.
		if _, buried := r.buried[name]; m == nil && buried {
			continue
		}
		rec := world.MachineRecord{AtMs: r.now.UnixMilli()}
		var stamp uint64
		if m != nil {
			rec, stamp = m.MachineRecord, m.Stamp
		} else {
			r.log.Info("adopting a machine", "machine", name, "type", rep.Type, "zone", rep.Zone)
		}
		session := rep.Session
		if session == 1 {
			session = 0
		}
		renewed := m != nil && rec.Session != session
		// A new session of a machine that hears nothing or reaches no node is recorded, but not that it is up.
		s := r.fleet.MachineStatus(name, r.tokens[part])
		up := !s.OutboundLost && (s.InboundConfirmed || !s.InboundLost && (rec.Up || rec.Address == ""))
		rec.Type, rec.Zone, rec.Spot, rec.Address, rec.Up, rec.Session = rep.Type, rep.Zone, rep.Spot, rep.Address, up, session
		it := r.writeMachine("machine is up "+name, name, part, rec, stamp)
		// That it is up can wait: others only plan with it, its owner uses it at once. A new
		// session can't: others bind gangs and services to the one on record, which
		// this node ends at once, and both over and over. After a zone's leases had run
		// out that used up the whole budget, so that the records were never mended.
		it.Urgent, it.Lazy = renewed, m != nil && !renewed
	}
}

// evacuate stops what gains by it on a machine that the cloud takes away: tasks
// that can save do so, services start again elsewhere at once. What can't save
// may still end in time, and a gang of several tasks must be stopped as a whole.
func (r *round) evacuate(m *world.Machine) {
	for _, b := range m.Bound {
		s := &b.Job.Spec
		switch {
		case r.fleet.StopRequested(b):
		case s.Kind == wire.KindGang && s.Tasks > 1:
			if s.CheckpointS > 0 {
				r.yield(b, m)
			}
		case s.CheckpointS > 0:
			r.fleet.RequestStop(b, m.Name, graced(s))
		case s.Kind == wire.KindService:
			r.fleet.RequestStop(b, m.Name, 0)
		}
	}
}

// yield marks a gang's attempt to be stopped as a whole. The owners of all its
// tasks see the record at once and tell their workers within the time in which a
// gang's saves must begin.
func (r *round) yield(b world.Binding, m *world.Machine) {
	key := world.JobKey(b.Ref.Job)
	if b.Job.Yield == b.Attempt || r.busy[key] || r.edits[editKey{b.Job, 0}] != nil || r.outgrown(b.Job) {
		return
	}
	r.busy[key] = true
	marked := *b.Job
	marked.Yield = b.Attempt
	op := marked.Encode(0, nil)
	r.out = append(r.out, &change{
		what: "stop gang " + b.Ref.Job, keys: []string{key}, parts: []int{m.Part},
		item: store.Item{
			Guards: []wire.Guard{{Key: key, Stamp: b.Job.Stamp}, {Key: world.PartKey(m.Part), Stamp: r.stamps[m.Part]}},
			Ops:    []wire.Op{op}, Urgent: true,
		},
	})
}

func (r *round) unwanted(m *world.Machine) bool {
	for _, b := range m.Bound {
		if r.fleet.StopRequested(b) {
			return true
		}
	}
	return false
}
