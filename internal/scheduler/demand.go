package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// UnplacedGroup is a number of like tasks for which a cycle found no capacity.
type UnplacedGroup struct {
	Spec        *wire.JobSpec
	Count       int
	Zone        string    // where the rest of its tasks have capacity, if they must be together
	Rank        int       // of its priority, or of that of a job that needs it
	SubmittedAt time.Time // or when the job could first start
}

// UnmetDemand is what a cycle could not place, and the capacity it had no use for.
type UnmetDemand struct {
	Groups        []UnplacedGroup
	IdleMachines  []string              // machines, up or booting, that no task uses or waits for
	SpareOnDemand binpack.SpareCapacity // of ordinary machines
	SpareSpot     binpack.SpareCapacity // of spot machines
	ComputedAt    time.Time
	// CommonTask is what a common task needs, if some of that work found no capacity: machines too small
	// for it then keep small tasks off those that are large enough.
	CommonTask record.Resources
}

// demandState is what is kept of the demand between cycles.
type demandState struct {
	// unmet is the last account for the autoscaler. Only the leader's is kept up to date.
	unmet UnmetDemand
	// unplacedSince is since when a job finds no capacity for a task.
	unplacedSince map[string]time.Time
	// lastServiceShortage is when a service last found none.
	lastServiceShortage time.Time
	// needPerGPU is what work on GPUs takes of the rest of a machine for each GPU.
	needPerGPU record.Resources
	// commonTask is what a task of the work that asks for most cores needs; zero where work uses GPUs.
	commonTask   record.Resources
	commonTaskAt time.Time
}

func newDemandState() demandState {
	return demandState{unplacedSince: map[string]time.Time{}}
}

// noteUnplaced notes that a job found no capacity for a task.
func (d *demandState) noteUnplaced(job *clusterstate.Job, now time.Time) {
	if _, ok := d.unplacedSince[job.Spec.ID]; !ok {
		d.unplacedSince[job.Spec.ID] = now
	}
	if job.Spec.Kind == wire.KindService {
		d.lastServiceShortage = now
	}
}

// prune drops what is kept of jobs that are over or have nothing to place.
func (d *demandState) prune(jobs map[string]*clusterstate.Job) {
	maps.DeleteFunc(d.unplacedSince, func(id string, _ time.Time) bool {
		return jobs[id] == nil || jobs[id].PendingCount() == 0
	})
}

// updateNeedPerGPU finds what work on GPUs takes of the rest of a machine for each GPU: the
// most that a gang or a service takes, and what arrays take on average.
func (d *demandState) updateNeedPerGPU(jobs map[string]*clusterstate.Job) {
	var most, arrays record.Resources
	for _, job := range jobs {
		need := record.TaskResources(&job.Spec)
		switch {
		case !job.HasRecord || job.Stopping() || need.GPUs == 0:
		case job.Spec.Kind == wire.KindArray:
			arrays = arrays.Plus(need)
		default:
			most.CPUs = max(most.CPUs, need.CPUs/need.GPUs)
			most.MemoryGB = max(most.MemoryGB, need.MemoryGB/need.GPUs)
		}
	}
	if arrays.GPUs > 0 {
		most.CPUs = max(most.CPUs, arrays.CPUs/arrays.GPUs)
		most.MemoryGB = max(most.MemoryGB, arrays.MemoryGB/arrays.GPUs)
	}
	d.needPerGPU = most
}

// jobCores is what a task of a job needs and the cores of all its unfinished tasks.
type jobCores struct {
	need  record.Resources
	cores float64
}

// updateCommonTask finds what a common task needs: half of all cores that are asked for or in use are
// for tasks of at least that size. It stays for a while when that work is over, as the next is likely
// to be alike.
func (d *demandState) updateCommonTask(jobs map[string]*clusterstate.Job, now time.Time) {
	var list []jobCores
	total := 0.0
	for _, job := range jobs {
		if !job.CanStart() {
			continue
		}
		need := record.TaskResources(&job.Spec)
		if need.GPUs != 0 {
			d.commonTask, d.commonTaskAt = record.Resources{}, now // GPUs are what is scarce here
			return
		}
		cores := need.CPUs * float64(job.Spec.TaskCount-job.DoneCount)
		list = append(list, jobCores{need, cores})
		total += cores
	}
	slices.SortFunc(list, func(a, b jobCores) int {
		return cmp.Or(cmp.Compare(b.need.CPUs, a.need.CPUs), cmp.Compare(b.need.MemoryGB, a.need.MemoryGB))
	})
	sum := 0.0
	for _, job := range list {
		if sum += job.cores; 2*sum < total || total <= 0 {
			continue
		}
		if job.need.CPUs >= d.commonTask.CPUs || now.Sub(d.commonTaskAt) > tuning.CommonTaskHold {
			d.commonTask, d.commonTaskAt = job.need, now
		}
		return
	}
}
