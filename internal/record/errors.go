package record

import (
	"errors"
	"fmt"
)

// ErrDescriptionTooLarge is returned if a job's own record would exceed the size limit even without tasks.
var ErrDescriptionTooLarge = errors.New(
	"its description, awaits included, takes more than the state service holds in one record")

// IndexRunsError reports that the index runs of a task group have an odd number of values.
type IndexRunsError struct {
	Length int // number of values, which must be even
}

func (e *IndexRunsError) Error() string {
	return fmt.Sprintf("index runs of a task group have %d values, want pairs", e.Length)
}

// IndexRunRangeError reports that a run of task indexes exceeds the limits of a job or of a record.
type IndexRunRangeError struct {
	First     int // index of the run's first task
	Following int // number of further tasks in the run
}

func (e *IndexRunRangeError) Error() string {
	return fmt.Sprintf("index run of task %d and %d following ones is out of range", e.First, e.Following)
}

// LayoutError reports that a job's record describes an invalid layout of chunks.
type LayoutError struct {
	ChunkWidth, FirstFixedChunk, Tasks int
}

func (e *LayoutError) Error() string {
	return fmt.Sprintf("chunk width %d and first fixed chunk %d are no layout of %d tasks",
		e.ChunkWidth, e.FirstFixedChunk, e.Tasks)
}
