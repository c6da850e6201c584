package scheduler

import (
	"cmp"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// UnplacedGroup is a number of like tasks that found no room.
type UnplacedGroup struct {
	Spec        *wire.JobSpec
	Count       int
	Zone        string    // where the rest of its tasks have room, if they must be together
	Rank        int       // its priority, or that of a job that needs it
	SubmittedAt time.Time // of the job's submission
}

// UnmetDemand is what a round could not place, and what it had no use for.
type UnmetDemand struct {
	Groups        []UnplacedGroup
	IdleMachines  []string              // machines, up or booting, that no task uses or waits for
	SpareOnDemand binpack.SpareCapacity // of ordinary machines
	SpareSpot     binpack.SpareCapacity // of spot machines
	ComputedAt    time.Time
	// CommonTask is what a task of the work that asks for most cores takes, if some of it found no room:
	// small machines, of no use to it, then keep small tasks off those that are.
	CommonTask clusterstate.Resources
}

// updateNeedPerGPU finds what work on GPUs takes of the rest of a machine for each: the
// most that a gang or a service takes, and what arrays take on average.
func (c *cycle) updateNeedPerGPU() {
	var most, arrays clusterstate.Resources
	for _, job := range c.cluster.Jobs {
		need := clusterstate.TaskResources(&job.Spec)
		switch {
		case !job.HasRecord || job.Cancelled() || need.GPUs == 0:
		case job.Spec.Kind == wire.KindArray:
			arrays = arrays.AddTimes(need, 1)
		default:
			most.CPUs, most.MemoryGB = max(most.CPUs, need.CPUs/need.GPUs), max(most.MemoryGB, need.MemoryGB/need.GPUs)
		}
	}
	if arrays.GPUs > 0 {
		most.CPUs, most.MemoryGB = max(most.CPUs, arrays.CPUs/arrays.GPUs), max(most.MemoryGB, arrays.MemoryGB/arrays.GPUs)
	}
	c.needPerGPU = most
}

// updateCommonTask finds what a task of the work that asks for most cores takes: half of all cores that are
// asked for or in use are for tasks of at least that size. It stays for a while when that work
// is over, as the next is likely to be alike.
func (c *cycle) updateCommonTask() {
	type class struct {
		need       clusterstate.Resources
		cumulative float64 // cores of all its tasks
	}
	var sizes []class
	total := 0.0
	for _, job := range c.cluster.Jobs {
		if need := clusterstate.TaskResources(&job.Spec); job.CanStart() && need.GPUs == 0 {
			size := class{need, need.CPUs * float64(job.Spec.TaskCount-job.DoneCount)}
			sizes = append(sizes, size)
			total += size.cumulative
		} else if job.CanStart() {
			c.commonNeed, c.commonNeedAt = clusterstate.Resources{}, c.now // GPUs are what is scarce here
			return
		}
	}
	slices.SortFunc(sizes, func(a, b class) int {
		return cmp.Or(cmp.Compare(b.need.CPUs, a.need.CPUs), cmp.Compare(b.need.MemoryGB, a.need.MemoryGB))
	})
	cumulative := 0.0
	for _, size := range sizes {
		if cumulative += size.cumulative; 2*cumulative >= total && total > 0 {
			if size.need.CPUs >= c.commonNeed.CPUs || c.now.Sub(c.commonNeedAt) > tuning.CommonHold {
				c.commonNeed, c.commonNeedAt = size.need, c.now
			}
			return
		}
	}
}
