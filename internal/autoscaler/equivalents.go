package autoscaler

import (
	"math"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// machineEquivalents returns the capacity that a job takes, in machines of the type of which it takes
// the smallest fraction. It returns 0 if no machine type is known.
func (a *Autoscaler) machineEquivalents(spec *wire.JobSpec) float64 {
	need := record.TaskResources(spec)
	perTask := math.Inf(1)
	for _, machineType := range a.state.Catalog.Types {
		perTask = min(perTask, machineFraction(need, record.Capacity(&machineType)))
	}
	if math.IsInf(perTask, 1) {
		return 0
	}
	return perTask * float64(spec.TaskCount)
}

// machineFraction returns the fraction of a machine that a task takes: the largest fraction over CPUs,
// GPUs and memory.
func machineFraction(need, capacity record.Resources) float64 {
	fraction := 0.0
	for _, resource := range [...]struct{ need, capacity float64 }{
		{need.CPUs, capacity.CPUs},
		{need.GPUs, capacity.GPUs},
		{need.MemoryGB, capacity.MemoryGB},
	} {
		if resource.capacity > 0 {
			fraction = max(fraction, resource.need/resource.capacity)
		}
	}
	return fraction
}
