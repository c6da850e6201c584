package quota

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// Limit returns the maximum that a team's tasks may use; a dimension without a limit is tuning.MaxAmount. It
// returns false for a team without any limit and for an unknown team.
func (m *GrantManager) Limit(team string) (record.Resources, bool) {
	settings, ok := m.teams[team]
	if !ok || settings.CPUsMax == 0 && settings.GPUsMax == 0 {
		return record.Resources{}, false
	}
	return unboundedWhereZero(settings.CPUsMax, settings.GPUsMax), true
}

// Guarantee returns the usage up to which a team's jobs need not wait for other teams' jobs; a dimension
// without a guarantee is tuning.MaxAmount. It returns false for a team without any guarantee and for an
// unknown team.
func (m *GrantManager) Guarantee(team string) (record.Resources, bool) {
	settings, ok := m.teams[team]
	if !ok || settings.CPUs == 0 && settings.GPUs == 0 {
		return record.Resources{}, false
	}
	return unboundedWhereZero(settings.CPUs, settings.GPUs), true
}

// unboundedWhereZero returns the given cores and GPUs, with tuning.MaxAmount in place of 0. Memory is always
// tuning.MaxAmount.
func unboundedWhereZero(cpus, gpus float64) record.Resources {
	amount := record.Resources{CPUs: cpus, GPUs: gpus, MemoryGB: tuning.MaxAmount}
	if cpus == 0 {
		amount.CPUs = tuning.MaxAmount
	}
	if gpus == 0 {
		amount.GPUs = tuning.MaxAmount
	}
	return amount
}

// withoutMemory returns the cores and GPUs of an amount. Grants do not cover memory.
func withoutMemory(amount record.Resources) record.Resources {
	return record.Resources{CPUs: amount.CPUs, GPUs: amount.GPUs}
}

// minResources returns the minimum of two amounts in cores and in GPUs, without memory.
func minResources(a, b record.Resources) record.Resources {
	return record.Resources{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}

// maxResources returns the maximum of two amounts in cores and in GPUs, without memory.
func maxResources(a, b record.Resources) record.Resources {
	return record.Resources{CPUs: max(a.CPUs, b.CPUs), GPUs: max(a.GPUs, b.GPUs)}
}
