package clusterstate

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// A job may depend on other jobs. Their outcomes are taken from their records: from the live record of a job that has
// one, and otherwise from the final record, which the dependency resolver reads. Only an outcome that no change can
// turn into another is taken (safety invariant 30), so one that was observed once remains valid: that of a final
// record, that all tasks are done, or that the job is cancelled and IsCancellationFinal. A missing record proves
// nothing about the outcome.

// dependencyIndex tracks which live jobs depend on which other jobs. It is guarded by the State's lock.
type dependencyIndex struct {
	dependentsOf map[string]map[string]struct{} // live jobs, by the ID of the job they depend on
	finals       map[string]record.Final        // final records of jobs that others depend on
	unresolved   map[string]struct{}            // dependencies that are not live and whose final record was not read
	cancelled    map[string]struct{}            // live jobs that depend on a cancelled job
	cancelling   map[string]struct{}            // cancelled live jobs that others depend on and that may still be done
}

func newDependencyIndex() dependencyIndex {
	return dependencyIndex{
		dependentsOf: map[string]map[string]struct{}{},
		finals:       map[string]record.Final{},
		unresolved:   map[string]struct{}{},
		cancelled:    map[string]struct{}{},
		cancelling:   map[string]struct{}{},
	}
}

// add adds the dependencies of a new job.
func (x *dependencyIndex) add(id string, job *Job) {
	for _, dependency := range job.Spec.Dependencies {
		dependents := x.dependentsOf[dependency]
		if dependents == nil {
			dependents = map[string]struct{}{}
			x.dependentsOf[dependency] = dependents
		}
		dependents[id] = struct{}{}
	}
}

// remove removes the dependencies of a job that has ended, and the entries that no other job needs.
func (x *dependencyIndex) remove(id string, job *Job) {
	for _, dependency := range job.Spec.Dependencies {
		delete(x.dependentsOf[dependency], id)
		if len(x.dependentsOf[dependency]) == 0 {
			delete(x.dependentsOf, dependency)
			delete(x.finals, dependency)
			delete(x.unresolved, dependency)
			delete(x.cancelling, dependency)
		}
	}
	delete(x.cancelled, id)
}

// dependencyOutcome is the known outcome of a job that another job depends on.
type dependencyOutcome int

const (
	dependencyUnknown   dependencyOutcome = iota // not live, and its final record was not read
	dependencyLive                               // has not ended
	dependencyMet                                // done
	dependencyCancelled                          // it will never be done
)

// String returns the outcome's name.
func (o dependencyOutcome) String() string {
	return [...]string{"unknown", "live", "met", "cancelled"}[o]
}

// dependencyOutcome returns the known outcome of a job. If the job is done, atMs is when it ended according to its
// final record, or the current time while only its live record is known.
func (s *State) dependencyOutcome(id string) (outcome dependencyOutcome, atMs int64) {
	if final, ended := s.dependencies.finals[id]; ended {
		if final.Status == wire.JobDone {
			return dependencyMet, final.EndedAtMs
		}
		return dependencyCancelled, 0
	}
	live := s.Jobs[id]
	switch {
	case live == nil || !live.HasRecord:
		return dependencyUnknown, 0
	case live.Complete():
		return dependencyMet, time.Now().UnixMilli()
	case live.cancellationFinal || live.DependencyCancelled:
		return dependencyCancelled, 0
	case live.Cancelled():
		s.dependencies.cancelling[id] = struct{}{} // settled at the end of a group of changes
	}
	return dependencyLive, 0
}

// addDependencies adds the dependencies of a new job to the index and updates their outcomes.
func (s *State) addDependencies(id string, job *Job) {
	s.dependencies.add(id, job)
	s.updateDependencies(id)
}

// removeDependencies removes the dependencies of a job that has ended from the index.
func (s *State) removeDependencies(id string, job *Job) { s.dependencies.remove(id, job) }

// updateDependents updates the dependency outcomes of all jobs that depend on the given job, which has changed.
func (s *State) updateDependents(id string) {
	for dependent := range s.dependencies.dependentsOf[id] {
		s.updateDependencies(dependent)
	}
}

