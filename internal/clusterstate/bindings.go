package clusterstate

import "sableusher/internal/record"

// Binding describes a task that is bound to a machine.
type Binding struct {
	Ref     record.TaskRef
	Job     *Job
	Attempt uint64
	Session uint64 // of the agent that was assigned the task
}

// indexChange is the amount by which adding or removing one task changes the counts in the indexes.
type indexChange int

const (
	taskAdded   indexChange = 1
	taskRemoved indexChange = -1
)

// indexTask adds a task to the indexes or removes it from them.
func (s *State) indexTask(job *Job, task record.Task, change indexChange) {
	switch task.State {
	case record.TaskDone:
		job.DoneCount += int(change)
	case record.TaskBound:
		job.BoundCount += int(change)
		s.indexUsage(job, task, change)
		s.indexBinding(job, task, change)
	case record.TaskPending: // pending tasks are not indexed
	}
}

// indexUsage adds a bound task's resources to the usage of the shard they are charged to, or subtracts them. It also
// counts the task in the shard of its machine.
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

// indexBinding adds a bound task to the bindings of its machine or removes it from them. If the machine is unknown,
// the binding is kept in OrphanBindings instead.
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

// indexOrphan adds a binding to OrphanBindings or removes it from them. The machine must not be in Machines.
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
