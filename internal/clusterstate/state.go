package clusterstate

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Chunk is the run of a job's tasks that one record holds.
type Chunk struct {
	ModRevision  uint64
	Tasks        []record.Task // by position; empty until a task of it was bound
	pendingCount int           // tasks neither bound nor done
}

// orphanChunk is a record of tasks that the job's own record does not place (yet).
type orphanChunk struct {
	tasks       []record.Task
	modRevision uint64
}

// Job is a live job.
type Job struct {
	record.Job
	ModRevision uint64
	HasRecord   bool // the job's own record was seen, not only chunks
	Chunks      []Chunk
	BoundCount  int
	DoneCount   int
	// BoundByShard counts the bound tasks by part.
	BoundByShard []int

	orphanChunks    map[string]orphanChunk
	EncodedBaseSize int // size of the job's own record without tasks, as JSON

	metDependencies       map[string]int64 // the jobs it awaits that are done, and since when
	DependencyCancelled   bool             // a job that it needs is cancelled: it never runs
	DependencyCancelledAt time.Time        // since when this node knows
	DependenciesMetAtMs   int64            // when the last job that it awaits was done

	// PendingRetries holds the tasks that failed by themselves and wait to be repeated.
	PendingRetries map[int]PendingRetry
}

// PendingRetry is a task that waits to be repeated.
type PendingRetry struct {
	Failures int
	SeenAt   time.Time // when this node saw the last one, or the record for the first time
}

// PendingCount is the number of tasks neither bound nor done.
func (j *Job) PendingCount() int { return j.Spec.TaskCount - j.BoundCount - j.DoneCount }

// Cancelled tells whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.CancelledAtMs != 0 }

// Complete tells whether all tasks of the job are done. That decides what it is whatever else its
// records say: the last task of one with several records ends in a change that a cancellation at that
// moment does not collide with, and users may have been told of it by then.
func (j *Job) Complete() bool { return j.HasRecord && j.DoneCount == j.Spec.TaskCount }

// CancelledStatus is the final state of a cancelled job: cancelled, or failed if it ended itself.
func (j *Job) CancelledStatus() wire.JobState {
	if j.Failed {
		return wire.JobFailed
	}
	return wire.JobCancelled
}

// trackRetry keeps in mind whether a task waits to be repeated.
func (j *Job) trackRetry(t record.Task) {
	if t.State != record.TaskPending || t.Failures == 0 {
		delete(j.PendingRetries, t.Index)
		return
	}
	if j.PendingRetries[t.Index].Failures == t.Failures {
		return
	}
	if j.PendingRetries == nil {
		j.PendingRetries = map[int]PendingRetry{}
	}
	j.PendingRetries[t.Index] = PendingRetry{t.Failures, time.Now()}
}

// Task gives the durable state of task i.
func (j *Job) Task(i int) record.Task {
	if k := j.ChunkOf(i); k < len(j.Chunks) {
		if c := &j.Chunks[k]; len(c.Tasks) > 0 {
			lo, _ := j.TaskRange(k)
			return c.Tasks[i-lo]
		}
	}
	return record.Task{Index: i}
}

// CanStart tells whether tasks of the job may start, as far as its records go. One that is away
// may not: another cell may.
func (j *Job) CanStart() bool {
	return j.HasRecord && !j.Cancelled() && !j.HasUnmetDependencies() && j.OffloadedTo == nil && (j.OffloadedFrom == nil || !j.OffloadedFrom.Recalled)
}

// FullyReleased tells whether no task of the job is on a machine here, and none can be elsewhere.
func (j *Job) FullyReleased() bool { return j.BoundCount == 0 && j.OffloadedTo == nil }

// ChunkFullyAssigned tells whether no task of a record waits.
func (j *Job) ChunkFullyAssigned(k int) bool {
	return k < len(j.Chunks) && len(j.Chunks[k].Tasks) > 0 && j.Chunks[k].pendingCount == 0
}

// ForEachStartedTask calls f for every task that was ever bound.
func (j *Job) ForEachStartedTask(f func(record.Task)) {
	for k := range j.Chunks {
		for _, t := range j.Chunks[k].Tasks {
			if t.State != record.TaskPending || t.Attempt != 0 {
				f(t)
			}
		}
	}
}

// Binding is a task bound to a machine.
type Binding struct {
	Ref     record.TaskRef
	Job     *Job
	Attempt uint64
	Session uint64
}

