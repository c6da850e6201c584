package clusterstate

// IsCancellationFinal reports whether a live job is cancelled and no change, applied or not, can make it done. Users
// may be told that such a job is cancelled, and its dependents may be cancelled with it.
//
// The mark of a cancellation alone does not decide the outcome: the last task may have completed before, in a change of
// another record of the job, or with the mark in one transaction. Every change of a task has the job's own record as a
// condition, and a node that has read the mark records no task as done. So no task becomes done after the mark, and the
// outcome is known once every change up to the mark has been applied. If the job is offloaded, its outcome is that in
// the other cell. With CancelAfterRelease, no task may be bound either: a node on the other side of a network partition
// may still be renewing its lease.
//
// The caller must hold the lock. Within a group of changes, the result holds only at its end.
func (s *State) IsCancellationFinal(job *Job) bool {
	released := !job.CancelAfterRelease || job.BoundCount == 0
	return job.Cancelled() && !job.Complete() && released && job.OffloadedTo == nil &&
		s.HasAppliedRevision(job.ModRevision)
}

// settleCancellations updates the dependents of the jobs whose cancellation has become final. It is called at the end
// of each group of changes.
func (s *State) settleCancellations() {
	for id := range s.dependencies.cancelling {
		job := s.Jobs[id]
		if job != nil && job.HasRecord && s.IsCancellationFinal(job) {
			job.cancellationFinal = true
			s.updateDependents(id)
		}
		if job == nil || !job.HasRecord || !job.Cancelled() || job.Complete() || job.cancellationFinal {
			delete(s.dependencies.cancelling, id)
		}
	}
}
