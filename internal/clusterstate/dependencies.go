package clusterstate

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// A job may await others. What became of those is read from their records: a
// live one tells by itself, one that is over by its final record, which the
// resolver reads. Done and cancelled never turn back, so what was once seen
// stands; what was not seen proves nothing.

// addDependencies enters a job's awaited jobs into the index.
func (w *State) addDependencies(id string, j *Job) {
	for _, a := range j.Spec.Dependencies {
		set := w.dependentsOf[a]
		if set == nil {
			set = map[string]struct{}{}
			w.dependentsOf[a] = set
		}
		set[id] = struct{}{}
	}
	w.updateDependencies(id)
}

// removeDependencies takes a job that is over out of the index, and what only it needed.
func (w *State) removeDependencies(id string, j *Job) {
	for _, a := range j.Spec.Dependencies {
		delete(w.dependentsOf[a], id)
		if len(w.dependentsOf[a]) == 0 {
			delete(w.dependentsOf, a)
			delete(w.finalRecords, a)
			delete(w.unresolvedDependencies, a)
		}
	}
	delete(w.dependencyCancelled, id)
}

// updateDependents looks again at the jobs that await one of which something changed.
func (w *State) updateDependents(id string) {
	for waiter := range w.dependentsOf[id] {
		w.updateDependencies(waiter)
	}
}

// updateDependencies finds out what became of the jobs that one awaits.
func (w *State) updateDependencies(id string) {
	j := w.Jobs[id]
	if j == nil || !j.HasRecord || j.DependencyCancelled {
		return
	}
	w.markJobChanged(id)
	for _, a := range j.Spec.Dependencies {
		if _, ok := j.metDependencies[a]; ok {
			continue
		}
		live := w.Jobs[a]
		final, over := w.finalRecords[a]
		switch {
		case over && final.Status == wire.JobDone:
			j.markDependencyMet(a, final.EndedAtMs)
		case !over && live != nil && live.Complete():
			delete(w.unresolvedDependencies, a)
			j.markDependencyMet(a, time.Now().UnixMilli())
		case over, live != nil && live.HasRecord && (live.Cancelled() || live.DependencyCancelled):
			delete(w.unresolvedDependencies, a)
			w.markDependencyCancelled(id, j)
			return
		case live != nil && live.HasRecord:
			delete(w.unresolvedDependencies, a)
		default:
			w.unresolvedDependencies[a] = struct{}{}
		}
	}
}

func (j *Job) markDependencyMet(a string, atMs int64) {
	if j.metDependencies == nil {
		j.metDependencies = map[string]int64{}
	}
	j.metDependencies[a] = atMs
	j.DependenciesMetAtMs = max(j.DependenciesMetAtMs, atMs)
}

func (w *State) markDependencyCancelled(id string, j *Job) {
	j.DependencyCancelled, j.DependencyCancelledAt = true, time.Now()
	w.dependencyCancelled[id] = struct{}{}
	w.updateDependents(id)
}

// HasUnmetDependencies tells whether a job that this one needs is not known to be done. It is
// the one guard that every binding passes.
func (j *Job) HasUnmetDependencies() bool {
	return len(j.metDependencies) < len(j.Spec.Dependencies) || j.DependencyCancelled
}

// ReadySinceMs is when the job could have started at the earliest: its submission, or
// the end of the last job that it awaits.
func (j *Job) ReadySinceMs() int64 { return max(j.SubmittedAtMs, j.DependenciesMetAtMs) }

// ReadySince is SinceMs as a time.
func (j *Job) ReadySince() time.Time { return time.UnixMilli(j.ReadySinceMs()) }

// Dependents gives the live jobs that await one. Callers hold the lock.
func (w *State) Dependents(id string) map[string]struct{} { return w.dependentsOf[id] }

// DependencyCancelled gives the live jobs that fall with one that they need. Callers hold the lock.
func (w *State) DependencyCancelled() map[string]struct{} { return w.dependencyCancelled }

// OutcomeUndecided tells whether a job may be about to fall with another: a poll must
// not call it waiting. Callers hold the lock.
func (w *State) OutcomeUndecided(j *Job) bool {
	if j.DependencyCancelled {
		return true
	}
	for _, a := range j.Spec.Dependencies {
		if _, met := j.metDependencies[a]; !met {
			if _, ok := w.unresolvedDependencies[a]; ok {
				return true
			}
		}
	}
	return false
}

// UnresolvedDependencies lists the awaited jobs whose final record is to be read.
func (w *State) UnresolvedDependencies() []string {
	w.RLock()
	defer w.RUnlock()
	out := make([]string, 0, len(w.unresolvedDependencies))
	for id := range w.unresolvedDependencies {
		out = append(out, id)
	}
	return out
}

// PutFinalRecord takes in the final record of an awaited job.
func (w *State) PutFinalRecord(id string, rec record.Final) {
	w.BeginUpdate()
	defer w.EndUpdate()
	if len(w.dependentsOf[id]) > 0 {
		w.finalRecords[id] = rec
		delete(w.unresolvedDependencies, id)
		w.updateDependents(id)
	}
}