// Machine is a known machine.
type Machine struct {
	record.Machine
	Name        string
	Shard       int
	ModRevision uint64
	Bindings    map[record.TaskRef]Binding
	Used        record.Resources
	// PreemptibleByRank is what tasks that may be stopped alone take, by rank of priority.
	PreemptibleByRank [wire.PriorityCount]record.Resources
	// TasksByImage counts the bound tasks by image.
	TasksByImage map[string]int
}

// Shard is a part's ownership.
type Shard struct {
	record.Shard
	ModRevision uint64
}

// Node is a live session.
type Node struct {
	record.Node
	ModRevision uint64
}

// Quota is a team's grants.
type Quota struct {
	record.Quota
	ModRevision uint64
}

// Rental is an open rental request.
type Rental struct {
	record.Rental
	ModRevision uint64
}

// Cell is what is kept of another cell, with the guests of it that are over.
type Cell struct {
	record.Cell
	ModRevision   uint64
	GuestOutcomes map[uint64]GuestOutcome
}

// GuestOutcome is a guest's end.
type GuestOutcome struct {
	record.GuestOutcome
	ModRevision uint64
}

// State is the view. Its lock guards everything in it; holders of the lock may
// read the maps but only Put and Drop change them.
type State struct {
	sync.RWMutex
	ShardCount int

	Jobs     map[string]*Job
	Machines map[string]*Machine
	Shards   map[int]Shard
	Nodes    map[string]Node
	Quotas   map[string]Quota
	Rentals  map[string]Rental
	Cells    map[string]*Cell
	Catalog  Catalog
	// SchemaVersion is the form of records that all nodes read, LevelStamp its record's.
	SchemaVersion            int
	SchemaVersionModRevision uint64
	// UsageByShard is what bound tasks take, by part and team.
	UsageByShard []map[string]record.Resources
	// MachinesByShard lists the machines of each part by name.
	MachinesByShard [][]*Machine
	changeFeeds     []*ChangeFeed
	// OrphanBindings are bindings to machines that no record knows.
	OrphanBindings map[string]map[record.TaskRef]Binding

	rentalByMachine map[string]string // of machines that an open rental lists

	longestMachineName int // of the machines' names so far

	dependentsOf           map[string]map[string]struct{} // live jobs by the job that they await
	finalRecords           map[string]record.Final        // final records of awaited jobs
	unresolvedDependencies map[string]struct{}            // awaited jobs that are not live, their final record not read
	dependencyCancelled    map[string]struct{}            // live jobs that fall with one that they need
	log                    *slog.Logger
	subscribers            []chan struct{}
}

// New makes an empty view of a region with so many parts.
func New(size int, log *slog.Logger) *State {
	w := &State{
		ShardCount: size, Jobs: map[string]*Job{}, Machines: map[string]*Machine{}, Shards: map[int]Shard{},
		Nodes: map[string]Node{}, Quotas: map[string]Quota{}, Rentals: map[string]Rental{}, Cells: map[string]*Cell{},
		Catalog: newCatalog(), OrphanBindings: map[string]map[record.TaskRef]Binding{}, log: log,
		rentalByMachine: map[string]string{}, MachinesByShard: make([][]*Machine, size),
		dependentsOf: map[string]map[string]struct{}{}, finalRecords: map[string]record.Final{},
		unresolvedDependencies: map[string]struct{}{}, dependencyCancelled: map[string]struct{}{},
	}
	for range size {
		w.UsageByShard = append(w.UsageByShard, map[string]record.Resources{})
	}
	return w
}

// Subscribe gives a channel that is poked after changes.
func (w *State) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	w.Lock()
	defer w.Unlock()
	w.subscribers = append(w.subscribers, ch)
	return ch
}

// BeginUpdate starts a group of changes that readers see as one.
func (w *State) BeginUpdate() { w.Lock() }