// updateDependencies updates the outcomes of the jobs that the given job depends on.
func (s *State) updateDependencies(id string) {
	job := s.Jobs[id]
	if job == nil || !job.HasRecord || job.DependencyCancelled {
		return
	}
	s.changes.markJob(id)
	for _, dependency := range job.Spec.Dependencies {
		if _, ok := job.metDependencies[dependency]; ok {
			continue
		}
		outcome, atMs := s.dependencyOutcome(dependency)
		if outcome == dependencyUnknown {
			s.dependencies.unresolved[dependency] = struct{}{}
			continue
		}
		delete(s.dependencies.unresolved, dependency)
		switch outcome {
		case dependencyMet:
			job.markDependencyMet(dependency, atMs)
		case dependencyCancelled:
			s.logDependencyCancelled(id, dependency)
			s.markDependencyCancelled(id, job)
			return
		case dependencyLive, dependencyUnknown: // no final outcome yet
		}
	}
}

func (j *Job) markDependencyMet(dependency string, atMs int64) {
	if j.metDependencies == nil {
		j.metDependencies = map[string]int64{}
	}
	j.metDependencies[dependency] = atMs
	j.DependenciesMetAtMs = max(j.DependenciesMetAtMs, atMs)
}

// logDependencyCancelled logs what the cluster state shows of a dependency at the moment at which it counts as
// cancelled. If mod_revision is above revision, changes of the dependency's other records may be missing.
func (s *State) logDependencyCancelled(id, dependency string) {
	job := s.Jobs[dependency]
	if job == nil || !job.HasRecord {
		s.log.Debug("dependency cancelled", "job_id", id, "dependency", dependency, "ended", true)
		return
	}
	s.log.Debug("dependency cancelled", "job_id", id, "dependency", dependency, "ended", false,
		"mod_revision", job.ModRevision, "revision", s.revision, "count", job.Spec.TaskCount,
		"done", job.DoneCount, "bound", job.BoundCount, "records", job.ChunkCount())
}

func (s *State) markDependencyCancelled(id string, job *Job) {
	job.DependencyCancelled, job.DependencyCancelledAt = true, time.Now()
	s.dependencies.cancelled[id] = struct{}{}
	s.updateDependents(id)
}

// HasUnmetDependencies reports whether any job that this one depends on is not known to be done. No task of the job
// may be bound while it reports true.
func (j *Job) HasUnmetDependencies() bool {
	return len(j.metDependencies) < len(j.Spec.Dependencies) || j.DependencyCancelled
}

// ReadySinceMs returns the earliest time at which the job could have started: its submission, or the end of the last
// job it depends on, whichever is later.
func (j *Job) ReadySinceMs() int64 { return max(j.SubmittedAtMs, j.DependenciesMetAtMs) }

// ReadySince returns ReadySinceMs as a time.Time.
func (j *Job) ReadySince() time.Time { return time.UnixMilli(j.ReadySinceMs()) }

// Dependents returns the live jobs that depend on the given one. The caller must hold the lock and must not modify the
// map.
func (s *State) Dependents(id string) map[string]struct{} { return s.dependencies.dependentsOf[id] }

// JobsWithCancelledDependency returns the live jobs that depend on a cancelled job and therefore have to be cancelled
// too. The caller must hold the lock and must not modify the map.
func (s *State) JobsWithCancelledDependency() map[string]struct{} { return s.dependencies.cancelled }

// OutcomeUndecided reports whether the job is, or may be, about to be cancelled because of a job that it depends on. A
// status request must not be answered with "waiting" in that case. The caller must hold the lock.
func (s *State) OutcomeUndecided(job *Job) bool {
	if job.DependencyCancelled {
		return true
	}
	for _, dependency := range job.Spec.Dependencies {
		if _, met := job.metDependencies[dependency]; met {
			continue
		}
		if _, unresolved := s.dependencies.unresolved[dependency]; unresolved {
			return true
		}
	}
	return false
}

// UnresolvedDependencies returns the IDs of the dependencies whose final record has to be read. It acquires the lock.
func (s *State) UnresolvedDependencies() []string {
	s.RLock()
	defer s.RUnlock()
	ids := make([]string, 0, len(s.dependencies.unresolved))
	for id := range s.dependencies.unresolved {
		ids = append(ids, id)
	}
	return ids
}

// PutFinalRecord applies the final record of a job that others depend on. It acquires the lock.
func (s *State) PutFinalRecord(id string, final record.Final) {
	s.BeginUpdate()
	defer s.EndUpdate()
	if len(s.dependencies.dependentsOf[id]) == 0 {
		return
	}
	s.dependencies.finals[id] = final
	delete(s.dependencies.unresolved, id)
	s.updateDependents(id)
}
