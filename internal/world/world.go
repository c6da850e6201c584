package world

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Chunk is a run of a job's tasks.
type Chunk struct {
	Stamp uint64
	Tasks []Task // by position; empty until a task of it was bound
	idle  int    // tasks neither bound nor done
}

// Job is a live job.
type Job struct {
	JobRecord
	Stamp  uint64
	Known  bool // the job's own record was seen, not only chunks
	Chunks []Chunk
	Bound  int
	Done   int
	// Where counts the bound tasks by part.
	Where []int
}

// Pending is the number of tasks neither bound nor done.
func (j *Job) Pending() int { return j.Spec.Tasks - j.Bound - j.Done }

// Cancelled tells whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.CancelMs != 0 }

// Task gives the durable state of task i.
func (j *Job) Task(i int) Task {
	if k := i / tuning.ChunkTasks; k < len(j.Chunks) {
		if c := &j.Chunks[k]; len(c.Tasks) > 0 {
			return c.Tasks[i%tuning.ChunkTasks]
		}
	}
	return Task{Index: i}
}

// Settled tells whether no task of a record waits.
func (j *Job) Settled(k int) bool {
	return k < len(j.Chunks) && len(j.Chunks[k].Tasks) > 0 && j.Chunks[k].idle == 0
}

// Each calls f for every task that was ever bound.
func (j *Job) Each(f func(Task)) {
	for k := range j.Chunks {
		for _, t := range j.Chunks[k].Tasks {
			if t.State != Idle || t.Attempt != 0 {
				f(t)
			}
		}
	}
}

// Binding is a task bound to a machine.
type Binding struct {
	Ref     TaskRef
	Job     *Job
	Attempt uint64
	Session uint64
}

// Machine is a known machine.
type Machine struct {
	MachineRecord
	Name  string
	Part  int
	Stamp uint64
	Bound map[TaskRef]Binding
	Used  Amount
	// Yield is what tasks that may be stopped alone take, by rank of priority.
	Yield [wire.Ranks]Amount
	// Images counts the bound tasks by image.
	Images map[string]int
}

// Part is a part's ownership.
type Part struct {
	PartRecord
	Stamp uint64
}

// Node is a live session.
type Node struct {
	NodeRecord
	Stamp uint64
}

// Quota is a team's grants.
type Quota struct {
	QuotaRecord
	Stamp uint64
}

// Rental is an open rental request.
type Rental struct {
	RentalRecord
	Stamp uint64
}

// World is the view. Its lock guards everything in it; holders of the lock may
// read the maps but only Put and Drop change them.
type World struct {
	sync.RWMutex
	Size int

	Jobs     map[string]*Job
	Machines map[string]*Machine
	Parts    map[int]Part
	Nodes    map[string]Node
	Quotas   map[string]Quota
	Rentals  map[string]Rental
	Types    map[string]wire.MachineType
	CatStamp uint64
	// Usage is what bound tasks take, by part and team.
	Usage []map[string]Amount
	// ByPart lists the machines of each part by name.
	ByPart [][]*Machine
	// Touched names the machines whose record or bindings changed since they
	// were last taken.
	touched map[string]struct{}
	// Orphans are bindings to machines that no record knows.
	Orphans map[string]map[TaskRef]Binding

	rentalOf map[string]string // of machines that an open rental lists
	log      *slog.Logger
	subs     []chan struct{}
}

// New makes an empty view of a region with so many parts.
func New(size int, log *slog.Logger) *World {
	w := &World{
		Size: size, Jobs: map[string]*Job{}, Machines: map[string]*Machine{}, Parts: map[int]Part{},
		Nodes: map[string]Node{}, Quotas: map[string]Quota{}, Rentals: map[string]Rental{},
		Types: map[string]wire.MachineType{}, Orphans: map[string]map[TaskRef]Binding{}, log: log,
		touched: map[string]struct{}{}, rentalOf: map[string]string{}, ByPart: make([][]*Machine, size),
	}
	for range size {
		w.Usage = append(w.Usage, map[string]Amount{})
	}
	return w
}

// Subscribe gives a channel that is poked after changes.
func (w *World) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	w.Lock()
	defer w.Unlock()
	w.subs = append(w.subs, ch)
	return ch
}

// Begin starts a group of changes that readers see as one.
func (w *World) Begin() { w.Lock() }

