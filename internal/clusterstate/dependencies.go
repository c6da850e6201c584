package clusterstate

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// A job may depend on others. What became of those is read from their records: a live job shows it by itself,
// a finished one by its final record, which the dependency resolver reads. Done and cancelled are final, so what
// was once seen stands; what was not seen proves nothing.

// dependencyIndex tracks which live jobs depend on which others. The State's lock guards it.
type dependencyIndex struct {
	dependentsOf map[string]map[string]struct{} // live jobs, by the job they depend on
	finals       map[string]record.Final        // final records of the jobs depended on
	unresolved   map[string]struct{}            // jobs depended on that are not live, their final record not read
	cancelled    map[string]struct{}            // live jobs that depend on a cancelled one
}

func newDependencyIndex() dependencyIndex {
	return dependencyIndex{
		dependentsOf: map[string]map[string]struct{}{},
		finals:       map[string]record.Final{},
		unresolved:   map[string]struct{}{},
		cancelled:    map[string]struct{}{},
	}
}

// add enters the dependencies of a new job.
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

// remove takes out the dependencies of a job that is over, and what only it needed.
func (x *dependencyIndex) remove(id string, job *Job) {
	for _, dependency := range job.Spec.Dependencies {
		delete(x.dependentsOf[dependency], id)
		if len(x.dependentsOf[dependency]) == 0 {
			delete(x.dependentsOf, dependency)
			delete(x.finals, dependency)
			delete(x.unresolved, dependency)
		}
	}
	delete(x.cancelled, id)
}

// dependencyOutcome is what is known of a job that another depends on.
type dependencyOutcome int

const (
	dependencyUnknown   dependencyOutcome = iota // not live, its final record not read
	dependencyLive                               // not over
	dependencyMet                                // done
	dependencyCancelled                          // cancelled, or to be cancelled: it is never done
)

// String returns the outcome's name.
func (o dependencyOutcome) String() string {
	return [...]string{"unknown", "live", "met", "cancelled"}[o]
}

// dependencyOutcome returns what is known of a job, and if it is done, when it was.
func (s *State) dependencyOutcome(id string) (outcome dependencyOutcome, atMs int64) {
	if final, over := s.dependencies.finals[id]; over {
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
	case live.Cancelled() || live.DependencyCancelled:
		return dependencyCancelled, 0
	}
	return dependencyLive, 0
}

// addDependencies enters the dependencies of a new job into the index.
func (s *State) addDependencies(id string, job *Job) {
	s.dependencies.add(id, job)
	s.updateDependencies(id)
}

// removeDependencies takes the dependencies of a job that is over out of the index.
func (s *State) removeDependencies(id string, job *Job) { s.dependencies.remove(id, job) }

// updateDependents looks again at the jobs that depend on one of which something changed.
func (s *State) updateDependents(id string) {
	for dependent := range s.dependencies.dependentsOf[id] {
		s.updateDependencies(dependent)
	}
}

// updateDependencies finds out what became of the jobs that one depends on.
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
			s.markDependencyCancelled(id, job)
			return
		case dependencyLive, dependencyUnknown: // nothing to note
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

func (s *State) markDependencyCancelled(id string, job *Job) {
	job.DependencyCancelled, job.DependencyCancelledAt = true, time.Now()
	s.dependencies.cancelled[id] = struct{}{}
	s.updateDependents(id)
}

// HasUnmetDependencies reports whether a job that this one depends on is not known to be done. Every binding
// of a task is subject to it.
func (j *Job) HasUnmetDependencies() bool {
	return len(j.metDependencies) < len(j.Spec.Dependencies) || j.DependencyCancelled
}

// ReadySinceMs is when the job could have started at the earliest: its submission, or the end of the last job
// it depends on.
func (j *Job) ReadySinceMs() int64 { return max(j.SubmittedAtMs, j.DependenciesMetAtMs) }

// ReadySince is ReadySinceMs as a time.
func (j *Job) ReadySince() time.Time { return time.UnixMilli(j.ReadySinceMs()) }

// Dependents returns the live jobs that depend on one. Callers hold the lock, and change nothing.
func (s *State) Dependents(id string) map[string]struct{} { return s.dependencies.dependentsOf[id] }

// DependencyCancelled returns the live jobs that depend on a cancelled one and are to be cancelled with it.
// Callers hold the lock, and change nothing.
func (s *State) DependencyCancelled() map[string]struct{} { return s.dependencies.cancelled }

// OutcomeUndecided reports whether a job may be about to be cancelled with one it depends on: a poll must not
// answer then that it is waiting. Callers hold the lock.
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

// UnresolvedDependencies lists the jobs depended on whose final record is to be read. It takes the lock.
func (s *State) UnresolvedDependencies() []string {
	s.RLock()
	defer s.RUnlock()
	ids := make([]string, 0, len(s.dependencies.unresolved))
	for id := range s.dependencies.unresolved {
		ids = append(ids, id)
	}
	return ids
}

// PutFinalRecord applies the final record of a job that others depend on. It takes the lock.
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
