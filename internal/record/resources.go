package record

import "sableusher/internal/wire"

// Resources is an amount of the resources that tasks use and machines provide.
type Resources struct {
	CPUs     float64 `cbor:"c"`
	GPUs     float64 `cbor:"g"`
	MemoryGB float64 `cbor:"m,omitempty"`
}

// resourceTolerance is the rounding error allowed in comparisons: amounts are decimal fractions, whose floating-point
// sums are not exact.
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

// TaskResources returns the resources that one task of a job uses.
func TaskResources(spec *wire.JobSpec) Resources {
	return Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// Capacity returns the resources that a machine of the type provides.
func Capacity(machineType *wire.MachineType) Resources {
	return Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}

// TaskPreemptible reports whether one task of a job may be preempted individually. Tasks of services may not, because
// users would notice their loss. Tasks of gangs may not, because a gang can only be stopped as a whole, unless it has a
// single task.
func TaskPreemptible(spec *wire.JobSpec) bool {
	return spec.Kind == wire.KindArray || spec.Kind == wire.KindGang && spec.TaskCount == 1
}