// Flush ends the group and pokes the subscribers.
func (w *World) Flush() {
	subs := w.subs
	w.Unlock()
	for _, ch := range subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func decode[T any](w *World, key string, v wire.Raw) (T, bool) {
	var rec T
	if err := wire.Decode(v, &rec); err != nil {
		w.log.Error("unreadable record", "key", key, "err", err)
		return rec, false
	}
	return rec, true
}

// Put takes in a changed record; within a group.
func (w *World) Put(key string, v wire.Raw, stamp uint64) {
	switch {
	case strings.HasPrefix(key, jobKeys):
		if rec, ok := decode[JobRecord](w, key, v); ok {
			w.putJob(rec, stamp)
		}
	case strings.HasPrefix(key, chunkKeys):
		if id, k, ok := parseChunk(key); ok {
			if rec, ok := decode[ChunkRecord](w, key, v); ok {
				w.setChunk(w.job(id), k, rec.Tasks, stamp)
			}
		}
	case strings.HasPrefix(key, machKeys):
		if rec, ok := decode[MachineRecord](w, key, v); ok {
			w.putMachine(strings.TrimPrefix(key, machKeys), rec, stamp)
		}
	case strings.HasPrefix(key, partKeys):
		if rec, ok := decode[PartRecord](w, key, v); ok {
			w.Parts[parsePart(key)] = Part{rec, stamp}
		}
	case strings.HasPrefix(key, nodeKeys):
		if rec, ok := decode[NodeRecord](w, key, v); ok {
			w.Nodes[strings.TrimPrefix(key, nodeKeys)] = Node{rec, stamp}
		}
	case strings.HasPrefix(key, quotaKeys):
		if rec, ok := decode[QuotaRecord](w, key, v); ok {
			w.Quotas[strings.TrimPrefix(key, quotaKeys)] = Quota{rec, stamp}
		}
	case strings.HasPrefix(key, rentKeys):
		if rec, ok := decode[RentalRecord](w, key, v); ok {
			w.putRental(strings.TrimPrefix(key, rentKeys), rec, stamp)
		}
	case key == CatalogKey:
		if rec, ok := decode[wire.Catalog](w, key, v); ok {
			types := map[string]wire.MachineType{}
			for _, t := range rec.Types {
				types[t.Name] = t
			}
			w.Types, w.CatStamp = types, stamp
		}
	}
}

// Drop takes in a removed record; within a group.
func (w *World) Drop(key string) {
	switch {
	case strings.HasPrefix(key, jobKeys):
		w.dropJob(strings.TrimPrefix(key, jobKeys))
	case strings.HasPrefix(key, chunkKeys):
		if id, k, ok := parseChunk(key); ok {
			if j := w.Jobs[id]; j != nil {
				w.setChunk(j, k, nil, 0)
				w.sweepJob(id, j)
			}
		}
	case strings.HasPrefix(key, machKeys):
		w.dropMachine(strings.TrimPrefix(key, machKeys))
	case strings.HasPrefix(key, partKeys):
		delete(w.Parts, parsePart(key))
	case strings.HasPrefix(key, nodeKeys):
		delete(w.Nodes, strings.TrimPrefix(key, nodeKeys))
	case strings.HasPrefix(key, quotaKeys):
		delete(w.Quotas, strings.TrimPrefix(key, quotaKeys))
	case strings.HasPrefix(key, rentKeys):
		w.dropRental(strings.TrimPrefix(key, rentKeys))
	}
}

func parseChunk(key string) (string, int, bool) {
	ref, ok := ParseRef(strings.TrimPrefix(key, chunkKeys))
	return ref.Job, ref.Index, ok && ref.Index > 0 && ref.Index < Chunks(tuning.MaxTasks)
}

func parsePart(key string) int {
	p := 0
	for _, c := range strings.TrimPrefix(key, partKeys) {
		if c == '-' {
			return Leader
		}
		p = p*10 + int(c-'0')
	}
	return p
}

func (w *World) job(id string) *Job {
	j := w.Jobs[id]
	if j == nil {
		j = &Job{}
		w.Jobs[id] = j
	}
	return j
}

func (w *World) putJob(rec JobRecord, stamp uint64) {
	j := w.job(rec.Spec.ID)
	tasks := rec.Tasks
	rec.Tasks = nil
	first := !j.Known
	if rec.CancelMs != j.CancelMs || rec.Yield != j.Yield {
		j.Each(func(t Task) {
			if t.State == Bound {
				w.touched[t.Machine] = struct{}{}
			}
		})
	}
	j.JobRecord, j.Stamp, j.Known = rec, stamp, true
	if first {
		// Chunks seen earlier were sized without the job's task count.
		for k := range j.Chunks {
			old := j.Chunks[k]
			j.Chunks[k] = Chunk{}
			w.setChunk(j, k, old.Tasks, old.Stamp)
		}
	}
	w.setChunk(j, 0, tasks, stamp)
}

// setChunk replaces a chunk's tasks and keeps the indexes in step.
func (w *World) setChunk(j *Job, k int, tasks []Task, stamp uint64) {
	for len(j.Chunks) <= k {
		j.Chunks = append(j.Chunks, Chunk{})
	}
	c := &j.Chunks[k]
	if !j.Known {
		c.Tasks, c.Stamp = tasks, stamp
		return
	}
	old := c.Tasks
	c.Stamp, c.Tasks = stamp, nil
	if len(tasks) == 0 {
		for _, t := range old {
			w.index(j, t, -1)
		}
		return
	}
	base := k * tuning.ChunkTasks
	c.Tasks = make([]Task, min(tuning.ChunkTasks, j.Spec.Tasks-base))
	for i := range c.Tasks {
		c.Tasks[i].Index = base + i
	}
	for _, t := range tasks {
		if i := t.Index - base; i >= 0 && i < len(c.Tasks) {
			c.Tasks[i] = t
		}
	}
	c.idle = 0
	// Only what differs is taken out of the indexes and put in again: a record
	// of many tasks is written again for each of them.
	for i, t := range c.Tasks {
		if t.State == Idle {
			c.idle++
		}
		if i < len(old) {
			if old[i] == t {
				continue
			}
			w.index(j, old[i], -1)
		}
		w.index(j, t, 1)
	}
}

func (w *World) index(j *Job, t Task, n int) {
	switch t.State {
	case Done:
		j.Done += n
	case Bound:
		j.Bound += n
		ref := TaskRef{j.Spec.ID, t.Index}
		need := Need(&j.Spec)
		part := PartOf(t.Machine, w.Size)
		usage := w.Usage[part]
		if t.Charge > 0 && t.Charge <= w.Size {
			usage = w.Usage[t.Charge-1]
		}
		usage[j.Spec.Team] = usage[j.Spec.Team].Plus(need, float64(n))
		if j.Where == nil {
			j.Where = make([]int, w.Size)
		}
		j.Where[part] += n
		w.touched[t.Machine] = struct{}{}
		m := w.Machines[t.Machine]
		var set map[TaskRef]Binding
		if m != nil {
			set = m.Bound
			m.use(&j.Spec, n)
		} else if set = w.Orphans[t.Machine]; set == nil {
			set = map[TaskRef]Binding{}
			w.Orphans[t.Machine] = set
		}
		if n > 0 {
			set[ref] = Binding{ref, j, t.Attempt, t.Session}
		} else {
			delete(set, ref)
			if m == nil && len(set) == 0 {
				delete(w.Orphans, t.Machine)
			}
		}
		if len(set) == 0 && m != nil {
			m.Used, m.Yield = Amount{}, [wire.Ranks]Amount{} // no rounding is carried along
		}
	}
}

func (w *World) dropJob(id string) {
	j := w.Jobs[id]
	if j == nil {
		return
	}
	if j.Known {
		for k := range j.Chunks {
			for _, t := range j.Chunks[k].Tasks {
				w.index(j, t, -1)
			}
		}
	}
	chunks := j.Chunks
	nj := &Job{}
	for k := 1; k < len(chunks); k++ {
		if chunks[k].Stamp != 0 {
			w.setChunk(nj, k, chunks[k].Tasks, chunks[k].Stamp)
		}
	}
	w.Jobs[id] = nj
	w.sweepJob(id, nj)
}

// sweepJob forgets a job of which no record is left.
func (w *World) sweepJob(id string, j *Job) {
	if j.Known {
		return
	}
	for _, c := range j.Chunks {
		if c.Stamp != 0 {
			return
		}
	}
	delete(w.Jobs, id)
}

// use counts what n tasks of a job take.
func (m *Machine) use(s *wire.Spec, n int) {
	need := Need(s)
	m.Used = m.Used.Plus(need, float64(n))
	if Yields(s) {
		rank := wire.Rank(s.Priority)
		m.Yield[rank] = m.Yield[rank].Plus(need, float64(n))
	}
	if m.Images[s.Image] += n; m.Images[s.Image] <= 0 {
		delete(m.Images, s.Image)
	}
}

// machine gives a machine's entry, made if it is not there.
func (w *World) machine(name string) *Machine {
	m := w.Machines[name]
	if m != nil {
		return m
	}
	m = &Machine{Name: name, Part: PartOf(name, w.Size), Bound: map[TaskRef]Binding{}, Images: map[string]int{}}
	w.Machines[name] = m
	list := w.ByPart[m.Part]
	at, _ := slices.BinarySearchFunc(list, name, byName)
	w.ByPart[m.Part] = slices.Insert(list, at, m)
	if set := w.Orphans[name]; set != nil {
		m.Bound = set
		for _, b := range set {
			m.use(&b.Job.Spec, 1)
		}
		delete(w.Orphans, name)
	}
	return m
}

func byName(m *Machine, name string) int { return cmp.Compare(m.Name, name) }

func (w *World) putMachine(name string, rec MachineRecord, stamp uint64) {
	m := w.machine(name)
	m.MachineRecord, m.Stamp = rec, stamp
	w.touched[name] = struct{}{}
}

func (w *World) dropMachine(name string) {
	m := w.Machines[name]
	if m == nil {
		return
	}
	w.touched[name] = struct{}{}
	if rental, ok := w.Rentals[w.rentalOf[name]]; ok {
		// Its rental still lists it: it counts as not yet up.
		m.MachineRecord, m.Stamp = rental.machine(), 0
		return
	}
	w.removeMachine(name, m)
}

func (w *World) removeMachine(name string, m *Machine) {
	delete(w.Machines, name)
	list := w.ByPart[m.Part]
	if at, ok := slices.BinarySearchFunc(list, name, byName); ok {
		w.ByPart[m.Part] = slices.Delete(list, at, at+1)
	}
	if len(m.Bound) > 0 {
		w.Orphans[name] = maps.Clone(m.Bound)
	}
}

// machine is what a rental tells of its machines until they have records of
// their own: a fleet's worth of machines is recorded by its few rentals.
func (r *RentalRecord) machine() MachineRecord {
	return MachineRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, AtMs: r.AtMs}
}

