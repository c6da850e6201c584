package autoscaler

import (
	"math"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// arrival is a job that arrived lately and the capacity it takes.
type arrival struct {
	arrivedAt     time.Time
	machines      float64 // in machines of the type that fits it best
	spot          bool
	fillsMachines bool // each of its tasks takes most of a machine
}

// headroom is the capacity to keep free above what is booked, in machines.
type headroom struct {
	onDemand       float64
	unusedMachines float64 // of these, in machines that nothing uses
	spot           float64
}

// headroomTarget returns what arrives in one boot time more than usually: its standard deviation,
// seen over a window of past arrivals. Work that may use spot machines, work that may not, and
// tasks that take a machine each are counted apart, as none can use the capacity kept for another.
// Callers hold the state's lock.
func (a *Autoscaler) headroomTarget(now time.Time) headroom {
	a.recordArrivals(now)
	var onDemand, fillsMachines, spot float64 // sums of squares
	for jobID, recent := range a.arrivals {
		square := recent.machines * recent.machines
		switch {
		case now.Sub(recent.arrivedAt) > tuning.ArrivalWindow:
			delete(a.arrivals, jobID)
		case recent.spot:
			spot += square
		default:
			onDemand += square
			if recent.fillsMachines {
				fillsMachines += square
			}
		}
	}
	bootSeconds := a.longestBootSeconds()
	deviation := func(squares float64) float64 {
		return tuning.StepDeviations * math.Sqrt(squares*bootSeconds/tuning.ArrivalWindow.Seconds())
	}
	return headroom{
		onDemand:       max(float64(a.operator.PoolStep), deviation(onDemand)),
		unusedMachines: deviation(fillsMachines),
		spot:           deviation(spot),
	}
}

// recordArrivals remembers the jobs that have become ready to run within the window.
func (a *Autoscaler) recordArrivals(now time.Time) {
	for jobID, job := range a.state.Jobs {
		if _, isRecorded := a.arrivals[jobID]; isRecorded || !job.HasRecord || job.HasUnmetDependencies() {
			continue
		}
		arrivedAt := job.ReadySince()
		if now.Sub(arrivedAt) > tuning.ArrivalWindow || a.fitsBesideGPUWork(&job.Spec) {
			continue
		}
		machines := a.machineEquivalents(&job.Spec)
		a.arrivals[jobID] = arrival{
			arrivedAt:     arrivedAt,
			machines:      machines,
			spot:          job.Spec.AllowSpot,
			fillsMachines: machines > tuning.WholeShare*float64(job.Spec.TaskCount),
		}
	}
}

func (a *Autoscaler) longestBootSeconds() float64 {
	longest := 0.0
	for _, machineType := range a.state.Catalog.Types {
		longest = max(longest, machineType.BootSeconds)
	}
	return longest
}

// zoneReserve returns the capacity to keep free in each zone for the loss of another, in machines:
// so much that the configured share of what the zone with the most services holds of them fits in
// the other zones together. While a zone is unavailable nothing is kept: the reserve is there to be
// used. Callers hold the state's lock.
func (a *Autoscaler) zoneReserve() map[string]float64 {
	reserve := map[string]float64{}
	if a.operator.ZoneReserve == 0 || len(a.unavailableZones) > 0 {
		return reserve
	}
	largest := a.largestServiceShare()
	for _, machineType := range a.state.Catalog.Types {
		for _, zone := range machineType.Zones {
			reserve[zone] = largest * a.operator.ZoneReserve
		}
	}
	for zone := range reserve {
		reserve[zone] /= float64(max(len(reserve)-1, 1))
	}
	return reserve
}

// largestServiceShare returns what services that may run in any zone take in the zone with the most
// of them, in machines.
func (a *Autoscaler) largestServiceShare() float64 {
	byZone, largest := map[string]float64{}, 0.0
	for _, machine := range a.state.Machines {
		for _, binding := range machine.Bindings {
			spec := &binding.Job.Spec
			if spec.Kind != wire.KindService || spec.Zone != "" {
				continue
			}
			byZone[machine.Zone] += a.machineEquivalents(spec) / float64(spec.TaskCount)
			largest = max(largest, byZone[machine.Zone])
		}
	}
	return largest
}

// fitsBesideGPUWork reports whether a job uses no GPU though all machines have them: as a rule it
// fits beside other work, and no machine is kept for it.
func (a *Autoscaler) fitsBesideGPUWork(spec *wire.JobSpec) bool {
	for _, machineType := range a.state.Catalog.Types {
		if machineType.GPUs == 0 {
			return false
		}
	}
	return spec.GPUs == 0
}

// machineEquivalents returns what a job takes, in machines of the type of which it takes least.
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

// machineFraction returns the fraction of a machine that a need takes, by the resource of which it
// takes most.
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
