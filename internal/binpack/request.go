package binpack

import (
	"slices"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Request asks for capacity for a job's tasks.
type Request struct {
	Spec *wire.JobSpec
	// Need is what each task takes.
	Need record.Resources
	// Remaining is the number of tasks that have not been placed yet in this cycle.
	Remaining int
	// StartWithinS is the time in seconds within which a replica should start; 0 for no such
	// objective.
	StartWithinS float64
}

// fits reports whether one of the request's tasks fits on a machine that the job may use.
func (r *Request) fits(info *MachineInfo) bool {
	return r.Need.FitsIn(info.Free) && Eligible(r.Spec, info.Machine)
}

// mayUse reports whether a machine is not reserved for another job.
func (r *Request) mayUse(info *MachineInfo) bool {
	return info.ReservedFor == "" || info.ReservedFor == r.Spec.ID
}

// Eligible reports whether a job may use a machine by its zone, type and price, whatever is free
// there.
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
