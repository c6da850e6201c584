// Package admission says which jobs a deployment can never run.
//
// A user's submission, a compiled graph and a job offered by another cell are all checked here, so
// that each gets the same answer (safety invariant 10). It holds no state and writes nothing; whether a
// job runs now is decided by the scheduler.
package admission

import (
	"slices"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// limitTolerance absorbs rounding when amounts are summed over tasks.
const limitTolerance = 1e-6

// Validate gives the reason why a job can never run, one of the errors of this package; nil if it can.
// While the machine types are not known, none is held against it.
func Validate(spec *wire.JobSpec, teams map[string]config.Team, types map[string]wire.MachineType) error {
	team, ok := teams[spec.Team]
	if !ok {
		return ErrUnknownTeam
	}
	if exceedsTeamLimit(spec, &team) {
		return ErrOverTeamLimit
	}
	if spec.SameZone && spec.Spread && spec.TaskCount > 1 {
		return ErrSameZoneAndSpread
	}
	if len(types) > 0 && !fitsAnyType(spec, types) {
		return ErrNoMachineType
	}
	return nil
}

// exceedsTeamLimit reports whether the tasks that must run at once take more than the team may: one task
// of an array, all tasks of another job.
func exceedsTeamLimit(spec *wire.JobSpec, team *config.Team) bool {
	need := record.TaskResources(spec)
	taskCount := float64(spec.TaskCount)
	if spec.Kind == wire.KindArray {
		taskCount = 1
	}
	return team.CPUsMax > 0 && taskCount*need.CPUs > team.CPUsMax+limitTolerance ||
		team.GPUsMax > 0 && taskCount*need.GPUs > team.GPUsMax+limitTolerance
}

// fitsAnyType reports whether an empty machine of a type and zone that the job allows holds one task.
func fitsAnyType(spec *wire.JobSpec, types map[string]wire.MachineType) bool {
	need := record.TaskResources(spec)
	for name, machineType := range types {
		typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, name)
		zoneAllowed := spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)
		if typeAllowed && zoneAllowed && need.FitsIn(record.Capacity(&machineType)) {
			return true
		}
	}
	return false
}
