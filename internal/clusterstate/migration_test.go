package clusterstate

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// recordStore is an in-memory store of records with mod revisions, and a state that receives its changes.
type recordStore struct {
	records      map[string]wire.RawValue
	modRevisions map[string]uint64
	revision     uint64
	state        *State
}

func newRecordStore() *recordStore {
	return &recordStore{
		records:      map[string]wire.RawValue{},
		modRevisions: map[string]uint64{},
		state:        New(3, slog.New(slog.DiscardHandler)),
	}
}

// commit applies operations if all conditions hold. The state receives the operations in random order.
func (s *recordStore) commit(t *rapid.T, conditions []wire.Condition, ops []wire.Op) bool {
	for _, condition := range conditions {
		if s.modRevisions[condition.Key] != condition.ModRevision {
			return false
		}
	}
	s.revision++
	s.state.BeginUpdate()
	defer s.state.EndUpdate()
	for _, op := range rapid.Permutation(ops).Draw(t, "order") {
		if op.PutKey != "" {
			s.records[op.PutKey], s.modRevisions[op.PutKey] = op.Value, s.revision
			s.state.Put(op.PutKey, op.Value, s.revision)
		} else {
			delete(s.records, op.DeleteKey)
			delete(s.modRevisions, op.DeleteKey)
			s.state.Delete(op.DeleteKey)
		}
	}
	return true
}

// reload returns a new state, as a starting node builds it, from all records in random order.
func (s *recordStore) reload(t *rapid.T) *State {
	state := New(3, slog.New(slog.DiscardHandler))
	state.BeginUpdate()
	for _, key := range rapid.Permutation(slices.Sorted(maps.Keys(s.records))).Draw(t, "listed") {
		state.Put(key, s.records[key], s.modRevisions[key])
	}
	state.EndUpdate()
	return state
}

// deleteAll deletes all records.
func (s *recordStore) deleteAll() {
	s.state.BeginUpdate()
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		s.state.Delete(key)
	}
	s.state.EndUpdate()
}

// taskWrite is a transaction that changes tasks of one chunk or is a step of the migration.
type taskWrite struct {
	conditions []wire.Condition
	ops        []wire.Op
	tasks      map[int]record.Task
	migrates   bool // whether it is a step of the migration
}

// migrationModel is a job whose tasks change while its chunks are migrated, with a map of the expected tasks.
type migrationModel struct {
	store     *recordStore
	limits    record.SizeLimits
	spec      wire.JobSpec
	tasks     map[int]record.Task // expected states of the tasks that were changed, by index
	delayed   []taskWrite         // to be committed later, if their conditions still hold then
	migrating bool
}

func newMigrationModel(t *rapid.T) *migrationModel {
	m := &migrationModel{
		store:  newRecordStore(),
		limits: record.NewSizeLimits(rapid.IntRange(900, 16000).Draw(t, "max bytes"), len("vm-000000")),
		spec: wire.JobSpec{
			ID: "run-7", Class: "c", Team: "t", Priority: wire.PriorityNormal, GPUs: 1,
			Kind:      rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindGang}).Draw(t, "kind"),
			TaskCount: rapid.IntRange(1, 600).Draw(t, "tasks"),
		},
		tasks: map[int]record.Task{},
	}
	if rapid.Bool().Draw(t, "retry limit") {
		m.spec.MaxRetries = new(int)
	}
	job := record.Job{Spec: m.spec, SubmittedAtMs: 1764600000000}
	if rapid.Bool().Draw(t, "grouped from the start") {
		job.ChunkWidth = m.limits.ChunkWidth(&job.Spec, record.EncodedBaseSize(job))
	}
	m.store.commit(t, nil, []wire.Op{{PutKey: record.JobKey(m.spec.ID), Value: wire.MustEncode(job)}})
	return m
}

func (m *migrationModel) job() *Job { return m.store.state.Jobs[m.spec.ID] }

// drawTask draws a random state of a task.
func (m *migrationModel) drawTask(t *rapid.T, index int) record.Task {
	task := record.Task{
		Index:   index,
		State:   rapid.SampledFrom(taskStates).Draw(t, "state"),
		Attempt: uint64(rapid.IntRange(1, 3).Draw(t, "attempt")),
	}
	if m.spec.MaxRetries != nil && task.State != record.TaskDone {
		task.Failures = rapid.IntRange(0, 12).Draw(t, "failures")
	}
	if task.State == record.TaskBound {
		task.Machine = fmt.Sprintf("vm-%06d", rapid.IntRange(0, 5).Draw(t, "machine"))
		task.Session = 1
	}
	return task
}