// EndUpdate ends the group and pokes the subscribers.
func (w *State) EndUpdate() {
	subs := w.subscribers
	w.Unlock()
	for _, ch := range subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func decodeRecord[T any](w *State, key string, v wire.RawValue) (T, bool) {
	var rec T
	if err := wire.Decode(v, &rec); err != nil {
		w.log.Error("unreadable record", "key", key, "err", err)
		return rec, false
	}
	return rec, true
}

// Put takes in a changed record; within a group.
func (w *State) Put(key string, v wire.RawValue, stamp uint64) {
	switch {
	case strings.HasPrefix(key, record.JobPrefix):
		if rec, ok := decodeRecord[record.Job](w, key, v); ok {
			tasks, ok := w.expandGroups(key, rec.Groups)
			if !ok || !rec.ValidLayout() {
				w.log.Error("unreadable record", "key", key)
				return
			}
			rec.Tasks, rec.Groups = record.AttachFailures(append(rec.Tasks, tasks...), rec.Failures), nil
			rec.Failures = nil
			w.putJob(rec, stamp)
		}
	case strings.HasPrefix(key, record.FixedChunkPrefix):
		if id, _, ok := record.ParseChunkKey(key); ok {
			if rec, ok := decodeRecord[record.FixedChunk](w, key, v); ok {
				w.putChunk(id, key, record.AttachFailures(rec.Tasks, rec.Failures), stamp)
			}
		}
	case strings.HasPrefix(key, record.GroupedChunkPrefix):
		if id, _, ok := record.ParseChunkKey(key); ok {
			if rec, ok := decodeRecord[record.GroupedChunk](w, key, v); ok {
				if tasks, ok := w.expandGroups(key, rec.Groups); ok {
					w.putChunk(id, key, record.AttachFailures(tasks, rec.Failures), stamp)
				}
			}
		}
	case strings.HasPrefix(key, record.MachinePrefix):
		if rec, ok := decodeRecord[record.Machine](w, key, v); ok {
			w.putMachine(strings.TrimPrefix(key, record.MachinePrefix), rec, stamp)
		}
	case strings.HasPrefix(key, record.ShardPrefix):
		if rec, ok := decodeRecord[record.Shard](w, key, v); ok {
			w.Shards[record.ParseShardKey(key)] = Shard{rec, stamp}
		}
	case strings.HasPrefix(key, record.NodePrefix):
		if rec, ok := decodeRecord[record.Node](w, key, v); ok {
			w.Nodes[strings.TrimPrefix(key, record.NodePrefix)] = Node{rec, stamp}
		}
	case strings.HasPrefix(key, record.QuotaPrefix):
		if rec, ok := decodeRecord[record.Quota](w, key, v); ok {
			w.Quotas[strings.TrimPrefix(key, record.QuotaPrefix)] = Quota{rec, stamp}
		}
	case strings.HasPrefix(key, record.RentalPrefix):
		if rec, ok := decodeRecord[record.Rental](w, key, v); ok {
			w.putRental(strings.TrimPrefix(key, record.RentalPrefix), rec, stamp)
		}
	case strings.HasPrefix(key, record.CellPrefix):
		if rec, ok := decodeRecord[record.Cell](w, key, v); ok {
			c := w.cellEntry(strings.TrimPrefix(key, record.CellPrefix))
			c.Cell, c.ModRevision = rec, stamp
		}
	case strings.HasPrefix(key, record.GuestOutcomePrefix):
		if cell, n, ok := record.ParseGuestOutcomeKey(key); ok {
			if rec, ok := decodeRecord[record.GuestOutcome](w, key, v); ok {
				w.cellEntry(cell).GuestOutcomes[n] = GuestOutcome{rec, stamp}
			}
		}
	case key == record.CatalogKey:
		if rec, ok := decodeRecord[wire.Catalog](w, key, v); ok {
			w.Catalog.combined, w.Catalog.ModRevision = rec.Types, stamp
			w.Catalog.rebuild()
		}
	case strings.HasPrefix(key, record.MachineTypePrefix):
		if rec, ok := decodeRecord[wire.MachineType](w, key, v); ok {
			w.Catalog.single[rec.Name] = rec
			w.Catalog.rebuild()
		}
	case key == record.SchemaVersionKey:
		if rec, ok := decodeRecord[record.SchemaVersion](w, key, v); ok {
			w.SchemaVersion, w.SchemaVersionModRevision = max(w.SchemaVersion, rec.Version), stamp
		}
	}
}

// Delete takes in a removed record; within a group.
func (w *State) Delete(key string) {
	switch {
	case strings.HasPrefix(key, record.JobPrefix):
		w.deleteJob(strings.TrimPrefix(key, record.JobPrefix))
	case strings.HasPrefix(key, record.FixedChunkPrefix), strings.HasPrefix(key, record.GroupedChunkPrefix):
		if id, _, ok := record.ParseChunkKey(key); ok {
			w.deleteChunk(id, key)
		}
	case strings.HasPrefix(key, record.MachinePrefix):
		w.deleteMachine(strings.TrimPrefix(key, record.MachinePrefix))
	case strings.HasPrefix(key, record.ShardPrefix):
		delete(w.Shards, record.ParseShardKey(key))
	case strings.HasPrefix(key, record.NodePrefix):
		delete(w.Nodes, strings.TrimPrefix(key, record.NodePrefix))
	case strings.HasPrefix(key, record.QuotaPrefix):
		delete(w.Quotas, strings.TrimPrefix(key, record.QuotaPrefix))
	case strings.HasPrefix(key, record.RentalPrefix):
		w.deleteRental(strings.TrimPrefix(key, record.RentalPrefix))
	case strings.HasPrefix(key, record.CellPrefix):
		c := w.cellEntry(strings.TrimPrefix(key, record.CellPrefix))
		c.Cell, c.ModRevision = record.Cell{}, 0
	case strings.HasPrefix(key, record.GuestOutcomePrefix):
		if cell, n, ok := record.ParseGuestOutcomeKey(key); ok {
			delete(w.cellEntry(cell).GuestOutcomes, n)
		}
	}
}

// cellEntry gives what is kept of another cell, made if it is not there.
func (w *State) cellEntry(name string) *Cell {
	c := w.Cells[name]
	if c == nil {
		c = &Cell{GuestOutcomes: map[uint64]GuestOutcome{}}
		w.Cells[name] = c
	}
	return c
}

func (w *State) jobEntry(id string) *Job {
	j := w.Jobs[id]
	if j == nil {
		j = &Job{}
		w.Jobs[id] = j
	}
	return j
}

func (w *State) putJob(rec record.Job, stamp uint64) {
	id := rec.Spec.ID
	w.markJobChanged(id)
	j := w.jobEntry(id)
	tasks := rec.Tasks
	rec.Tasks = nil
	if rec.CancelledAtMs != j.CancelledAtMs || rec.PreemptedAttempt != j.PreemptedAttempt {
		j.ForEachStartedTask(func(t record.Task) {
			if t.State == record.TaskBound {
				w.markMachineChanged(t.Machine)
			}
		})
	}
	first, moved := !j.HasRecord, rec.ChunkWidth != j.ChunkWidth || rec.FirstFixedChunk != j.FirstFixedChunk
	if moved {
		w.orphanChunks(j)
	}
	if first {
		j.EncodedBaseSize = record.EncodedBaseSize(rec)
	}
	j.Job, j.ModRevision, j.HasRecord = rec, stamp, true
	if first || moved {
		for key, s := range j.orphanChunks {
			if k, ok := j.ChunkIndexOf(key); ok {
				delete(j.orphanChunks, key)
				w.setChunk(j, k, s.tasks, s.modRevision)
			}
		}
	}
	w.setChunk(j, 0, tasks, stamp)
	if first {
		w.addDependencies(id, j)
	}
	w.updateDependents(id)
}

// putChunk takes in a further record of a job's tasks. One that the job's own
// record does not place is kept aside until that one changes: both change in one
// transaction, but one comes first.
func (w *State) putChunk(id, key string, tasks []record.Task, stamp uint64) {
	w.markJobChanged(id)
	j := w.jobEntry(id)
	if k, ok := j.ChunkIndexOf(key); ok && j.HasRecord {
		w.setChunk(j, k, tasks, stamp)
		w.updateDependents(id)
		return
	}
	if j.orphanChunks == nil {
		j.orphanChunks = map[string]orphanChunk{}
	}
	j.orphanChunks[key] = orphanChunk{tasks, stamp}
}

func (w *State) deleteChunk(id, key string) {
	j := w.Jobs[id]
	if j == nil {
		return
	}
	w.markJobChanged(id)
	delete(j.orphanChunks, key)
	if k, ok := j.ChunkIndexOf(key); ok && j.HasRecord {
		w.setChunk(j, k, nil, 0)
	}
	w.forgetIfEmpty(id, j)
}

// orphanChunks puts the further records of a job aside, as its own record is about to
// place them anew.
func (w *State) orphanChunks(j *Job) {
	for k := range j.Chunks {
		c := j.Chunks[k]
		for _, t := range c.Tasks {
			w.indexTask(j, t, -1)
		}
		if k == 0 || c.ModRevision == 0 {
			continue
		}
		if j.orphanChunks == nil {
			j.orphanChunks = map[string]orphanChunk{}
		}
		j.orphanChunks[j.ChunkKey(k)] = orphanChunk{c.Tasks, c.ModRevision}
	}
	j.Chunks = nil
}

// setChunk replaces a chunk's tasks and keeps the indexes in step.
func (w *State) setChunk(j *Job, k int, tasks []record.Task, stamp uint64) {
	for len(j.Chunks) <= k {
		j.Chunks = append(j.Chunks, Chunk{})
	}
	c := &j.Chunks[k]
	old := c.Tasks
	c.ModRevision, c.Tasks = stamp, nil
	if len(tasks) == 0 {
		for _, t := range old {
			w.indexTask(j, t, -1)
		}
		return
	}
	base, end := j.TaskRange(k)
	c.Tasks = make([]record.Task, end-base)
	for i := range c.Tasks {
		c.Tasks[i].Index = base + i
	}
	for _, t := range tasks {
		if i := t.Index - base; i >= 0 && i < len(c.Tasks) {
			c.Tasks[i] = t
		}
	}
	c.pendingCount = 0
	// Only what differs is taken out of the indexes and put in again: a record
	// of many tasks is written again for each of them.
	for i, t := range c.Tasks {
		if t.State == record.TaskPending {
			c.pendingCount++
		}
		if i < len(old) {
			if old[i] == t {
				continue
			}
			w.indexTask(j, old[i], -1)
		}
		j.trackRetry(t)
		w.indexTask(j, t, 1)
	}
}

func (w *State) indexTask(j *Job, t record.Task, n int) {
	switch t.State {
	case record.TaskDone:
		j.DoneCount += n
	case record.TaskBound:
		j.BoundCount += n
		ref := record.TaskRef{Job: j.Spec.ID, Index: t.Index}
		need := record.TaskResources(&j.Spec)
		part := record.ShardOf(t.Machine, w.ShardCount)
		usage := w.UsageByShard[part]
		if t.ChargedShard > 0 && t.ChargedShard <= w.ShardCount {
			usage = w.UsageByShard[t.ChargedShard-1]
		}
		usage[j.Spec.Team] = usage[j.Spec.Team].AddTimes(need, float64(n))
		if j.BoundByShard == nil {
			j.BoundByShard = make([]int, w.ShardCount)
		}
		j.BoundByShard[part] += n
		w.markMachineChanged(t.Machine)
		m := w.Machines[t.Machine]
		var set map[record.TaskRef]Binding
		if m != nil {
			set = m.Bindings
			m.addUsage(&j.Spec, n)
		} else if set = w.OrphanBindings[t.Machine]; set == nil {
			set = map[record.TaskRef]Binding{}
			w.OrphanBindings[t.Machine] = set
		}
		if n > 0 {
			set[ref] = Binding{ref, j, t.Attempt, t.Session}
		} else {
			delete(set, ref)
			if m == nil && len(set) == 0 {
				delete(w.OrphanBindings, t.Machine)
			}
		}
		if len(set) == 0 && m != nil {
			m.Used, m.PreemptibleByRank = record.Resources{}, [wire.PriorityCount]record.Resources{} // no rounding is carried along
		}
	}
}

func (w *State) deleteJob(id string) {
	j := w.Jobs[id]
	if j == nil {
		return
	}
	w.markJobChanged(id)
	nj := &Job{orphanChunks: j.orphanChunks}
	if j.HasRecord {
		w.orphanChunks(j)
		nj.orphanChunks = j.orphanChunks
		w.removeDependencies(id, j)
	}
	w.Jobs[id] = nj
	w.forgetIfEmpty(id, nj)
	w.updateDependents(id)
}

// forgetIfEmpty forgets a job of which no record is left.
func (w *State) forgetIfEmpty(id string, j *Job) {
	if !j.HasRecord && len(j.orphanChunks) == 0 {
		delete(w.Jobs, id)
	}
}

// addUsage counts what n tasks of a job take.
func (m *Machine) addUsage(s *wire.JobSpec, n int) {
	need := record.TaskResources(s)
	m.Used = m.Used.AddTimes(need, float64(n))
	if record.TaskPreemptible(s) {
		rank := s.Priority.Rank()
		m.PreemptibleByRank[rank] = m.PreemptibleByRank[rank].AddTimes(need, float64(n))
	}
	if m.TasksByImage[s.Image] += n; m.TasksByImage[s.Image] <= 0 {
		delete(m.TasksByImage, s.Image)
	}
}

// machineEntry gives a machine's entry, made if it is not there.
func (w *State) machineEntry(name string) *Machine {
	m := w.Machines[name]
	if m != nil {
		return m
	}
	m = &Machine{Name: name, Shard: record.ShardOf(name, w.ShardCount), Bindings: map[record.TaskRef]Binding{}, TasksByImage: map[string]int{}}
	w.Machines[name] = m
	w.longestMachineName = max(w.longestMachineName, len(name))
	list := w.MachinesByShard[m.Shard]
	at, _ := slices.BinarySearchFunc(list, name, compareMachineName)
	w.MachinesByShard[m.Shard] = slices.Insert(list, at, m)
	if set := w.OrphanBindings[name]; set != nil {
		m.Bindings = set
		for _, b := range set {
			m.addUsage(&b.Job.Spec, 1)
		}
		delete(w.OrphanBindings, name)
	}
	return m
}

func compareMachineName(m *Machine, name string) int { return cmp.Compare(m.Name, name) }

func (w *State) putMachine(name string, rec record.Machine, stamp uint64) {
	m := w.machineEntry(name)
	m.Machine, m.ModRevision = rec, stamp
	w.markMachineChanged(name)
}

func (w *State) deleteMachine(name string) {
	m := w.Machines[name]
	if m == nil {
		return
	}
	w.markMachineChanged(name)
	if rental, ok := w.Rentals[w.rentalByMachine[name]]; ok {
		// Its rental still lists it: it counts as not yet up.
		m.Machine, m.ModRevision = rental.InitialMachine(), 0
		return
	}
	w.removeMachine(name, m)
}

func (w *State) removeMachine(name string, m *Machine) {
	delete(w.Machines, name)
	list := w.MachinesByShard[m.Shard]
	if at, ok := slices.BinarySearchFunc(list, name, compareMachineName); ok {
		w.MachinesByShard[m.Shard] = slices.Delete(list, at, at+1)
	}
	if len(m.Bindings) > 0 {
		w.OrphanBindings[name] = maps.Clone(m.Bindings)
	}
}

func (w *State) putRental(name string, rec record.Rental, stamp uint64) {
	if old, ok := w.Rentals[name]; ok && len(old.Machines) > 0 {
		w.deleteRental(name)
	}
	w.Rentals[name] = Rental{rec, stamp}
	for _, n := range rec.Machines {
		w.rentalByMachine[n] = name
		if w.Machines[n] == nil {
			w.machineEntry(n).Machine = rec.InitialMachine()
			w.markMachineChanged(n)
		}
	}
}

func (w *State) deleteRental(name string) {
	r := w.Rentals[name]
	delete(w.Rentals, name)
	for _, n := range r.Machines {
		delete(w.rentalByMachine, n)
		if m := w.Machines[n]; m != nil && m.ModRevision == 0 {
			w.removeMachine(n, m)
		}
	}
}

// ListedInRental tells whether an open rental lists a machine: its own record must
// stay until the rental is dropped, or it would count as coming up again.
func (w *State) ListedInRental(name string) bool { return w.rentalByMachine[name] != "" }

// ChangeFeed names what changed since it was last taken: machines whose record or bindings
// did, and jobs of which any record did or what they await. Work that follows it costs
// what changed, not what there is.
type ChangeFeed struct {
	machines, jobs map[string]struct{}
}

// FollowChanges gives the news from now on, which its caller takes now and then.
func (w *State) FollowChanges() *ChangeFeed {
	w.Lock()
	defer w.Unlock()
	n := &ChangeFeed{map[string]struct{}{}, map[string]struct{}{}}
	for name := range w.Machines {
		n.machines[name] = struct{}{}
	}
	for id := range w.Jobs {
		n.jobs[id] = struct{}{}
	}
	w.changeFeeds = append(w.changeFeeds, n)
	return n
}

// TakeMachines takes the machines of the news. Callers hold the lock, at least for reading,
// and no two take at once.
func (n *ChangeFeed) TakeMachines() map[string]struct{} {
	out := n.machines
	n.machines = map[string]struct{}{}
	return out
}

// TakeJobs takes the jobs of the news; as Machines.
func (n *ChangeFeed) TakeJobs() map[string]struct{} {
	out := n.jobs
	n.jobs = map[string]struct{}{}
	return out
}

func (w *State) markMachineChanged(name string) {
	for _, n := range w.changeFeeds {
		n.machines[name] = struct{}{}
	}
}

func (w *State) markJobChanged(id string) {
	for _, n := range w.changeFeeds {
		n.jobs[id] = struct{}{}
	}
}
