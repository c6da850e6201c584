// Package admission rejects jobs that a deployment can never run.
//
// Jobs submitted by users, jobs compiled from a graph and jobs offered by another cell are all checked
// here, so that the same job always gets the same response (safety invariant 10). The package holds no
// state and writes nothing. The scheduler decides when an accepted job runs.
package admission

import (
	"slices"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// limitTolerance, in cores or GPUs, absorbs rounding errors of amounts summed over tasks.
const limitTolerance = 1e-6

// Validate returns the reason why a job can never run, as one of the errors of this package, or nil if
// it can run. If types is empty, the machine types are not known yet, and Validate does not check
// whether a task fits on one of them.
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

// exceedsTeamLimit reports whether the tasks that must run at the same time need more than the team's
// limit. In an array that is a single task; in a job of another kind it is all tasks.
func exceedsTeamLimit(spec *wire.JobSpec, team *config.Team) bool {
	need := record.TaskResources(spec)
	taskCount := float64(spec.TaskCount)
	if spec.Kind == wire.KindArray {
		taskCount = 1
	}
	return team.CPUsMax > 0 && taskCount*need.CPUs > team.CPUsMax+limitTolerance ||
		team.GPUsMax > 0 && taskCount*need.GPUs > team.GPUsMax+limitTolerance
}

// fitsAnyType reports whether one task fits on an empty machine of any type and zone that the job
// allows.
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