func (w *World) putRental(name string, rec RentalRecord, stamp uint64) {
	if old, ok := w.Rentals[name]; ok && len(old.Machines) > 0 {
		w.dropRental(name)
	}
	w.Rentals[name] = Rental{rec, stamp}
	for _, n := range rec.Machines {
		w.rentalOf[n] = name
		if w.Machines[n] == nil {
			w.machine(n).MachineRecord = rec.machine()
			w.touched[n] = struct{}{}
		}
	}
}

func (w *World) dropRental(name string) {
	r := w.Rentals[name]
	delete(w.Rentals, name)
	for _, n := range r.Machines {
		delete(w.rentalOf, n)
		if m := w.Machines[n]; m != nil && m.Stamp == 0 {
			w.removeMachine(n, m)
		}
	}
}

// Rented tells whether an open rental lists a machine: its own record must
// stay until the rental is dropped, or it would count as coming up again.
func (w *World) Rented(name string) bool { return w.rentalOf[name] != "" }

// Touched takes the names of the machines whose record or bindings changed
// since the last call, which one caller makes.
func (w *World) Touched() map[string]struct{} {
	w.Lock()
	defer w.Unlock()
	out := w.touched
	w.touched = map[string]struct{}{}
	return out
}

// Encode gives the record of the chunk that holds task i, with changes.
func (j *Job) Encode(k int, change map[int]Task) (string, wire.Raw) {
	var tasks []Task
	base := k * tuning.ChunkTasks
	for i := base; i < min(base+tuning.ChunkTasks, j.Spec.Tasks); i++ {
		t, ok := change[i]
		if !ok {
			t = j.Task(i)
		}
		if t.State != Idle || t.Attempt != 0 {
			tasks = append(tasks, t)
		}
	}
	if k == 0 {
		rec := j.JobRecord
		rec.Tasks = tasks
		return JobKey(j.Spec.ID), wire.MustEncode(rec)
	}
	return ChunkKey(j.Spec.ID, k), wire.MustEncode(ChunkRecord{tasks})
}

// ChunkGuards are the conditions under which an encoded chunk may be written:
// neither it nor the job's record has changed.
func (j *Job) ChunkGuards(k int) []wire.Guard {
	g := []wire.Guard{{Key: JobKey(j.Spec.ID), Stamp: j.Stamp}}
	if k > 0 {
		var s uint64
		if k < len(j.Chunks) {
			s = j.Chunks[k].Stamp
		}
		g = append(g, wire.Guard{Key: ChunkKey(j.Spec.ID, k), Stamp: s})
	}
	return g
}
