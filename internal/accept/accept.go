// Package accept says which jobs a deployment can never run. A user's submission and a
// graph's compiled task ask here alike, so that both get the same answer.
package accept

import (
	"slices"

	"sableusher/internal/config"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Impossible says why a job can never run; empty if it can. Where the machine types are
// not known, none speaks against it.
func Impossible(s *wire.JobSpec, teams map[string]config.Team, types map[string]wire.MachineType) string {
	team, ok := teams[s.Team]
	if !ok {
		return "unknown team"
	}
	need := world.TaskResources(s)
	n := float64(s.TaskCount)
	if s.Kind == wire.KindArray {
		n = 1
	}
	if team.CPUsMax > 0 && n*need.CPUs > team.CPUsMax+1e-6 || team.GPUsMax > 0 && n*need.GPUs > team.GPUsMax+1e-6 {
		return "more than the team's limit"
	}
	if s.SameZone && s.Spread && s.TaskCount > 1 {
		return "one zone and spread exclude each other"
	}
	if len(types) == 0 {
		return ""
	}
	for name, t := range types {
		if len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, name) || s.Zone != "" && !slices.Contains(t.Zones, s.Zone) {
			continue
		}
		if need.FitsIn(world.Capacity(&t)) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}
