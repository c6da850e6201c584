package world

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// Chunk is the run of a job's tasks that one record holds.
type Chunk struct {
	Stamp uint64
	Tasks []Task // by position; empty until a task of it was bound
	idle  int    // tasks neither bound nor done
}

// stray is a record of tasks that the job's own record does not place (yet).
type stray struct {
	tasks []Task
	stamp uint64
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

	strays map[string]stray
	Bare   int // size of the job's own record without tasks, as JSON

	met     map[string]int64 // the jobs it awaits that are done, and since when
	Doomed  bool             // a job that it needs is cancelled: it never runs
	DoomAt  time.Time        // since when this node knows
	ReadyMs int64            // when the last job that it awaits was done

	// Failing holds the tasks that failed by themselves and wait to be repeated.
	Failing map[int]Failing
}

// Failing is a task that waits to be repeated.
type Failing struct {
	Failures int
	At       time.Time // when this node saw the last one, or the record for the first time
}

// Pending is the number of tasks neither bound nor done.
func (j *Job) Pending() int { return j.Spec.TaskCount - j.Bound - j.Done }

// Cancelled tells whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.CancelMs != 0 }

// Complete tells whether all tasks of the job are done. That decides what it is whatever else its
// records say: the last task of one with several records ends in a change that a cancellation at that
// moment does not collide with, and users may have been told of it by then.
func (j *Job) Complete() bool { return j.Known && j.Done == j.Spec.TaskCount }

// Ending is the final state of a cancelled job: cancelled, or failed if it ended itself.
func (j *Job) Ending() string {
	if j.Failed {
		return wire.JobFailed
	}
	return wire.JobCancelled
}

// repeats keeps in mind whether a task waits to be repeated.
func (j *Job) repeats(t Task) {
	if t.State != Idle || t.Failures == 0 {
		delete(j.Failing, t.Index)
		return
	}
	if j.Failing[t.Index].Failures == t.Failures {
		return
	}
	if j.Failing == nil {
		j.Failing = map[int]Failing{}
	}
	j.Failing[t.Index] = Failing{t.Failures, time.Now()}
}

// Task gives the durable state of task i.
func (j *Job) Task(i int) Task {
	if k := j.RecordOf(i); k < len(j.Chunks) {
		if c := &j.Chunks[k]; len(c.Tasks) > 0 {
			lo, _ := j.Span(k)
			return c.Tasks[i-lo]
		}
	}
	return Task{Index: i}
}

// Startable tells whether tasks of the job may start, as far as its records go. One that is away
// may not: another cell may.
func (j *Job) Startable() bool {
	return j.Known && !j.Cancelled() && !j.Waits() && j.Away == nil && (j.Guest == nil || !j.Guest.Recalled)
}

// Left tells whether no task of the job is on a machine here, and none can be elsewhere.
func (j *Job) Left() bool { return j.Bound == 0 && j.Away == nil }

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
	Yield [wire.PriorityCount]Amount
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

// Cell is what is kept of another cell, with the guests of it that are over.
type Cell struct {
	CellRecord
	Stamp uint64
	Over  map[uint64]Over
}

// Over is a guest's end.
type Over struct {
	OverRecord
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
	Cells    map[string]*Cell
	Types    map[string]wire.MachineType
	CatStamp uint64
	// Level is the form of records that all nodes read, LevelStamp its record's.
	Level      int
	LevelStamp uint64
	// Usage is what bound tasks take, by part and team.
	Usage []map[string]Amount
	// ByPart lists the machines of each part by name.
	ByPart    [][]*Machine
	followers []*News
	// Orphans are bindings to machines that no record knows.
	Orphans map[string]map[TaskRef]Binding

	rentalOf map[string]string // of machines that an open rental lists

	longest int // of the machines' names so far

	catalog []wire.MachineType          // as one record, and
	types   map[string]wire.MachineType // where that is too long, one by one

	waiters map[string]map[string]struct{} // live jobs by the job that they await
	over    map[string]FinalRecord         // final records of awaited jobs
	unread  map[string]struct{}            // awaited jobs that are not live, their final record not read
	doomed  map[string]struct{}            // live jobs that fall with one that they need
	log     *slog.Logger
	subs    []chan struct{}
}

