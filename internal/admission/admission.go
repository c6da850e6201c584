// Package admission says which jobs a deployment can never run. A user's submission and a
// graph's compiled task ask here alike, so that both get the same answer.
package admission

import (
	"slices"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Validate says why a job can never run; empty if it can. Where the machine types are
// not known, none speaks against it.
func Validate(spec *wire.JobSpec, teams map[string]config.Team, types map[string]wire.MachineType) string {
	team, ok := teams[spec.Team]
	if !ok {
		return "unknown team"
	}
	need := record.TaskResources(spec)
	taskCount := float64(spec.TaskCount)
	if spec.Kind == wire.KindArray {
		taskCount = 1
	}
	if team.CPUsMax > 0 && taskCount*need.CPUs > team.CPUsMax+1e-6 || team.GPUsMax > 0 && taskCount*need.GPUs > team.GPUsMax+1e-6 {
		return "more than the team's limit"
	}
	if spec.SameZone && spec.Spread && spec.TaskCount > 1 {
		return "one zone and spread exclude each other"
	}
	if len(types) == 0 {
		return ""
	}
	for name, machineType := range types {
		if len(spec.MachineTypes) > 0 && !slices.Contains(spec.MachineTypes, name) || spec.Zone != "" && !slices.Contains(machineType.Zones, spec.Zone) {
			continue
		}
		if need.FitsIn(record.Capacity(&machineType)) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}
