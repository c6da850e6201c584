package clusterstate

import (
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// IDs of the jobs of these tests: the dependent job depends on the first one.
const (
	dependencyID = "run-1"
	dependentID  = "run-2"
)

// dependencyTasks is the number of tasks of the dependency. Each is in a record of its own.
const dependencyTasks = 3

// recordHistory is the history of the dependency's records in the store.
type recordHistory struct {
	job         record.Job
	tasks       [dependencyTasks]record.Task
	modRevision map[string]uint64 // by key
	events      []wire.Event      // in order of their revisions; several may have the same
	revision    uint64
}

// newRecordHistory returns a history in which the dependency was submitted, all its tasks were bound, and the dependent
// job was submitted.
func newRecordHistory() *recordHistory {
	h := &recordHistory{
		job: record.Job{
			Spec:          wire.JobSpec{ID: dependencyID, Team: "t", Kind: wire.KindArray, TaskCount: dependencyTasks},
			SubmittedAtMs: 1,
			ChunkWidth:    1,
		},
		modRevision: map[string]uint64{},
	}
	for index := range h.tasks {
		h.tasks[index] = record.Task{
			Index: index, State: record.TaskBound, Attempt: 1, Machine: "vm-000001", Session: 1,
		}
		h.commit(h.chunkOp(index))
	}
	spec := wire.JobSpec{
		ID: dependentID, Team: "t", Kind: wire.KindArray, TaskCount: 1, Dependencies: []string{dependencyID},
	}
	dependent := record.Job{Spec: spec, SubmittedAtMs: 1}
	h.commit(wire.Op{PutKey: record.JobKey(dependentID), Value: wire.MustEncode(dependent)})
	return h
}

// commit appends one transaction, and returns its events.
func (h *recordHistory) commit(ops ...wire.Op) []wire.Event {
	h.revision++
	first := len(h.events)
	for _, op := range ops {
		h.modRevision[op.Key()] = h.revision
		h.events = append(h.events, wire.Event{
			PutKey: op.PutKey, Value: op.Value, DeleteKey: op.DeleteKey, ModRevision: h.revision,
		})
	}
	return h.events[first:]
}

// chunkOp returns the operation that writes the record of one task.
func (h *recordHistory) chunkOp(index int) wire.Op {
	return h.job.EncodeTasks(index, h.tasks[index:index+1])
}

// endTask changes the state of a bound task and returns the operation that records it.
func (h *recordHistory) endTask(index int, state record.TaskState) wire.Op {
	h.tasks[index] = record.Task{Index: index, State: state, Attempt: 1}
	return h.chunkOp(index)
}

// markCancelled marks the dependency as cancelled and returns the operation that records it.
func (h *recordHistory) markCancelled() wire.Op {
	h.job.MarkCancelled(7, true)
	return h.chunkOp(0)
}

// outcome returns how the dependency ends if no task of it is bound: done if all tasks are.
func (h *recordHistory) outcome() wire.JobState {
	done := 0
	for _, task := range h.tasks {
		switch task.State {
		case record.TaskBound:
			return ""
		case record.TaskDone:
			done++
		case record.TaskPending:
		}
	}
	switch {
	case done == dependencyTasks:
		return wire.JobDone
	case h.job.CancelledAtMs != 0:
		return wire.JobCancelled
	}
	return ""
}

// follower is a node's cluster state that receives the records of a history in the ways of kvstore.WatchCache.
type follower struct {
	state       *State
	revision    uint64
	modRevision map[string]uint64 // of the changes that were applied, by key
}

func newFollower() *follower {
	return &follower{state: New(3, slog.New(slog.DiscardHandler)), modRevision: map[string]uint64{}}
}

// put applies an event unless the same or a newer one of its key was applied.
func (f *follower) put(event wire.Event) {
	if event.ModRevision > f.modRevision[event.PutKey] {
		f.modRevision[event.PutKey] = event.ModRevision
		f.state.Put(event.PutKey, event.Value, event.ModRevision)
	}
}

// applyOwn applies a transaction of this node ahead of the watch.
func (f *follower) applyOwn(events []wire.Event) {
	f.state.BeginUpdate()
	defer f.state.EndUpdate()
	for _, event := range events {
		f.put(event)
	}
}

// watch applies all events of a history up to a revision.
func (f *follower) watch(h *recordHistory, upTo uint64) {
	f.state.BeginUpdate()
	defer f.state.EndUpdate()
	for _, event := range h.events {
		if event.ModRevision > f.revision && event.ModRevision <= upTo {
			f.put(event)
		}
	}
	f.revision = max(f.revision, upTo)
	f.state.SetRevision(f.revision)
}

// dependent returns the dependent job, or nil if its record was not received yet.
func (f *follower) dependent() *Job { return f.state.Jobs[dependentID] }

// checkOutcome checks that the dependent job counts the dependency as done or cancelled only if it ends so in any case.
func (f *follower) checkOutcome(t rapid.TB, outcome wire.JobState) {
	t.Helper()
	job := f.dependent()
	if job == nil {
		return
	}
	if job.DependencyCancelled && outcome != wire.JobCancelled {
		t.Fatalf("the dependency counts as cancelled, but its outcome is %q", outcome)
	}
	if !job.HasUnmetDependencies() && outcome != wire.JobDone {
		t.Fatalf("the dependency counts as done, but its outcome is %q", outcome)
	}
}

// TestCompletionBeforeOwnCancellation: a node's own cancellation shows in its cluster state ahead of an older change,
// by another node, of a further record of the job, which completes it. Guards against a dependent job that is cancelled
// although the job that it depends on is done.
func TestCompletionBeforeOwnCancellation(t *testing.T) {
	h, f := newRecordHistory(), newFollower()
	h.commit(h.endTask(0, record.TaskDone), h.endTask(1, record.TaskDone))
	f.watch(h, h.revision)
	h.commit(h.endTask(2, record.TaskDone)) // by another node
	f.applyOwn(h.commit(h.markCancelled()))
	f.checkOutcome(t, wire.JobDone)
	f.watch(h, h.revision)
	f.checkOutcome(t, wire.JobDone)
	if f.dependent().HasUnmetDependencies() {
		t.Error("the dependent job still waits although the dependency is done")
	}
}

// TestCompletionInTransactionOfCancellation: one transaction has both the cancellation of a job and, behind it, the
// change of a further record that completes the job. Guards against an outcome that is taken between the two.
func TestCompletionInTransactionOfCancellation(t *testing.T) {
	h, f := newRecordHistory(), newFollower()
	h.commit(h.endTask(0, record.TaskDone), h.endTask(1, record.TaskDone))
	h.commit(h.markCancelled(), h.endTask(2, record.TaskDone))
	f.watch(h, h.revision)
	f.checkOutcome(t, wire.JobDone)
	if f.dependent().HasUnmetDependencies() {
		t.Error("the dependent job still waits although the dependency is done")
	}
}

// TestDependentOfCancelledJobIsCancelled: once nothing can change the outcome any more, a dependent job counts as to be
// cancelled, also if only the revision advances. Guards against a dependent job that waits for ever.
func TestDependentOfCancelledJobIsCancelled(t *testing.T) {
	h, f := newRecordHistory(), newFollower()
	h.commit(h.endTask(0, record.TaskPending), h.endTask(1, record.TaskDone), h.endTask(2, record.TaskDone))
	f.watch(h, h.revision)
	f.applyOwn(h.commit(h.markCancelled()))
	if f.dependent().DependencyCancelled {
		t.Error("the dependency counts as cancelled before all older changes were applied")
	}
	f.watch(h, h.revision)
	if !f.dependent().DependencyCancelled {
		t.Error("the dependency does not count as cancelled")
	}
	if left := len(f.state.dependencies.cancelling); left != 0 {
		t.Errorf("%d cancellations are still waited for", left)
	}
}

// drawHistory draws the ends of the tasks and a cancellation in any order, also several in one transaction. A task that
// ends after the cancellation does not become done: its change has the job's record as a condition, so its writer has
// seen the cancellation. With it in one transaction it may.
func drawHistory(t *rapid.T, h *recordHistory) [][]wire.Event {
	var transactions [][]wire.Event
	cancelAt := rapid.IntRange(0, dependencyTasks).Draw(t, "cancelled with the end of task")
	order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
	for position, index := range order {
		state := record.TaskPending
		if rapid.IntRange(0, 3).Draw(t, "done") > 0 && position <= cancelAt {
			state = record.TaskDone
		}
		if position != cancelAt {
			transactions = append(transactions, h.commit(h.endTask(index, state)))
			continue
		}
		if index == 0 { // one record, so one of the two changes is refused
			transactions = append(transactions, h.commit(h.markCancelled()))
			transactions = append(transactions, h.commit(h.endTask(index, record.TaskPending)))
			continue
		}
		ops := []wire.Op{h.markCancelled(), h.endTask(index, state)}
		if rapid.Bool().Draw(t, "completion first") {
			ops[0], ops[1] = ops[1], ops[0]
		}
		transactions = append(transactions, h.commit(ops...))
	}
	if cancelAt == dependencyTasks {
		transactions = append(transactions, h.commit(h.markCancelled()))
	}
	return transactions
}

// TestDependencyOutcomeIsFinal delivers generated histories to nodes in generated orders: own transactions ahead of the
// watch, and restarts, after which the records are listed page by page at different revisions. No node may ever take an
// outcome other than that of the complete history, and all take it in the end.
func TestDependencyOutcomeIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRecordHistory()
		start := h.revision
		transactions := drawHistory(t, h)
		outcome := h.outcome()
		f := newFollower()
		f.watch(h, start)
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f = listedFollower(t, h, start)
			case 1, 2:
				f.applyOwn(rapid.SampledFrom(transactions).Draw(t, "own"))
			default:
				f.watch(h, rapid.Uint64Range(f.revision, h.revision).Draw(t, "up to"))
			}
			f.checkOutcome(t, outcome)
		}
		f.watch(h, h.revision)
		f.checkOutcome(t, outcome)
		settled := f.dependent().DependencyCancelled || !f.dependent().HasUnmetDependencies()
		if !settled {
			t.Fatalf("no outcome in the end, want %q", outcome)
		}
	})
}

// listedFollower returns the cluster state of a restarted node that lists the records one by one, each at a revision
// that is not below that of the one before. The first watch begins at the revision of the first page.
func listedFollower(t *rapid.T, h *recordHistory, start uint64) *follower {
	f := newFollower()
	keys := []string{record.JobKey(dependencyID), record.JobKey(dependentID)}
	for chunk := 1; chunk < dependencyTasks; chunk++ {
		keys = append(keys, h.job.ChunkKey(chunk))
	}
	pageRevision := start
	for position, key := range keys {
		pageRevision = rapid.Uint64Range(pageRevision, h.revision).Draw(t, "page revision")
		var newest wire.Event
		for _, event := range h.events {
			if event.PutKey == key && event.ModRevision <= pageRevision {
				newest = event
			}
		}
		f.applyOwn([]wire.Event{newest})
		if position == 0 {
			f.revision = pageRevision
		}
	}
	// The first watch is requested after the last page, so its response is at least as new.
	f.watch(h, rapid.Uint64Range(pageRevision, h.revision).Draw(t, "first watch"))
	return f
}
