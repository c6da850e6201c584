package clusterstate

import "sableusher/internal/record"

// Binding is a task bound to a machine.
type Binding struct {
	Ref     record.TaskRef
	Job     *Job
	Attempt uint64
	Session uint64 // of the agent that was to start it
}

// indexChange is the number by which a task changes the counts of the indexes.
type indexChange int

const (
	taskAdded   indexChange = 1
	taskRemoved indexChange = -1
)

// indexTask adds a task to the indexes or removes it.
func (s *State) indexTask(job *Job, task record.Task, change indexChange) {
	switch task.State {
	case record.TaskDone:
		job.DoneCount += int(change)
	case record.TaskBound:
		job.BoundCount += int(change)
		s.indexUsage(job, task, change)
		s.indexBinding(job, task, change)
	case record.TaskPending: // stands in no index
	}
}

// indexUsage counts what a bound task takes, and where.
func (s *State) indexUsage(job *Job, task record.Task, change indexChange) {
	shard := record.ShardOf(task.Machine, s.ShardCount)
	usage := s.UsageByShard[shard]
	if task.ChargedShard > 0 && task.ChargedShard <= s.ShardCount {
		usage = s.UsageByShard[task.ChargedShard-1]
	}
	team := job.Spec.Team
	usage[team] = usage[team].PlusTimes(record.TaskResources(&job.Spec), float64(change))
	if job.BoundByShard == nil {
		job.BoundByShard = make([]int, s.ShardCount)
	}
	job.BoundByShard[shard] += int(change)
}

// indexBinding adds a bound task to its machine or removes it, or to the orphans if the machine is unknown.
func (s *State) indexBinding(job *Job, task record.Task, change indexChange) {
	s.changes.markMachine(task.Machine)
	ref := record.TaskRef{JobID: job.Spec.ID, Index: task.Index}
	binding := Binding{Ref: ref, Job: job, Attempt: task.Attempt, Session: task.Session}
	machine := s.Machines[task.Machine]
	if machine == nil {
		s.indexOrphan(task.Machine, binding, change)
		return
	}
	machine.addUsage(&job.Spec, int(change))
	if change == taskAdded {
		machine.Bindings[ref] = binding
	} else {
		delete(machine.Bindings, ref)
	}
	if len(machine.Bindings) == 0 {
		machine.resetUsage()
	}
}

// indexOrphan adds the binding to a machine that no record knows, or removes it.
func (s *State) indexOrphan(machine string, binding Binding, change indexChange) {
	if change == taskAdded {
		if s.OrphanBindings[machine] == nil {
			s.OrphanBindings[machine] = map[record.TaskRef]Binding{}
		}
		s.OrphanBindings[machine][binding.Ref] = binding
		return
	}
	delete(s.OrphanBindings[machine], binding.Ref)
	if len(s.OrphanBindings[machine]) == 0 {
		delete(s.OrphanBindings, machine)
	}
}
