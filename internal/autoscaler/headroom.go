package autoscaler

import (
	"math"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// arrival is a job that became ready to run within tuning.ArrivalWindow, with the capacity it takes.
type arrival struct {
	arrivedAt     time.Time
	machines      float64 // capacity, in machines of the type that fits it best
	spot          bool
	fillsMachines bool // each of its tasks takes more than tuning.WholeMachineShare of a machine
}

// headroom is the capacity to keep free beyond the allocated capacity, in machines.
type headroom struct {
	onDemand     float64
	idleMachines float64 // the part of onDemand that must be whole machines that no task uses
	spot         float64
}

// headroomTarget returns the headroom to keep free: tuning.HeadroomDeviations standard deviations of the
// capacity that arrives within the longest boot time of a machine, estimated from the arrivals within
// tuning.ArrivalWindow. The on-demand headroom is at least the operator's MinHeadroom. Spot work,
// on-demand work, and on-demand tasks that need a whole machine are counted separately, because none of
// them can rely on the capacity kept for another. Callers hold the state's lock.
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
		return tuning.HeadroomDeviations * math.Sqrt(squares*bootSeconds/tuning.ArrivalWindow.Seconds())
	}
	return headroom{
		onDemand:     max(float64(a.operator.MinHeadroom), deviation(onDemand)),
		idleMachines: deviation(fillsMachines),
		spot:         deviation(spot),
	}
}

// recordArrivals records the jobs that became ready to run within tuning.ArrivalWindow. Callers hold the
// state's lock.
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
			fillsMachines: machines > tuning.WholeMachineShare*float64(job.Spec.TaskCount),
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

// fitsBesideGPUWork reports whether a job uses no GPU although all machine types have GPUs. Such a job
// usually fits next to GPU tasks, so no headroom is kept for it.
func (a *Autoscaler) fitsBesideGPUWork(spec *wire.JobSpec) bool {
	for _, machineType := range a.state.Catalog.Types {
		if machineType.GPUs == 0 {
			return false
		}
	}
	return spec.GPUs == 0
}
