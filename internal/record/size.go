package record

import (
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// The store limits the size of a value in its JSON form. These constants are sizes in bytes of that form, excluding
// numbers and names, whose length varies.
const (
	chunkBytes        = 8              // {"k":[]}
	failureListBytes  = len(`,"f":[]`) // the list without its pairs
	failurePairBytes  = 4              // the separators around the two numbers of a pair, rounded up
	taskBytes         = 11             // brackets, quotes, commas and the state of one task
	groupBytes        = 14             // as for a task, with the brackets of the index runs
	indexRunItemBytes = 1              // a comma
)

// SizeLimits holds the size limits of job records, in bytes of their JSON form.
type SizeLimits struct {
	MaxBytes       int // of one record
	BoundTaskBytes int // upper bound of the size of one bound task in a record
}

// ChunkWidth returns the number of tasks that a grouped chunk of a job should hold, or 0 if no width fits. baseSize is
// the size in bytes of the job's own record without tasks. The width of a gang allows for a different machine for each
// task, because its tasks are bound together. The width of an array assumes that tasks share machines; if they are on
// too many machines for the record, some of them have to wait.
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

// FixedChunksFit reports whether fixed chunks of a job stay within the limits in every state of its tasks.
func (l SizeLimits) FixedChunksFit(spec *wire.JobSpec, baseSize int) bool {
	bytesPerTask := l.BoundTaskBytes + failureBytesPerTask(spec)
	return baseSize+min(spec.TaskCount, tuning.FixedChunkTasks)*bytesPerTask <= l.MaxBytes
}

// failureBytesPerTask returns the maximum size of a task's entry in the failure list; 0 for jobs without a retry limit.
func failureBytesPerTask(spec *wire.JobSpec) int {
	if spec.MaxRetries == nil {
		return 0
	}
	return tuning.RetryCountMaxBytes
}

// EncodedBaseSize returns the size of a job's own record without tasks, in bytes of its JSON form. It allows for
// most fields that may be set later; those of an offload count only if they are set already.
func EncodedBaseSize(job Job) int {
	// Set the fields that may be set later. CancelledAtMs takes as much as CancelRequestedAtMs, which it replaces.
	job.MarkCancelled(job.SubmittedAtMs, true)
	job.PreemptedAttempt = tuning.MaxTasksPerJob
	job.ChunkWidth, job.FirstFixedChunk = tuning.FixedChunkTasks, tuning.MaxTasksPerJob
	job.Tasks, job.Groups, job.Failures = nil, nil, nil
	if job.Spec.MaxRetries != nil {
		job.Failed, job.Failures = true, []int{0, 1}
	}
	return wire.JSONSize(wire.MustEncode(job))
}

// MaxChunkSize returns an upper bound of the size of a chunk's record with the given tasks, in bytes of its JSON form.
// baseSize is the job's EncodedBaseSize.
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

// fixedSize returns the size of tasks in a fixed chunk, excluding failures.
func fixedSize(tasks []Task) int {
	size := 0
	for _, task := range tasks {
		size += taskBytes + decimalDigits(task.Index) + decimalDigits(int(task.Attempt)) + len(task.Machine) +
			decimalDigits(int(task.Session)) + decimalDigits(task.ChargedShard)
	}
	return size
}

// groupedSize returns the size of tasks in a grouped chunk, excluding failures.
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

// decimalDigits returns the number of decimal digits of n, which must not be negative.
func decimalDigits(n int) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}
