package admission

import (
	"errors"
	"testing"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

var (
	testTeams = map[string]config.Team{
		"limited":   {Name: "limited", CPUsMax: 16, GPUsMax: 2},
		"unlimited": {Name: "unlimited"},
	}
	testTypes = map[string]wire.MachineType{
		"small": {Name: "small", CPUs: 4, GPUs: 1, MemoryGB: 16, Zones: []string{"east", "west"}},
		"large": {Name: "large", CPUs: 32, GPUs: 4, MemoryGB: 256, Zones: []string{"west"}},
	}
)

// validationCases are jobs by test name, with the error that Validate must return for each.
var validationCases = map[string]struct {
	spec wire.JobSpec
	want error
}{
	"fits": {
		spec: wire.JobSpec{Team: "limited", TaskCount: 1, CPUs: 4, GPUs: 1},
	},
	"unknown team": {
		spec: wire.JobSpec{Team: "nobody", TaskCount: 1, CPUs: 1},
		want: ErrUnknownTeam,
	},
	"array over limit, each task within it": {
		spec: wire.JobSpec{Team: "limited", Kind: wire.KindArray, TaskCount: 100, CPUs: 4},
	},
	"task over limit": {
		spec: wire.JobSpec{Team: "limited", Kind: wire.KindArray, TaskCount: 1, CPUs: 17},
		want: ErrOverTeamLimit,
	},
	"gang over limit": {
		spec: wire.JobSpec{Team: "limited", Kind: wire.KindGang, TaskCount: 3, GPUs: 1},
		want: ErrOverTeamLimit,
	},
	"gang at limit": {
		spec: wire.JobSpec{Team: "limited", Kind: wire.KindGang, TaskCount: 2, GPUs: 1},
	},
	"no limit": {
		spec: wire.JobSpec{Team: "unlimited", Kind: wire.KindGang, TaskCount: 1000, GPUs: 1},
	},
	"same zone and spread": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 2, CPUs: 1, SameZone: true, Spread: true},
		want: ErrSameZoneAndSpread,
	},
	"same zone and spread, one task": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, CPUs: 1, SameZone: true, Spread: true},
	},
	"larger than any type": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, MemoryGB: 300},
		want: ErrNoMachineType,
	},
	"larger than its type": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, CPUs: 8, MachineTypes: []string{"small"}},
		want: ErrNoMachineType,
	},
	"unknown type": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, CPUs: 1, MachineTypes: []string{"none"}},
		want: ErrNoMachineType,
	},
	"type not in its zone": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, CPUs: 8, Zone: "east"},
		want: ErrNoMachineType,
	},
	"type is in its zone": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, CPUs: 8, Zone: "west"},
	},
	"unknown zone": {
		spec: wire.JobSpec{Team: "unlimited", TaskCount: 1, CPUs: 1, Zone: "north"},
		want: ErrNoMachineType,
	},
}

// TestValidate checks that Validate finds each reason why a job can never run, and accepts all other jobs.
func TestValidate(t *testing.T) {
	for name, c := range validationCases {
		t.Run(name, func(t *testing.T) {
			if err := Validate(&c.spec, testTeams, testTypes); !errors.Is(err, c.want) {
				t.Errorf("Validate returned %v, want %v", err, c.want)
			}
		})
	}
}

// TestValidateWithoutTypes checks that no job is rejected for its machine types while the types are unknown.
func TestValidateWithoutTypes(t *testing.T) {
	spec := wire.JobSpec{Team: "unlimited", TaskCount: 1, MemoryGB: 300, Zone: "north"}
	if err := Validate(&spec, testTeams, nil); err != nil {
		t.Error(err)
	}
}
