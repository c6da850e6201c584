package record

import "sableusher/internal/wire"

// Resources is an amount of what tasks take and machines have.
type Resources struct {
	CPUs     float64 `cbor:"c"`
	GPUs     float64 `cbor:"g"`
	MemoryGB float64 `cbor:"m,omitempty"`
}

// resourceTolerance absorbs rounding: amounts are decimal fractions, and their sums are not exact.
const resourceTolerance = 1e-6

// Plus returns r plus other.
func (r Resources) Plus(other Resources) Resources { return r.PlusTimes(other, 1) }

// Minus returns r minus other.
func (r Resources) Minus(other Resources) Resources { return r.PlusTimes(other, -1) }

// PlusTimes returns r plus n times other; n may be negative.
func (r Resources) PlusTimes(other Resources, n float64) Resources {
	return Resources{
		CPUs:     r.CPUs + n*other.CPUs,
		GPUs:     r.GPUs + n*other.GPUs,
		MemoryGB: r.MemoryGB + n*other.MemoryGB,
	}
}

// FitsIn reports whether r is within limit in every dimension.
func (r Resources) FitsIn(limit Resources) bool {
	return r.CPUs <= limit.CPUs+resourceTolerance && r.GPUs <= limit.GPUs+resourceTolerance &&
		r.MemoryGB <= limit.MemoryGB+resourceTolerance
}

// TaskResources is what one task of a job takes.
func TaskResources(spec *wire.JobSpec) Resources {
	return Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// Capacity is what a machine of the type has.
func Capacity(machineType *wire.MachineType) Resources {
	return Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}

// TaskPreemptible reports whether one task of a job may be preempted alone: users would notice the loss of a
// service's task, and a gang stops as a whole or not at all.
func TaskPreemptible(spec *wire.JobSpec) bool {
	return spec.Kind == wire.KindArray || spec.Kind == wire.KindGang && spec.TaskCount == 1
}
