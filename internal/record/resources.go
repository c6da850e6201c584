package record

import (
	"sableusher/internal/wire"
)

// Resources is what tasks take.
type Resources struct {
	CPUs     float64 `cbor:"c"`
	GPUs     float64 `cbor:"g"`
	MemoryGB float64 `cbor:"m,omitempty"`
}

const resourceTolerance = 1e-6

// AddTimes adds n times b.
func (a Resources) AddTimes(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// FitsIn tells whether a fits into b.
func (a Resources) FitsIn(b Resources) bool {
	return a.CPUs <= b.CPUs+resourceTolerance && a.GPUs <= b.GPUs+resourceTolerance && a.MemoryGB <= b.MemoryGB+resourceTolerance
}

// TaskResources is what one task of a job takes.
func TaskResources(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// TaskPreemptible tells whether a task of a job may be stopped alone for another's sake:
// a service's user would notice, and a gang stops as a whole or not at all.
func TaskPreemptible(s *wire.JobSpec) bool {
	return s.Kind == wire.KindArray || s.Kind == wire.KindGang && s.TaskCount == 1
}

// Capacity of a machine type.
func Capacity(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }
