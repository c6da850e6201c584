package place

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/fleet"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// round is one look at the view; it collects the changes to make.
type round struct {
	*Engine
	now     time.Time
	tokens  map[int]uint64
	stamps  map[int]uint64
	edits   map[editKey]*edit
	out     []*change
	moveM   map[string]world.Amount // on their way, by machine
	moveP   map[int]map[string]world.Amount
	moveJ   map[string]int // tasks on their way, by job
	live    []bool         // parts whose owner lives
	bound   int
	stock   *stock
	pressed bool              // the state service's budget is the bottleneck
	stops   int               // machines on which room is being freed in this round
	counts  bool              // this round counts the demand for the pool
	blocked bool              // a task's end could not be written yet
	gangs   map[gangKey]bool  // whether an attempt is broken, looked at once a round
	pulls   map[string]pulled // what jobs that need others ask of them
}

// editKey names one record of a job.
type editKey struct {
	job *world.Job
	k   int
}

// gangKey names one attempt of a gang.
type gangKey struct {
	job     *world.Job
	attempt uint64
}

// edit gathers the changes of one record of a job.
type edit struct {
	job   *world.Job
	k     int
	tasks map[int]world.Task
	parts map[int]bool
	binds []bind
	size  int // what the record takes, as JSON; 0: not measured yet
}

func (e *Engine) newRound(now time.Time) *round {
	r := &round{Engine: e, now: now, tokens: map[int]uint64{}, stamps: map[int]uint64{}, edits: map[editKey]*edit{}, gangs: map[gangKey]bool{},
		moveM: map[string]world.Amount{}, moveP: map[int]map[string]world.Amount{}, moveJ: map[string]int{},
		live: make([]bool, e.world.Size)}
	for p := range e.world.Size {
		_, r.live[p] = e.member.OwnerOf(p)
		r.moveP[p] = map[string]world.Amount{}
		if token, stamp, ok := e.member.Owns(p); ok {
			r.tokens[p], r.stamps[p] = token, stamp
			if _, had := e.owned[p]; !had {
				e.owned[p] = now
				// A new owner hears of its machines at once rather than at their next report.
				for _, m := range e.world.ByPart[p] {
					e.fleet.Kick(m.Name)
				}
			}
		} else if _, entitled := e.member.Entitled(p); !entitled {
			delete(e.owned, p)
		}
	}
	for _, c := range e.moving {
		for _, b := range c.binds {
			r.move(b)
		}
	}
	return r
}

func (r *round) move(b bind) {
	r.moveM[b.machine] = r.moveM[b.machine].Plus(b.need, 1)
	r.moveP[b.part][b.team] = r.moveP[b.part][b.team].Plus(b.need, 1)
	r.moveJ[b.ref.Job]++
}

// use is what a team's tasks of a part take, those on their way included.
func (r *round) use(part int, team string) world.Amount {
	return r.world.Usage[part][team].Plus(r.moveP[part][team], 1)
}

// edit opens the record that holds a task; nil while a change of it is on its
// way, or while it has to be moved first.
func (r *round) edit(j *world.Job, task int) *edit {
	k := j.RecordOf(task)
	if _, ok := r.refused[j.Key(k)]; ok || r.busy[j.Key(k)] || k > 0 && r.busy[j.Key(0)] && j.Spec.OneZone || r.outgrown(j) {
		return nil
	}
	ed := r.edits[editKey{j, k}]
	if ed == nil {
		ed = &edit{job: j, k: k, tasks: map[int]world.Task{}, parts: map[int]bool{}}
		r.edits[editKey{j, k}] = ed
	}
	return ed
}

// outgrown tells whether a job's records have to be moved before they are written
// again, and asks for it.
func (r *round) outgrown(j *world.Job) bool {
	if r.world.Level < tuning.LevelPipelines || !j.Outgrows(r.world.Fit(r.commit.Room())) {
		return false
	}
	r.moves[j.Spec.ID] = true
	return true
}

// bindBytes is the most that binding a task to a machine adds to its record, as JSON.
func bindBytes(machine string) int { return len(machine) + tuning.TaskBytes/2 }