// writeTasks changes some tasks of one chunk, immediately or as a delayed write.
func (m *migrationModel) writeTasks(t *rapid.T) {
	job := m.job()
	first, end := job.TaskRange(rapid.IntRange(0, job.ChunkCount()-1).Draw(t, "chunk"))
	changes := map[int]record.Task{}
	for range rapid.IntRange(1, 12).Draw(t, "changed") {
		index := rapid.IntRange(first, end-1).Draw(t, "task")
		changes[index] = m.drawTask(t, index)
	}
	chunk := job.ChunkOf(first)
	write := taskWrite{
		conditions: job.ChunkConditions(chunk), ops: []wire.Op{job.EncodeChunk(chunk, changes)}, tasks: changes,
	}
	if size := wire.JSONSize(write.ops[0].Value); job.MaxChunkSize(chunk, changes) < size {
		t.Fatalf("record takes %d bytes, more than the upper bound of %d", size, job.MaxChunkSize(chunk, changes))
	}
	if rapid.Bool().Draw(t, "delayed") {
		m.delayed = append(m.delayed, write)
		return
	}
	m.apply(t, write)
}

func (m *migrationModel) apply(t *rapid.T, write taskWrite) {
	if m.store.commit(t, write.conditions, write.ops) {
		maps.Copy(m.tasks, write.tasks)
		m.migrating = m.migrating || write.migrates
	}
}

// applyDelayed commits the oldest delayed write.
func (m *migrationModel) applyDelayed(t *rapid.T) {
	if len(m.delayed) > 0 {
		write := m.delayed[0]
		m.delayed = m.delayed[1:]
		m.apply(t, write)
	}
}

// migrate takes the next step of the job's migration, immediately or, if mayDelay is set, possibly as a delayed write.
func (m *migrationModel) migrate(t *rapid.T, mayDelay bool) {
	job := m.job()
	if !job.NeedsMigration(m.limits) {
		return
	}
	step, ok := job.MigrateChunk(m.limits, 4)
	if !ok {
		return
	}
	if len(step.Ops) > tuning.MinUpcomingTxnOps {
		t.Fatalf("%d operations in one step", len(step.Ops))
	}
	if mayDelay && rapid.Bool().Draw(t, "delayed") {
		m.delayed = append(m.delayed, taskWrite{conditions: step.Conditions, ops: step.Ops, migrates: true})
		return
	}
	m.migrating = true
	if !m.store.commit(t, step.Conditions, step.Ops) {
		t.Fatal("a migration step based on the current state failed")
	}
}

// narrow replaces the job's chunks by narrower ones, immediately or as a delayed write, if that is possible.
func (m *migrationModel) narrow(t *rapid.T) {
	limits := TransactionLimits{Ops: rapid.IntRange(2, 32).Draw(t, "ops"), Conditions: 128, Bytes: 64 << 10}
	job := m.job()
	step, ok := job.NarrowChunks(m.limits, limits)
	if !ok {
		return
	}
	if len(step.Ops) > limits.Ops || len(step.Conditions) > limits.Conditions {
		t.Fatalf("%d operations and %d conditions in one step", len(step.Ops), len(step.Conditions))
	}
	if rapid.Bool().Draw(t, "delayed") {
		m.delayed = append(m.delayed, taskWrite{conditions: step.Conditions, ops: step.Ops})
		return
	}
	if !m.store.commit(t, step.Conditions, step.Ops) {
		t.Fatal("a narrowing based on the current state failed")
	}
	if narrowed := m.job(); len(narrowed.orphanChunks) != 0 {
		t.Fatalf("%d orphaned chunks are left after chunks were narrowed", len(narrowed.orphanChunks))
	}
}

