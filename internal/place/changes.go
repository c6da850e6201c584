package place

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/fit"
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
	stock   *fit.Stock
	pressed bool                   // the state service's budget is the bottleneck
	stops   int                    // machines on which room is being freed in this round
	counts  bool                   // this round counts the demand for the pool
	freeing map[world.TaskRef]bool // tasks that room is being freed for
	rigid   [wire.Ranks]fit.Misses // needs for which nothing could be stopped anywhere, by rank
	blocked bool                   // a task's end could not be written yet
	ending  map[string]bool        // jobs that a change of this round ends as failed
	gangs   map[gangKey]bool       // whether an attempt is broken, looked at once a round
	pulls   map[string]pulled      // what jobs that need others ask of them
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
	size  int  // what the record takes, as JSON; 0: not measured yet
	ends  bool // a task of it has no repeat left: the job fails
}

func (e *Engine) newRound(now time.Time) *round {
	r := &round{Engine: e, now: now, tokens: map[int]uint64{}, stamps: map[int]uint64{}, edits: map[editKey]*edit{}, gangs: map[gangKey]bool{}, ending: map[string]bool{},
		moveM: map[string]world.Amount{}, moveP: map[int]map[string]world.Amount{}, moveJ: map[string]int{},
		live: make([]bool, e.world.Size), freeing: make(map[world.TaskRef]bool, len(e.held))}
	for _, h := range e.held {
		r.freeing[h.ref] = true
	}
	for p := range e.world.Size {
		_, r.live[p] = e.member.OwnerOf(p)
		r.moveP[p] = map[string]world.Amount{}
		if token, stamp, ok := e.member.Owns(p); ok {
			r.tokens[p], r.stamps[p] = token, stamp
			if _, had := e.owned[p]; !had {
				e.owned[p] = now
				// A new owner hears of its machines at once rather than at their next report.
				for _, m := range e.world.ByPart[p] {
					e.fleet.RequestDispatch(m.Name)
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

// final gives the ops that turn a job's records into its final one.
func (r *round) final(j *world.Job, status string, done int) []wire.Op {
	id := j.Spec.ID
	if g := j.Guest; g != nil {
		// Its home alone answers its user, and is told from this until it has it.
		over := world.OverRecord{Job: id, Status: status, Done: done}
		ops := []wire.Op{store.Set(world.OverKey(g.Cell, g.Number), over), store.Drop(world.JobKey(id))}
		return append(ops, r.drops(j, len(ops))...)
	}
	ops := j.Final(status, done, r.now.UnixMilli())
	return append(ops, r.drops(j, len(ops))...)
}

// drops removes as many of a job's further records as a transaction with so many
// changes has room for; what stays is swept later.
func (r *round) drops(j *world.Job, has int) []wire.Op {
	return j.DropFurther(r.commit.TxnOps() - has)
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
	ends := slices.ContainsFunc(eds, func(ed *edit) bool { return ed.ends })
	if ends {
		// Marked as cancelled, so that all that holds for such jobs holds: nothing starts
		// any more, what runs is stopped, what awaits it falls.
		failed := *j
		failed.CancelMs, failed.Certain, failed.Failed = max(r.now.UnixMilli(), 1), true, true
		j = &failed
	}
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
		c.item.Ops = r.final(j, j.Ending(), done)
	case !touched && (ends || !single && j.Spec.OneZone && len(c.binds) > 0):
		// The mark stands in the job's own record; and bindings of different records must
		// not choose different zones at once.
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

// writeMachine adds a change of a machine's record, and gives it for its place in the queue.
func (r *round) writeMachine(what, name string, part int, rec world.MachineRecord, stamp uint64) *store.Item {
	key := world.MachineKey(name)
	c := &change{
		what: what, keys: []string{key}, parts: []int{part}, late: true,
		item: store.Item{
			Guards: []wire.Guard{{Key: world.PartKey(part), Stamp: r.stamps[part]}, {Key: key, Stamp: stamp}},
			Ops:    []wire.Op{store.Set(key, rec)},
		},
	}
	r.out = append(r.out, c)
	return &c.item
}
