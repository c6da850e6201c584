package quota

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// Limit returns the most that a team's tasks may take; a dimension without a limit is unbounded. It returns
// false for a team without any limit.
func (m *GrantManager) Limit(team string) (record.Resources, bool) {
	settings, ok := m.teams[team]
	if !ok || settings.CPUsMax == 0 && settings.GPUsMax == 0 {
		return record.Resources{}, false
	}
	return unboundedWhereZero(settings.CPUsMax, settings.GPUsMax), true
}

// Guarantee returns what a team need not wait for others within; a dimension without a guarantee is
// unbounded. It returns false for a team without any guarantee.
func (m *GrantManager) Guarantee(team string) (record.Resources, bool) {
	settings, ok := m.teams[team]
	if !ok || settings.CPUs == 0 && settings.GPUs == 0 {
		return record.Resources{}, false
	}
	return unboundedWhereZero(settings.CPUs, settings.GPUs), true
}

// unboundedWhereZero returns an amount of cores and GPUs, where 0 stands for no bound; memory has none.
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

// withoutMemory returns the cores and GPUs of an amount: grants are of those alone.
func withoutMemory(amount record.Resources) record.Resources {
	return record.Resources{CPUs: amount.CPUs, GPUs: amount.GPUs}
}

// least returns the lesser cores and the lesser GPUs of two amounts.
func least(a, b record.Resources) record.Resources {
	return record.Resources{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}

// most returns the greater cores and the greater GPUs of two amounts.
func most(a, b record.Resources) record.Resources {
	return record.Resources{CPUs: max(a.CPUs, b.CPUs), GPUs: max(a.GPUs, b.GPUs)}
}