// check compares the tasks and counts in a state with the model.
func (m *migrationModel) check(t *rapid.T, state *State) {
	job := state.Jobs[m.spec.ID]
	bound, done, retries := 0, 0, 0
	for index := range m.spec.TaskCount {
		want, ok := m.tasks[index]
		if !ok {
			want = record.Task{Index: index}
		}
		if got := job.Task(index); got != want {
			t.Fatalf("task %d is %+v, want %+v (chunk width %d, first fixed chunk %d)",
				index, got, want, job.ChunkWidth, job.FirstFixedChunk)
		}
		if want.State == record.TaskPending && want.Failures > 0 {
			retries++
			if job.PendingRetries[index].Failures != want.Failures {
				t.Fatalf("task %d waits for a retry after %d failures, the state has %+v",
					index, want.Failures, job.PendingRetries[index])
			}
		}
		switch want.State {
		case record.TaskBound:
			bound++
		case record.TaskDone:
			done++
		case record.TaskPending:
		}
	}
	if len(job.PendingRetries) != retries {
		t.Fatalf("%d tasks wait for a retry, want %d", len(job.PendingRetries), retries)
	}
	if job.BoundCount != bound || job.DoneCount != done {
		t.Fatalf("%d bound, %d done, want %d and %d", job.BoundCount, job.DoneCount, bound, done)
	}
}

// TestMigrationUnderConcurrentWrites changes tasks of jobs of all sizes and layouts while their chunks are migrated, or
// become narrower and keep their keys. Writers may commit after a delay, when the layout has already changed. The test
// compares each state with a map of the tasks: no write is lost or applied twice. A written chunk takes no more than
// Job.MaxChunkSize, the bound by which the scheduler keeps chunks within the value limit. A step has at most
// tuning.MinUpcomingTxnOps operations. A migration that has begun can be completed and leaves no chunk of the old
// layout.
func TestMigrationUnderConcurrentWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newMigrationModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				model.writeTasks(t)
			case 2:
				model.migrate(t, true)
			case 3:
				model.applyDelayed(t)
			case 4:
				model.narrow(t)
			}
			model.check(t, model.store.state)
			model.check(t, model.store.reload(t))
		}
		for range 20 {
			if model.migrating {
				model.migrate(t, false)
			}
		}
		if job := model.job(); model.migrating && (job.ChunkWidth == 0 || job.FirstFixedChunk != 0) {
			t.Fatalf("migration is not complete: chunk width %d, first fixed chunk %d",
				job.ChunkWidth, job.FirstFixedChunk)
		}
		if job := model.job(); model.migrating && len(job.orphanChunks) != 0 {
			t.Fatalf("%d orphaned chunks are left after the migration", len(job.orphanChunks))
		}
		model.store.deleteAll()
		if len(model.store.state.Jobs) != 0 {
			t.Fatal("the state still has a job after all records were deleted")
		}
	})
}

// TestMigratedRecordsHoldTasksOnOwnMachines guards against a migration that the key-value store refuses: of a job whose
// tasks are bound to a machine each when the value limit falls.
func TestMigratedRecordsHoldTasksOnOwnMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, limits := newRecordStore(), record.NewSizeLimits(1740, len("vm-000000"))
		job := record.Job{SubmittedAtMs: 1764600000000, Spec: wire.JobSpec{
			ID: "run-7", Class: "c", Team: "t", Priority: wire.PriorityNormal, GPUs: 1,
			Kind:      rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService}).Draw(t, "kind"),
			TaskCount: rapid.IntRange(60, 600).Draw(t, "tasks"),
		}}
		store.commit(t, nil, []wire.Op{{PutKey: record.JobKey(job.Spec.ID), Value: wire.MustEncode(job)}})
		for chunk := range job.ChunkCount() {
			var tasks []record.Task
			first, end := job.TaskRange(chunk)
			for index := first; index < end; index++ {
				machine := fmt.Sprintf("vm-%06d", index)
				tasks = append(tasks, record.Task{
					Index: index, State: record.TaskBound, Attempt: 1, Machine: machine, Session: 1,
				})
			}
			store.commit(t, nil, []wire.Op{job.EncodeTasks(chunk, tasks)})
		}
		for steps := 0; store.state.Jobs[job.Spec.ID].NeedsMigration(limits); steps++ {
			step, ok := store.state.Jobs[job.Spec.ID].MigrateChunk(limits, 4)
			if !ok || steps > record.FixedChunkCount(job.Spec.TaskCount) {
				t.Fatalf("the job can't be migrated after %d steps", steps)
			}
			for _, op := range step.Ops {
				if op.PutKey != "" && wire.JSONSize(op.Value) > limits.MaxBytes {
					t.Fatalf("record of %d bytes", wire.JSONSize(op.Value))
				}
			}
			store.commit(t, step.Conditions, step.Ops)
		}
	})
}
