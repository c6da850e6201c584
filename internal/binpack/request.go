package binpack

import (
	"slices"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Request is a request for capacity for the tasks of a job.
type Request struct {
	Spec *wire.JobSpec
	// Need is the resources that each task uses.
	Need record.Resources
	// Remaining is the number of tasks that have not been placed yet in this cycle.
	Remaining int
	// StartWithinS is the objective for the start of a replica: the time in seconds within which it
	// should start. It is 0 if there is no such objective.
	StartWithinS float64
}

// fits reports whether the job may use a machine and one of its tasks fits there.
func (r *Request) fits(info *MachineInfo) bool {
	return r.Need.FitsIn(info.Free) && Eligible(r.Spec, info.Machine)
}

// mayUse reports whether a machine is not reserved, or is reserved for the request's job.
func (r *Request) mayUse(info *MachineInfo) bool {
	return info.ReservedFor == "" || info.ReservedFor == r.Spec.ID
}

// Eligible reports whether a job allows a machine's zone, type and price model (spot or on demand).
// It disregards free capacity.
func Eligible(spec *wire.JobSpec, machine *clusterstate.Machine) bool {
	return (spec.AllowSpot || !machine.Spot) &&
		(spec.Zone == "" || spec.Zone == machine.Zone) &&
		(len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machine.Type))
}

// atLeastAsStrict reports whether every machine that is eligible for a is eligible for b.
func atLeastAsStrict(a, b *wire.JobSpec) bool {
	return (b.AllowSpot || !a.AllowSpot) &&
		(b.Zone == "" || a.Zone == b.Zone) &&
		(len(b.MachineTypes) == 0 || slices.Equal(a.MachineTypes, b.MachineTypes))
}
