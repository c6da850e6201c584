package record

import (
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// The store limits the size of a value in its JSON form. The sizes below are in bytes of that form, without the
// digits and names that vary.
const (
	chunkBytes        = 8              // {"k":[]}
	failureListBytes  = len(`,"f":[]`) // beside the tasks
	failurePairBytes  = 4              // two numbers of the list, rather too much
	taskBytes         = 11             // brackets, quotes, commas and the state
	groupBytes        = 14             // as for a task, with the list of index runs
	indexRunItemBytes = 1              // a comma
)

// SizeLimits bounds the records of jobs, in bytes of their JSON form.
type SizeLimits struct {
	MaxBytes       int // of one record
	BoundTaskBytes int // the most that a bound task takes of it
}

// ChunkWidth returns how many tasks a chunk of a job should hold if the job's own record without tasks takes
// baseSize bytes; 0 if no width fits. A gang's tasks are bound together and may each have a machine to
// themselves; an array whose tasks are on so many machines finds some of them waiting.
func (l SizeLimits) ChunkWidth(spec *wire.JobSpec, baseSize int) int {
	bytesPerTask := tuning.BoundTaskTypicalBytes
	if spec.Kind == wire.KindGang {
		bytesPerTask = l.BoundTaskBytes
	}
	bytesPerTask += failureBytesPerTask(spec)
	for width := tuning.FixedChunkTasks; width >= tuning.MinChunkWidth; width /= 2 {
		if baseSize+min(width, spec.TaskCount)*bytesPerTask <= l.MaxBytes {
			return width
		}
	}
	return 0
}

// FixedChunksFit reports whether fixed chunks of a job stay within the limits whatever becomes of its tasks.
func (l SizeLimits) FixedChunksFit(spec *wire.JobSpec, baseSize int) bool {
	bytesPerTask := l.BoundTaskBytes + failureBytesPerTask(spec)
	return baseSize+min(spec.TaskCount, tuning.FixedChunkTasks)*bytesPerTask <= l.MaxBytes
}

// failureBytesPerTask is what a task of a job may take in its record beside its own state.
func failureBytesPerTask(spec *wire.JobSpec) int {
	if spec.MaxRetries == nil {
		return 0
	}
	return tuning.RetryCountMaxBytes
}

// EncodedBaseSize is the most that a job's own record takes without tasks.
func EncodedBaseSize(job Job) int {
	// Fields that are still empty may be set later.
	job.MarkCancelled(job.SubmittedAtMs, true)
	job.PreemptedAttempt = tuning.MaxTasksPerJob
	job.ChunkWidth, job.FirstFixedChunk = tuning.FixedChunkTasks, tuning.MaxTasksPerJob
	job.Tasks, job.Groups, job.Failures = nil, nil, nil
	if job.Spec.MaxRetries != nil {
		job.Failed, job.Failures = true, []int{0, 1}
	}
	return wire.JSONSize(wire.MustEncode(job))
}

// MaxChunkSize returns an upper bound of what a chunk takes with these tasks; baseSize is the job's
// EncodedBaseSize.
func (j *Job) MaxChunkSize(chunk, baseSize int, tasks []Task) int {
	size := chunkBytes
	if j.Spec.MaxRetries != nil {
		size += failureListBytes
	}
	if chunk == 0 {
		size = baseSize
	}
	for _, task := range tasks {
		if task.Failures > 0 {
			size += failurePairBytes + decimalDigits(task.Index) + decimalDigits(task.Failures)
		}
	}
	if j.isGrouped(chunk) {
		return size + groupedSize(tasks)
	}
	return size + fixedSize(tasks)
}

// fixedSize is what tasks take in a fixed chunk.
func fixedSize(tasks []Task) int {
	size := 0
	for _, task := range tasks {
		size += taskBytes + decimalDigits(task.Index) + decimalDigits(int(task.Attempt)) + len(task.Machine) +
			decimalDigits(int(task.Session)) + decimalDigits(task.ChargedShard)
	}
	return size
}

// groupedSize is what tasks take in a grouped chunk.
func groupedSize(tasks []Task) int {
	size := 0
	for _, group := range groupTasks(tasks) {
		size += groupBytes + decimalDigits(int(group.Attempt)) + len(group.Machine) +
			decimalDigits(int(group.Session)) + decimalDigits(group.ChargedShard)
		for _, item := range group.IndexRuns {
			size += indexRunItemBytes + decimalDigits(item)
		}
	}
	return size
}

// decimalDigits is the number of digits of n, which is not negative.
func decimalDigits(n int) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}
