package record

import (
	"errors"
	"fmt"
)

// ErrDescriptionTooLarge says that a job's own record would exceed the size limit even without tasks.
var ErrDescriptionTooLarge = errors.New(
	"its description, awaits included, takes more than the state service holds in one record")

// IndexRunsError says that the index runs of a task group do not come in pairs.
type IndexRunsError struct {
	Length int // of the list of runs, which must be even
}

func (e *IndexRunsError) Error() string {
	return fmt.Sprintf("index runs of a task group have %d values, want pairs", e.Length)
}

// IndexRunRangeError says that a run of task indexes lies outside the limits of a job or of a record.
type IndexRunRangeError struct {
	First     int // index of the run's first task
	Following int // how many further tasks the run has
}

func (e *IndexRunRangeError) Error() string {
	return fmt.Sprintf("index run of task %d and %d following ones is out of range", e.First, e.Following)
}

// LayoutError says that a job's record describes a layout of chunks that cannot be.
type LayoutError struct {
	ChunkWidth, FirstFixedChunk, Tasks int
}

func (e *LayoutError) Error() string {
	return fmt.Sprintf("chunk width %d and first fixed chunk %d are no layout of %d tasks",
		e.ChunkWidth, e.FirstFixedChunk, e.Tasks)
}
