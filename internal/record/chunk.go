package record

import (
	"slices"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// FixedChunk holds up to tuning.FixedChunkTasks tasks of a job, each one in full. It is the original layout of job
// records.
type FixedChunk struct {
	Tasks    []Task `cbor:"k"`
	Failures []int  `cbor:"f,omitempty"` // as in Job
}

// GroupedChunk holds up to Job.ChunkWidth tasks of a job. Tasks that are equal except for their indexes form one group,
// so that the record stays within a small value limit.
type GroupedChunk struct {
	Groups   []TaskGroup `cbor:"g"`
	Failures []int       `cbor:"f,omitempty"` // as in Job
}

// TaskGroup is a set of tasks that are equal except for their indexes.
type TaskGroup struct {
	_            struct{} `cbor:",toarray"`
	State        TaskState
	Attempt      uint64
	Machine      string
	Session      uint64
	ChargedShard int
	IndexRuns    []int // pairs of a run's first index and the number of further indexes in the run
}

// groupTasks combines tasks that are equal except for their indexes and failures. The tasks must be sorted by index for
// the runs to be as long as possible.
func groupTasks(tasks []Task) []TaskGroup {
	var groups []TaskGroup
	groupOf := map[Task]int{}
	for _, task := range tasks {
		shape := task
		shape.Index, shape.Failures = 0, 0
		g, ok := groupOf[shape]
		if !ok {
			g = len(groups)
			groupOf[shape] = g
			groups = append(groups, TaskGroup{State: task.State, Attempt: task.Attempt, Machine: task.Machine,
				Session: task.Session, ChargedShard: task.ChargedShard})
		}
		groups[g].IndexRuns = appendIndex(groups[g].IndexRuns, task.Index)
	}
	return groups
}

// appendIndex adds the index of a task to runs. It extends the last run if the index follows it directly.
func appendIndex(runs []int, index int) []int {
	if n := len(runs); n > 0 && runs[n-2]+runs[n-1]+1 == index {
		runs[n-1]++
		return runs
	}
	return append(runs, index, 0)
}

// expandGroups returns the tasks of groups. It returns an error if index runs are not in pairs, if a run starts at an
// index that no job can have, or if the groups have more tasks than a record may hold. A corrupt record can therefore
// not exhaust the memory.
func expandGroups(groups []TaskGroup) ([]Task, error) {
	var tasks []Task
	for _, group := range groups {
		if len(group.IndexRuns)%2 != 0 {
			return nil, &IndexRunsError{Length: len(group.IndexRuns)}
		}
		for run := range slices.Chunk(group.IndexRuns, 2) {
			first, following := run[0], run[1]
			if first < 0 || first >= tuning.MaxTasksPerJob || following < 0 ||
				len(tasks)+following >= tuning.FixedChunkTasks {
				return nil, &IndexRunRangeError{First: first, Following: following}
			}
			for i := range following + 1 {
				tasks = append(tasks, Task{Index: first + i, State: group.State, Attempt: group.Attempt,
					Machine: group.Machine, Session: group.Session, ChargedShard: group.ChargedShard})
			}
		}
	}
	return tasks, nil
}

// failurePairs returns the failures of tasks in their stored form, as in Job.Failures.
func failurePairs(tasks []Task) []int {
	var pairs []int
	for _, task := range tasks {
		if task.Failures > 0 {
			pairs = append(pairs, task.Index, task.Failures)
		}
	}
	return pairs
}

// attachFailures sets the failures of tasks in place from the pairs in their record, and returns tasks.
func attachFailures(tasks []Task, pairs []int) []Task {
	if len(pairs) == 0 {
		return tasks
	}
	failures := map[int]int{}
	for pair := range slices.Chunk(pairs, 2) {
		failures[pair[0]] = pair[len(pair)-1]
	}
	for i := range tasks {
		tasks[i].Failures = failures[tasks[i].Index]
	}
	return tasks
}

// DecodeJob decodes a job's own record. The result has all stored tasks of the first chunk in Tasks, including their
// failures; Groups and Failures are empty.
func DecodeJob(value wire.RawValue) (Job, error) {
	var job Job
	if err := wire.Decode(value, &job); err != nil {
		return job, err
	}
	tasks, err := expandGroups(job.Groups)
	if err != nil {
		return job, err
	}
	if !job.validLayout() {
		return job, &LayoutError{job.ChunkWidth, job.FirstFixedChunk, job.Spec.TaskCount}
	}
	job.Tasks = attachFailures(append(job.Tasks, tasks...), job.Failures)
	job.Groups, job.Failures = nil, nil
	return job, nil
}

// DecodeFixedChunk decodes a FixedChunk and returns its tasks.
func DecodeFixedChunk(value wire.RawValue) ([]Task, error) {
	var chunk FixedChunk
	if err := wire.Decode(value, &chunk); err != nil {
		return nil, err
	}
	return attachFailures(chunk.Tasks, chunk.Failures), nil
}

// DecodeGroupedChunk decodes a GroupedChunk and returns its tasks.
func DecodeGroupedChunk(value wire.RawValue) ([]Task, error) {
	var chunk GroupedChunk
	if err := wire.Decode(value, &chunk); err != nil {
		return nil, err
	}
	tasks, err := expandGroups(chunk.Groups)
	if err != nil {
		return nil, err
	}
	return attachFailures(tasks, chunk.Failures), nil
}