// New makes an empty view of a region with so many parts.
func New(size int, log *slog.Logger) *World {
	w := &World{
		Size: size, Jobs: map[string]*Job{}, Machines: map[string]*Machine{}, Parts: map[int]Part{},
		Nodes: map[string]Node{}, Quotas: map[string]Quota{}, Rentals: map[string]Rental{}, Cells: map[string]*Cell{},
		Types: map[string]wire.MachineType{}, Orphans: map[string]map[TaskRef]Binding{}, log: log,
		rentalOf: map[string]string{}, ByPart: make([][]*Machine, size),
		types: map[string]wire.MachineType{}, waiters: map[string]map[string]struct{}{}, over: map[string]FinalRecord{},
		unread: map[string]struct{}{}, doomed: map[string]struct{}{},
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

// ByType tells whether the catalog is kept by type. Callers hold the lock.
func (w *World) ByType() bool { return len(w.types) > 0 }

// listTypes puts the machine types of all records together.
func (w *World) listTypes() {
	types := maps.Clone(w.types)
	for _, t := range w.catalog {
		if _, ok := types[t.Name]; !ok || w.CatStamp == 0 {
			types[t.Name] = t
		}
	}
	w.Types = types
}

func decode[T any](w *World, key string, v wire.RawValue) (T, bool) {
	var rec T
	if err := wire.Decode(v, &rec); err != nil {
		w.log.Error("unreadable record", "key", key, "err", err)
		return rec, false
	}
	return rec, true
}

// Put takes in a changed record; within a group.
func (w *World) Put(key string, v wire.RawValue, stamp uint64) {
	switch {
	case strings.HasPrefix(key, jobKeys):
		if rec, ok := decode[JobRecord](w, key, v); ok {
			tasks, ok := w.ungroup(key, rec.Groups)
			if !ok || !rec.laid() {
				w.log.Error("unreadable record", "key", key)
				return
			}
			rec.Tasks, rec.Groups = withFailures(append(rec.Tasks, tasks...), rec.Failures), nil
			rec.Failures = nil
			w.putJob(rec, stamp)
		}
	case strings.HasPrefix(key, chunkKeys):
		if id, _, ok := parseRecord(key); ok {
			if rec, ok := decode[ChunkRecord](w, key, v); ok {
				w.putChunk(id, key, withFailures(rec.Tasks, rec.Failures), stamp)
			}
		}
	case strings.HasPrefix(key, fineKeys):
		if id, _, ok := parseRecord(key); ok {
			if rec, ok := decode[FineRecord](w, key, v); ok {
				if tasks, ok := w.ungroup(key, rec.Groups); ok {
					w.putChunk(id, key, withFailures(tasks, rec.Failures), stamp)
				}
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
	case strings.HasPrefix(key, cellKeys):
		if rec, ok := decode[CellRecord](w, key, v); ok {
			c := w.cell(strings.TrimPrefix(key, cellKeys))
			c.CellRecord, c.Stamp = rec, stamp
		}
	case strings.HasPrefix(key, overKeys):
		if cell, n, ok := parseOver(key); ok {
			if rec, ok := decode[OverRecord](w, key, v); ok {
				w.cell(cell).Over[n] = Over{rec, stamp}
			}
		}
	case key == CatalogKey:
		if rec, ok := decode[wire.Catalog](w, key, v); ok {
			w.catalog, w.CatStamp = rec.Types, stamp
			w.listTypes()
		}
	case strings.HasPrefix(key, typeKeys):
		if rec, ok := decode[wire.MachineType](w, key, v); ok {
			w.types[rec.Name] = rec
			w.listTypes()
		}
	case key == LevelKey:
		if rec, ok := decode[LevelRecord](w, key, v); ok {
			w.Level, w.LevelStamp = max(w.Level, rec.Level), stamp
		}
	}
}

// Drop takes in a removed record; within a group.
func (w *World) Drop(key string) {
	switch {
	case strings.HasPrefix(key, jobKeys):
		w.dropJob(strings.TrimPrefix(key, jobKeys))
	case strings.HasPrefix(key, chunkKeys), strings.HasPrefix(key, fineKeys):
		if id, _, ok := parseRecord(key); ok {
			w.dropChunk(id, key)
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
	case strings.HasPrefix(key, cellKeys):
		c := w.cell(strings.TrimPrefix(key, cellKeys))
		c.CellRecord, c.Stamp = CellRecord{}, 0
	case strings.HasPrefix(key, overKeys):
		if cell, n, ok := parseOver(key); ok {
			delete(w.cell(cell).Over, n)
		}
	}
}

// cell gives what is kept of another cell, made if it is not there.
func (w *World) cell(name string) *Cell {
	c := w.Cells[name]
	if c == nil {
		c = &Cell{Over: map[uint64]Over{}}
		w.Cells[name] = c
	}
	return c
}

// parseOver reads the key of a guest's end.
func parseOver(key string) (cell string, number uint64, ok bool) {
	cell, n, ok := strings.Cut(strings.TrimPrefix(key, overKeys), "/")
	number, err := strconv.ParseUint(n, 10, 64)
	return cell, number, ok && err == nil
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
	id := rec.Spec.ID
	w.touchJob(id)
	j := w.job(id)
	tasks := rec.Tasks
	rec.Tasks = nil
	if rec.CancelMs != j.CancelMs || rec.Yield != j.Yield {
		j.Each(func(t Task) {
			if t.State == Bound {
				w.touchMachine(t.Machine)
			}
		})
	}
	first, moved := !j.Known, rec.Width != j.Width || rec.Wide != j.Wide
	if moved {
		w.unlay(j)
	}
	if first {
		j.Bare = BareSize(rec)
	}
	j.JobRecord, j.Stamp, j.Known = rec, stamp, true
	if first || moved {
		for key, s := range j.strays {
			if k, ok := j.place(key); ok {
				delete(j.strays, key)
				w.setChunk(j, k, s.tasks, s.stamp)
			}
		}
	}
	w.setChunk(j, 0, tasks, stamp)
	if first {
		w.await(id, j)
	}
	w.tellWaiters(id)
}

// putChunk takes in a further record of a job's tasks. One that the job's own
// record does not place is kept aside until that one changes: both change in one
// transaction, but one comes first.
func (w *World) putChunk(id, key string, tasks []Task, stamp uint64) {
	w.touchJob(id)
	j := w.job(id)
	if k, ok := j.place(key); ok && j.Known {
		w.setChunk(j, k, tasks, stamp)
		w.tellWaiters(id)
		return
	}
	if j.strays == nil {
		j.strays = map[string]stray{}
	}
	j.strays[key] = stray{tasks, stamp}
}

func (w *World) dropChunk(id, key string) {
	j := w.Jobs[id]
	if j == nil {
		return
	}
	w.touchJob(id)
	delete(j.strays, key)
	if k, ok := j.place(key); ok && j.Known {
		w.setChunk(j, k, nil, 0)
	}
	w.sweepJob(id, j)
}

// unlay puts the further records of a job aside, as its own record is about to
// place them anew.
func (w *World) unlay(j *Job) {
	for k := range j.Chunks {
		c := j.Chunks[k]
		for _, t := range c.Tasks {
			w.index(j, t, -1)
		}
		if k == 0 || c.Stamp == 0 {
			continue
		}
		if j.strays == nil {
			j.strays = map[string]stray{}
		}
		j.strays[j.Key(k)] = stray{c.Tasks, c.Stamp}
	}
	j.Chunks = nil
}

// setChunk replaces a chunk's tasks and keeps the indexes in step.
func (w *World) setChunk(j *Job, k int, tasks []Task, stamp uint64) {
	for len(j.Chunks) <= k {
		j.Chunks = append(j.Chunks, Chunk{})
	}
	c := &j.Chunks[k]
	old := c.Tasks
	c.Stamp, c.Tasks = stamp, nil
	if len(tasks) == 0 {
		for _, t := range old {
			w.index(j, t, -1)
		}
		return
	}
	base, end := j.Span(k)
	c.Tasks = make([]Task, end-base)
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
		j.repeats(t)
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
		w.touchMachine(t.Machine)
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
			m.Used, m.Yield = Amount{}, [wire.PriorityCount]Amount{} // no rounding is carried along
		}
	}
}

func (w *World) dropJob(id string) {
	j := w.Jobs[id]
	if j == nil {
		return
	}
	w.touchJob(id)
	nj := &Job{strays: j.strays}
	if j.Known {
		w.unlay(j)
		nj.strays = j.strays
		w.unawait(id, j)
	}
	w.Jobs[id] = nj
	w.sweepJob(id, nj)
	w.tellWaiters(id)
}

// sweepJob forgets a job of which no record is left.
func (w *World) sweepJob(id string, j *Job) {
	if !j.Known && len(j.strays) == 0 {
		delete(w.Jobs, id)
	}
}

// use counts what n tasks of a job take.
func (m *Machine) use(s *wire.JobSpec, n int) {
	need := Need(s)
	m.Used = m.Used.Plus(need, float64(n))
	if Yields(s) {
		rank := wire.PriorityRank(s.Priority)
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
	w.longest = max(w.longest, len(name))
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
	w.touchMachine(name)
}

func (w *World) dropMachine(name string) {
	m := w.Machines[name]
	if m == nil {
		return
	}
	w.touchMachine(name)
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
			w.touchMachine(n)
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

// News names what changed since it was last taken: machines whose record or bindings
// did, and jobs of which any record did or what they await. Work that follows it costs
// what changed, not what there is.
type News struct {
	machines, jobs map[string]struct{}
}

// Follow gives the news from now on, which its caller takes now and then.
func (w *World) Follow() *News {
	w.Lock()
	defer w.Unlock()
	n := &News{map[string]struct{}{}, map[string]struct{}{}}
	for name := range w.Machines {
		n.machines[name] = struct{}{}
	}
	for id := range w.Jobs {
		n.jobs[id] = struct{}{}
	}
	w.followers = append(w.followers, n)
	return n
}

// Machines takes the machines of the news. Callers hold the lock, at least for reading,
// and no two take at once.
func (n *News) Machines() map[string]struct{} {
	out := n.machines
	n.machines = map[string]struct{}{}
	return out
}

// Jobs takes the jobs of the news; as Machines.
func (n *News) Jobs() map[string]struct{} {
	out := n.jobs
	n.jobs = map[string]struct{}{}
	return out
}

func (w *World) touchMachine(name string) {
	for _, n := range w.followers {
		n.machines[name] = struct{}{}
	}
}

func (w *World) touchJob(id string) {
	for _, n := range w.followers {
		n.jobs[id] = struct{}{}
	}
}
