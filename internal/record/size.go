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
	BoundTaskBytes int // upper bound of the size of one bound task in a fixed chunk
	// GroupedTaskBytes is an upper bound of the size of one task in a grouped chunk, in any state and in a group of its
	// own.
	GroupedTaskBytes int
}

// NewSizeLimits returns the limits for records of at most maxBytes, with an allowance for machine names of longestName
// bytes.
func NewSizeLimits(maxBytes, longestName int) SizeLimits {
	return SizeLimits{
		MaxBytes:         maxBytes,
		BoundTaskBytes:   tuning.BoundTaskMaxBytes + max(0, longestName-tuning.BoundTaskNameBytes),
		GroupedTaskBytes: tuning.GroupedTaskMaxBytes + max(0, longestName-tuning.GroupedTaskNameBytes),
	}
}

// ChunkWidth returns the number of tasks that a grouped chunk of a new job should hold, or 0 if no width fits. baseSize
// is the size in bytes of the job's own record without tasks. The width of a gang or a service allows for a different
// machine for each task: the tasks of a gang are bound together, and the replicas of a service don't end. So does that
// of a spread job, each of whose chunks has limits of its own. The width of other arrays assumes that tasks share
// machines. Chunks that are full all the same are replaced by narrower ones (clusterstate.Job.NarrowChunks).
func (l SizeLimits) ChunkWidth(spec *wire.JobSpec, baseSize int) int {
	if spec.Kind == wire.KindArray && !spec.Spread {
		return l.widthFor(spec, baseSize, tuning.BoundTaskTypicalBytes)
	}
	width := l.widthFor(spec, baseSize, l.GroupedTaskBytes)
	if width == 0 && spec.Kind != wire.KindGang {
		return l.widthFor(spec, baseSize, tuning.BoundTaskTypicalBytes)
	}
	return width
}

// MigratedChunkWidth is like ChunkWidth for a job whose fixed chunks are migrated. Its tasks may be bound already, each
// to a different machine, whatever the kind of the job.
func (l SizeLimits) MigratedChunkWidth(spec *wire.JobSpec, baseSize int) int {
	if width := l.widthFor(spec, baseSize, l.GroupedTaskBytes); width > 0 {
		return width
	}
	return l.ChunkWidth(spec, baseSize)
}

// widthFor returns the largest chunk width whose chunks stay within the limits if each task takes taskBytes and its
// failures, or 0 if no width does.
func (l SizeLimits) widthFor(spec *wire.JobSpec, baseSize, taskBytes int) int {
	taskBytes += failureBytesPerTask(spec)
	for width := tuning.FixedChunkTasks; width >= tuning.MinChunkWidth; width /= 2 {
		if baseSize+min(width, spec.TaskCount)*taskBytes <= l.MaxBytes {
			return width
		}
	}
	return 0
}

// GroupedTasksSize returns an upper bound of the size of the given number of tasks in a grouped chunk, in bytes of its
// JSON form.
func (l SizeLimits) GroupedTasksSize(spec *wire.JobSpec, tasks int) int {
	return tasks * (l.GroupedTaskBytes + failureBytesPerTask(spec))
}

// ChunkAlwaysFits reports whether a chunk of the job stays within the limits in every state of its tasks. baseSize is
// the job's EncodedBaseSize.
func (j *Job) ChunkAlwaysFits(chunk, baseSize int, limits SizeLimits) bool {
	if !j.isGrouped(chunk) {
		return limits.FixedChunksFit(&j.Spec, baseSize)
	}
	first, end := j.TaskRange(chunk)
	return j.emptyChunkSize(chunk, baseSize)+limits.GroupedTasksSize(&j.Spec, end-first) <= limits.MaxBytes
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
	size := j.emptyChunkSize(chunk, baseSize)
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

// emptyChunkSize returns the size of a chunk's record without tasks, with an empty list of failures if the job has a
// retry limit.
func (j *Job) emptyChunkSize(chunk, baseSize int) int {
	switch {
	case chunk == 0:
		return baseSize
	case j.Spec.MaxRetries != nil:
		return chunkBytes + failureListBytes
	default:
		return chunkBytes
	}
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