// full tells whether a record has no room for so many more bound tasks. Without
// the check a state service with a small limit would refuse the record over and over.
func (r *round) full(j *world.Job, k, more int, machine string) bool {
	room := r.commit.Room()
	if r.world.Fit(room).Holds(&j.Spec, j.Bare) {
		return false
	}
	ed := r.edits[editKey{j, k}]
	if ed == nil {
		ed = &edit{} // nothing of it has changed in this round
	}
	if ed.size == 0 {
		ed.size = j.Size(k, ed.tasks)
	}
	return ed.size+more*bindBytes(machine) > room
}

// task is a task's state with this round's changes.
func (r *round) task(j *world.Job, i int) world.Task {
	if ed := r.edits[editKey{j, j.RecordOf(i)}]; ed != nil {
		if t, ok := ed.tasks[i]; ok {
			return t
		}
	}
	return j.Task(i)
}

// release ends a binding in the record.
func (r *round) release(b world.Binding, machine string, state int, why string) {
	r.blocked = true
	ed := r.edit(b.Job, b.Ref.Index)
	if ed == nil {
		return
	}
	if t := r.task(b.Job, b.Ref.Index); t.State != world.Bound || t.Attempt != b.Attempt || t.Machine != machine {
		return
	}
	ed.tasks[b.Ref.Index] = world.Task{Index: b.Ref.Index, State: state, Attempt: b.Attempt}
	// A gang's tasks end together, also those in other nodes' parts: there the
	// job's record alone is the guard, as this node doesn't own the part.
	if part := world.PartOf(machine, r.world.Size); r.stamps[part] != 0 {
		ed.parts[part] = true
	}
	r.ended(b, state == world.Done, machine)
	r.log.Debug("task leaves machine", "task", b.Ref, "attempt", b.Attempt, "machine", machine, "why", why)
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
		if s := r.fleet.Look(name, token); !s.Recall.IsZero() {
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

func (r *round) settleTask(b world.Binding, name string, token uint64) {
	t := r.fleet.Fate(b, name, token)
	spec := &b.Job.Spec
	switch t.Fate {
	case fleet.Lost:
		r.release(b, name, world.Idle, "session ended")
	case fleet.Absent:
		if r.fleet.Stopping(b) {
			r.release(b, name, world.Idle, "never started")
		} else {
			r.fleet.Kick(name)
		}
	case fleet.Alive:
		if t.State != wire.TaskFetching {
			r.noteImage(name, spec)
		}
		r.alive(b, t)
	case fleet.Exited:
		r.exited(b, name, t)
		return
	}
	if spec.Kind == wire.KindGang && b.Job.Yield == b.Attempt && t.Fate != fleet.Lost {
		r.fleet.Stop(b, name, graced(spec))
	}
	if t.Fate != fleet.Lost && spec.Kind == wire.KindGang && !r.fleet.Stopping(b) && r.broken(b) {
		r.fleet.Stop(b, name, 0)
	}
}

// noteImage notes that a machine has used a job's image.
func (r *round) noteImage(name string, spec *wire.Spec) {
	if m := r.world.Machines[name]; m != nil {
		r.fleet.NoteImage(name, spec.Image, spec.ImageGB, r.world.Types[m.Type].CacheGB)
	}
}

func (r *round) exited(b world.Binding, name string, t fleet.Task) {
	spec := &b.Job.Spec
	switch t.Cause {
	case wire.CauseDone:
		r.noteImage(name, spec)
		if spec.Kind == wire.KindService {
			r.fail(spec.ID, r.now)
			r.release(b, name, world.Idle, "service ended")
			return
		}
		if b.Job.Cancelled() {
			r.release(b, name, world.Idle, "done after its cancellation")
			return
		}
		if spec.Kind != wire.KindGang {
			r.release(b, name, world.Done, "done")
			return
		}
		// A gang completes together: one done task tells it of all.
		for i := range spec.Tasks {
			if o := r.task(b.Job, i); o.State == world.Bound && o.Attempt == b.Attempt {
				r.release(world.Binding{Ref: world.TaskRef{Job: spec.ID, Index: i}, Job: b.Job, Attempt: o.Attempt, Session: o.Session}, o.Machine, world.Done, "done with its gang")
			}
		}
		return
	case wire.CauseError:
		r.fleet.NoteError(name, spec.ID)
		r.stale[name] = struct{}{}
		r.fail(spec.ID, r.now)
	case wire.CauseNoRoom, wire.CauseBusy:
		r.fleet.NoteRefused(name)
		r.stale[name] = struct{}{}
	case wire.CauseUnknown:
		r.fail(spec.ID, r.now)
	}
	if t.Cause != wire.CauseStopped || !t.Saved {
		r.log.Debug("task ended without being done", "task", b.Ref, "cause", t.Cause, "machine", name)
	}
	r.release(b, name, world.Idle, t.Cause)
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
	whole := true
	for i := range j.Spec.Tasks {
		t := r.task(j, i)
		if t.State == world.Done {
			return false
		}
		if t.State == world.Bound && t.Attempt == b.Attempt {
			continue
		}
		whole = false
		if t.Attempt >= b.Attempt {
			return true
		}
	}
	if whole {
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

// final gives the ops that turn a job's records into its final one.
func (r *round) final(j *world.Job, status string, done int) []wire.Op {
	id := j.Spec.ID
	ops := []wire.Op{
		store.Set(world.FinalKey(id), world.FinalRecord{Status: status, Tasks: j.Spec.Tasks, Done: done, AtMs: r.now.UnixMilli()}),
		store.Drop(world.JobKey(id)),
	}
	return append(ops, r.drops(j, len(ops))...)
}

// drops removes as many of a job's further records as a transaction with so many
// changes has room for; what stays is swept later.
func (r *round) drops(j *world.Job, has int) []wire.Op {
	var ops []wire.Op
	for _, key := range j.Further() {
		if has+len(ops) < r.commit.TxnOps() {
			ops = append(ops, store.Drop(key))
		}
	}
	return ops
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
		var ops []wire.Op
		guard := wire.Guard{Key: key, Stamp: j.Stamp}
		switch {
		case !j.Known:
			ops, guard.Stamp = r.drops(j, 0), 0
		case j.Done == j.Spec.Tasks:
			ops = r.final(j, wire.JobDone, j.Done)
		// No task can be bound after the cancellation, and the view holds all before it.
		case j.Cancelled() && j.Bound == 0 && r.member.Seen(j.Stamp):
			ops = r.final(j, wire.JobCancelled, j.Done)
		}
		if len(ops) > 0 {
			r.out = append(r.out, &change{what: "finish " + id, keys: []string{key}, item: store.Item{Guards: []wire.Guard{guard}, Ops: ops}})
		}
	}
}

// flush turns the edits into changes.
func (r *round) flush() {
	byJob := map[string][]*edit{}
	for _, ed := range r.edits {
		if len(ed.tasks) > 0 {
			byJob[ed.job.Spec.ID] = append(byJob[ed.job.Spec.ID], ed)
		}
	}
	for id, eds := range byJob {
		j := eds[0].job
		if j.Spec.Kind == wire.KindGang && len(eds) > 1 && len(eds) <= r.together(j) {
			// A gang's tasks are bound together. One too long for a transaction is
			// bound record by record and withdrawn if it does not become whole.
			r.emit(id, j, eds)
			continue
		}
		for _, ed := range eds {
			r.emit(id, j, []*edit{ed})
		}
	}
}

// together is how many records of a job one transaction may write, with the job's
// own beside them.
func (r *round) together(j *world.Job) int {
	if j.Width == 0 {
		return min(tuning.GangRecords, r.commit.TxnOps()-1)
	}
	return min(tuning.TxnBytes/max(r.commit.Room(), 1), r.commit.TxnOps()-1)
}

func (r *round) emit(id string, j *world.Job, eds []*edit) {
	c := &change{what: "tasks of " + id}
	parts, done, bound, touched := map[int]bool{}, j.Done, j.Bound, false
	guards := map[string]uint64{}
	for _, ed := range eds {
		for i, t := range ed.tasks {
			switch old := j.Task(i); old.State {
			case world.Bound:
				bound--
			case world.Done:
				done--
			}
			switch t.State {
			case world.Bound:
				bound++
			case world.Done:
				done++
			}
		}
		maps.Copy(parts, ed.parts)
		for _, g := range j.ChunkGuards(ed.k) {
			guards[g.Key] = g.Stamp
		}
		op := j.Encode(ed.k, ed.tasks)
		c.item.Ops = append(c.item.Ops, op)
		c.keys = append(c.keys, op.Set)
		c.binds = append(c.binds, ed.binds...)
		touched = touched || ed.k == 0
	}
	single := len(j.Further()) == 0 && j.Records() == 1
	switch {
	case single && done == j.Spec.Tasks:
		c.item.Ops = r.final(j, wire.JobDone, done)
	case single && j.Cancelled() && bound == 0:
		c.item.Ops = r.final(j, wire.JobCancelled, done)
	case !single && j.Spec.OneZone && !touched && len(c.binds) > 0:
		// Bindings of different records must not choose different zones at once.
		op := j.Encode(0, nil)
		c.item.Ops = append(c.item.Ops, op)
		c.keys = append(c.keys, op.Set)
	}
	for _, p := range slices.Sorted(maps.Keys(parts)) {
		if stamp, mine := r.stamps[p]; mine {
			c.parts = append(c.parts, p)
			guards[world.PartKey(p)] = stamp
		} else {
			// A gang's machine in another node's part, while that node owns it.
			guards[world.PartKey(p)] = r.world.Parts[p].Stamp
		}
	}
	for _, k := range slices.Sorted(maps.Keys(guards)) {
		c.item.Guards = append(c.item.Guards, wire.Guard{Key: k, Stamp: guards[k]})
	}
	c.item.Urgent = j.Spec.Priority == wire.PriorityProduction
	c.item.Soon = r.rank(j) <= wire.Rank(wire.PriorityHigh)
	r.out = append(r.out, c)
}

// adopt records machines that reported and whose records are missing or behind.
func (r *round) adopt() {
	for name, rep := range r.fleet.Adoptions() {
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
		rec.Type, rec.Zone, rec.Spot, rec.Address, rec.Up, rec.Session = rep.Type, rep.Zone, rep.Spot, rep.Address, true, session
		r.writeMachine("machine is up "+name, name, part, rec, stamp)
		// That it is up can wait: others only plan with it, its owner uses it at once. A new
		// session can't: others bind gangs and services to the one on record, which
		// this node ends at once, and both over and over. After a zone's leases had run
		// out that used up the whole budget, so that the records were never mended.
		it := &r.out[len(r.out)-1].item
		it.Urgent, it.Lazy = renewed, m != nil && !renewed
	}
}

func (r *round) writeMachine(what, name string, part int, rec world.MachineRecord, stamp uint64) {
	key := world.MachineKey(name)
	r.out = append(r.out, &change{
		what: what, keys: []string{key}, parts: []int{part}, late: true,
		item: store.Item{
			Guards: []wire.Guard{{Key: world.PartKey(part), Stamp: r.stamps[part]}, {Key: key, Stamp: stamp}},
			Ops:    []wire.Op{store.Set(key, rec)},
		},
	})
}

// evacuate stops what gains by it on a machine that the cloud takes away: tasks
// that can save do so, services start again elsewhere at once. What can't save
// may still end in time, and a gang of several tasks must be stopped as a whole.
func (r *round) evacuate(m *world.Machine) {
	for _, b := range m.Bound {
		s := &b.Job.Spec
		switch {
		case r.fleet.Stopping(b):
		case s.Kind == wire.KindGang && s.Tasks > 1:
			if s.CheckpointS > 0 {
				r.yield(b, m)
			}
		case s.CheckpointS > 0:
			r.fleet.Stop(b, m.Name, graced(s))
		case s.Kind == wire.KindService:
			r.fleet.Stop(b, m.Name, 0)
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
		if r.fleet.Stopping(b) {
			return true
		}
	}
	return false
}
