package clusterstate

import (
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// dependencyModel is a plain model of jobs that depend on others, next to a State that follows their records.
type dependencyModel struct {
	state        *State
	revision     uint64
	ids          []string                 // in the order of submission
	dependencies map[string][]string      // by job
	outcome      map[string]wire.JobState // as the store holds it: "", wire.JobDone or wire.JobCancelled
	live         map[string]bool          // whether the live record is still there
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
	m.state.EndUpdate()
}

// finalize replaces a job's live record by its final one.
func (m *dependencyModel) finalize(id string, status wire.JobState) {
	m.live[id], m.final[id] = false, status
	m.state.BeginUpdate()
	m.state.Delete(record.JobKey(id))
	m.state.EndUpdate()
}

// dependencyCancelled reports whether a job that one depends on, at whatever distance, is cancelled.
func (m *dependencyModel) dependencyCancelled(id string) bool {
	for _, dependency := range m.dependencies[id] {
		outcome := m.outcome[dependency]
		if outcome == wire.JobCancelled || outcome != wire.JobDone && m.dependencyCancelled(dependency) {
			return true
		}
	}
	return false
}

// ready reports whether all jobs that one depends on are done.
func (m *dependencyModel) ready(id string) bool {
	for _, dependency := range m.dependencies[id] {
		if m.outcome[dependency] != wire.JobDone {
			return false
		}
	}
	return true
}

// readFinals gives a state the final records that it asks for.
func (m *dependencyModel) readFinals(state *State) {
	for _, id := range state.UnresolvedDependencies() {
		if status, ok := m.final[id]; ok {
			state.PutFinalRecord(id, record.Final{Status: status, TaskCount: 1, EndedAtMs: 9})
		}
	}
}

// submit adds a job that depends on some of those there are.
func (m *dependencyModel) submit(t *rapid.T) {
	id := fmt.Sprintf("run-%d", len(m.ids))
	for _, other := range m.ids {
		if rapid.IntRange(0, 2).Draw(t, "awaits") == 0 {
			m.dependencies[id] = append(m.dependencies[id], other)
		}
	}
	m.ids, m.live[id] = append(m.ids, id), true
	m.put(id, func(*record.Job) {})
}

// The steps of the model beside submission.
const (
	stepComplete = iota + 1 // the task completes, the live record stays for a while
	stepFinish              // the task completes and the job is over in one step
	stepCancel
	stepFinalize
	stepReadFinals
	stepCancelDone // a job cancelled at its end: it is done all the same
	stepCount
)

// step changes one job, or reads final records.
func (m *dependencyModel) step(t *rapid.T, step int) {
	id := rapid.SampledFrom(m.ids).Draw(t, "job")
	if m.live[id] {
		m.stepLive(id, step)
	}
	if step == stepReadFinals {
		m.readFinals(m.state)
	}
	m.sweep(t, id)
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

// sweep cancels a job, as the leader does sooner or later, if the state says that one it depends on is cancelled.
func (m *dependencyModel) sweep(t *rapid.T, id string) {
	_, cancelled := m.state.DependencyCancelled()[id]
	if cancelled && m.live[id] && m.outcome[id] == "" && rapid.Bool().Draw(t, "sweep") {
		m.outcome[id] = wire.JobCancelled
		m.finalize(id, wire.JobCancelled)
	}
}

// checkSafe checks that the state, which may lag behind, claims nothing that is not so.
func (m *dependencyModel) checkSafe(t *rapid.T) {
	for _, id := range m.ids {
		if !m.live[id] {
			continue
		}
		job := m.state.Jobs[id]
		if !job.HasUnmetDependencies() && !m.ready(id) {
			t.Fatalf("%s may start before what it depends on is done", id)
		}
		if job.DependencyCancelled && !m.dependencyCancelled(id) {
			t.Fatalf("%s is to be cancelled though nothing that it depends on is", id)
		}
	}
}

// restart returns the state of a node that starts from the records alone.
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
	restarted.EndUpdate()
	return restarted
}

// checkExact checks that a state has caught up with the model.
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
			t.Errorf("%s undecided: %v", id, state.OutcomeUndecided(job))
		}
	}
}

// TestDependenciesMatchModel drives graphs of jobs through submission, completion, cancellation and the loss of
// live records, with final records read late or not at all, and compares what may start and what is to be
// cancelled with a plain model.
func TestDependenciesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newDependencyModel()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			step := rapid.IntRange(0, stepCount-1).Draw(t, "what")
			if step == 0 || len(model.ids) == 0 {
				model.submit(t)
			} else {
				model.step(t, step)
			}
			model.checkSafe(t)
		}
		// Nothing more happens: what is known has to catch up, however long the chains.
		restarted := model.restart()
		for _, state := range []*State{model.state, restarted} {
			for range len(model.ids) + 1 {
				model.readFinals(state)
			}
			model.checkExact(t, state)
		}
		model.checkNothingKept(t)
	})
}

// checkNothingKept checks that the end of all jobs leaves no entry behind.
func (m *dependencyModel) checkNothingKept(t *rapid.T) {
	m.state.BeginUpdate()
	for _, id := range m.ids {
		if m.live[id] {
			m.state.Delete(record.JobKey(id))
		}
	}
	m.state.EndUpdate()
	index := &m.state.dependencies
	kept := len(index.dependentsOf) + len(index.finals) + len(index.unresolved) + len(index.cancelled)
	if kept += len(m.state.Jobs); kept != 0 {
		t.Errorf("%d entries are kept of jobs that are over", kept)
	}
}
