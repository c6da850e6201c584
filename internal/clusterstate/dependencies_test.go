package clusterstate

import (
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// dependencyModel is a reference model of jobs that depend on others, with a State that receives their records.
type dependencyModel struct {
	state        *State
	revision     uint64
	ids          []string                 // in submission order
	dependencies map[string][]string      // by job ID
	outcome      map[string]wire.JobState // according to the store: "", wire.JobDone or wire.JobCancelled
	live         map[string]bool          // whether the live record still exists
	final        map[string]wire.JobState // status of the final records
}

func newDependencyModel() *dependencyModel {
	return &dependencyModel{
		state:        New(3, slog.New(slog.DiscardHandler)),
		dependencies: map[string][]string{},
		outcome:      map[string]wire.JobState{},
		live:         map[string]bool{},
		final:        map[string]wire.JobState{},
	}
}

// put writes a job's live record with the change applied.
func (m *dependencyModel) put(id string, change func(*record.Job)) {
	m.revision++
	spec := wire.JobSpec{ID: id, Team: "t", Kind: wire.KindArray, TaskCount: 1, Dependencies: m.dependencies[id]}
	job := record.Job{Spec: spec, SubmittedAtMs: 5}
	change(&job)
	m.state.BeginUpdate()
	m.state.Put(record.JobKey(id), wire.MustEncode(job), m.revision)
	m.state.SetRevision(m.revision)
	m.state.EndUpdate()
}

// finalize replaces a job's live record by its final one.
func (m *dependencyModel) finalize(id string, status wire.JobState) {
	m.live[id], m.final[id] = false, status
	m.state.BeginUpdate()
	m.state.Delete(record.JobKey(id))
	m.state.EndUpdate()
}

// dependencyCancelled reports whether a direct or indirect dependency of a job is cancelled.
func (m *dependencyModel) dependencyCancelled(id string) bool {
	for _, dependency := range m.dependencies[id] {
		outcome := m.outcome[dependency]
		if outcome == wire.JobCancelled || outcome != wire.JobDone && m.dependencyCancelled(dependency) {
			return true
		}
	}
	return false
}

// ready reports whether all dependencies of a job are done.
func (m *dependencyModel) ready(id string) bool {
	for _, dependency := range m.dependencies[id] {
		if m.outcome[dependency] != wire.JobDone {
			return false
		}
	}
	return true
}

// readFinalRecords applies the final records that a state requests, as far as they exist.
func (m *dependencyModel) readFinalRecords(state *State) {
	for _, id := range state.UnresolvedDependencies() {
		if status, ok := m.final[id]; ok {
			state.PutFinalRecord(id, record.Final{Status: status, TaskCount: 1, EndedAtMs: 9})
		}
	}
}

// submit adds a job that depends on some of the existing jobs.
func (m *dependencyModel) submit(t *rapid.T) {
	id := fmt.Sprintf("run-%d", len(m.ids))
	for _, other := range m.ids {
		if rapid.IntRange(0, 2).Draw(t, "depends") == 0 {
			m.dependencies[id] = append(m.dependencies[id], other)
		}
	}
	m.ids, m.live[id] = append(m.ids, id), true
	m.put(id, func(*record.Job) {})
}

// The steps of the model other than submission, which is step 0.
const (
	stepComplete = iota + 1 // the task completes, but the live record remains for now
	stepFinish              // the task completes and the final record replaces the live one in the same step
	stepCancel
	stepFinalize
	stepReadFinalRecords
	stepCancelDone // cancels a job whose task is done; the job remains done
	stepCount
)

// step changes one job, or reads final records.
func (m *dependencyModel) step(t *rapid.T, step int) {
	id := rapid.SampledFrom(m.ids).Draw(t, "job")
	if m.live[id] {
		m.stepLive(id, step)
	}
	if step == stepReadFinalRecords {
		m.readFinalRecords(m.state)
	}
	m.maybeCancelDependent(t, id)
}

// stepLive changes a live job, if its outcome allows the step.
func (m *dependencyModel) stepLive(id string, step int) {
	taskDone := []record.Task{{State: record.TaskDone, Attempt: 1}}
	undecided := m.outcome[id] == ""
	completes := undecided && m.ready(id)
	switch {
	case step == stepComplete && completes:
		m.outcome[id] = wire.JobDone
		m.put(id, func(job *record.Job) { job.Tasks = taskDone })
	case step == stepFinish && completes:
		m.outcome[id] = wire.JobDone
		m.finalize(id, wire.JobDone)
	case step == stepCancel && undecided:
		m.outcome[id] = wire.JobCancelled
		m.put(id, func(job *record.Job) { job.CancelledAtMs = 7 })
	case step == stepFinalize && !undecided:
		m.finalize(id, m.outcome[id])
	case step == stepCancelDone && m.outcome[id] == wire.JobDone:
		m.put(id, func(job *record.Job) { job.CancelledAtMs, job.Tasks = 7, taskDone })
	}
}

// maybeCancelDependent cancels a job, or leaves that to a later step, if the state reports that one of its dependencies
// is cancelled. The leader cancels such jobs eventually.
func (m *dependencyModel) maybeCancelDependent(t *rapid.T, id string) {
	_, cancelled := m.state.JobsWithCancelledDependency()[id]
	if cancelled && m.live[id] && m.outcome[id] == "" && rapid.Bool().Draw(t, "cancel") {
		m.outcome[id] = wire.JobCancelled
		m.finalize(id, wire.JobCancelled)
	}
}

// checkSafe checks that the state, which may be stale, reports neither a met nor a cancelled dependency that the model
// does not have.
func (m *dependencyModel) checkSafe(t *rapid.T) {
	for _, id := range m.ids {
		if !m.live[id] {
			continue
		}
		job := m.state.Jobs[id]
		if !job.HasUnmetDependencies() && !m.ready(id) {
			t.Fatalf("%s may start before its dependencies are done", id)
		}
		if job.DependencyCancelled && !m.dependencyCancelled(id) {
			t.Fatalf("%s is to be cancelled though none of its dependencies is cancelled", id)
		}
	}
}

// restart returns the state of a restarted node, which is built from the live records alone.
func (m *dependencyModel) restart() *State {
	restarted := New(3, slog.New(slog.DiscardHandler))
	restarted.BeginUpdate()
	for _, id := range m.ids {
		if m.live[id] {
			job := m.state.Jobs[id].Job
			job.Tasks = m.state.Jobs[id].startedTasks(0, 1, nil)
			restarted.Put(record.JobKey(id), wire.MustEncode(job), 1)
		}
	}
	restarted.SetRevision(1)
	restarted.EndUpdate()
	return restarted
}

// checkExact checks that a state, after reading all final records, agrees with the model.
func (m *dependencyModel) checkExact(t *rapid.T, state *State) {
	for _, id := range m.ids {
		if !m.live[id] {
			continue
		}
		job := state.Jobs[id]
		ready, cancelled := m.ready(id), m.dependencyCancelled(id)
		if job.HasUnmetDependencies() == (ready && !cancelled) {
			t.Errorf("%s has unmet dependencies: %v, though all done: %v, one cancelled: %v",
				id, job.HasUnmetDependencies(), ready, cancelled)
		}
		if job.DependencyCancelled != cancelled {
			t.Errorf("%s has a cancelled dependency: %v, want %v", id, job.DependencyCancelled, cancelled)
		}
		if state.OutcomeUndecided(job) != job.DependencyCancelled {
			t.Errorf("%s has an undecided outcome: %v", id, state.OutcomeUndecided(job))
		}
	}
}

// TestDependenciesMatchModel runs random graphs of jobs through submission, completion, cancellation and the deletion
// of live records, with final records that are read late or not at all. It compares which jobs may start and which
// have to be cancelled with a reference model.
func TestDependenciesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newDependencyModel()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			step := rapid.IntRange(0, stepCount-1).Draw(t, "step")
			if step == 0 || len(model.ids) == 0 {
				model.submit(t)
			} else {
				model.step(t, step)
			}
			model.checkSafe(t)
		}
		// Once the jobs stop changing, the states must agree with the model, however long the dependency chains are.
		restarted := model.restart()
		for _, state := range []*State{model.state, restarted} {
			for range len(model.ids) + 1 {
				model.readFinalRecords(state)
			}
			model.checkExact(t, state)
		}
		model.checkNoEntriesLeft(t)
	})
}

// checkNoEntriesLeft deletes all live records and checks that the state has no entry left.
func (m *dependencyModel) checkNoEntriesLeft(t *rapid.T) {
	m.state.BeginUpdate()
	for _, id := range m.ids {
		if m.live[id] {
			m.state.Delete(record.JobKey(id))
		}
	}
	m.state.EndUpdate()
	index := &m.state.dependencies
	kept := len(index.dependentsOf) + len(index.finals) + len(index.unresolved) + len(index.cancelled) +
		len(index.cancelling)
	if kept += len(m.state.Jobs); kept != 0 {
		t.Errorf("%d entries are left after all jobs have ended", kept)
	}
}
