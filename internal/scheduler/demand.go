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

// UnplacedGroup is a number of identical tasks of a job for which a cycle found no capacity.
type UnplacedGroup struct {
	Spec  *wire.JobSpec
	Count int
	Zone  string // the zone for the job's tasks, if they must all be in one zone and it is chosen
	// SpreadZones says for a spread job where the tasks may be placed beside the job's other tasks. Those that found
	// capacity in this cycle count too.
	SpreadZones *binpack.ZoneConstraint
	Rank        int       // of the job's priority, or of the higher priority of a job that depends on it
	ReadySince  time.Time // when the job could first start
}

// UnmetDemand describes the tasks that a cycle could not place, and the capacity that it left unused.
type UnmetDemand struct {
	Groups        []UnplacedGroup
	IdleMachines  []string              // machines, up or booting, that have no task and are not planned for any
	SpareOnDemand binpack.SpareCapacity // of on-demand machines
	SpareSpot     binpack.SpareCapacity // of spot machines
	ComputedAt    time.Time
	// CommonTask holds the resources of a common task if tasks of at least that size found no capacity, else zero.
	// While it is set, the autoscaler keeps idle machines that are too small for a common task: small tasks can run
	// there and leave the larger machines free.
	CommonTask record.Resources
}

// demandState is the part of the demand that is kept between cycles.
type demandState struct {
	// unmet is the latest unmet demand for the autoscaler. Only the leader updates it.
	unmet UnmetDemand
	// unplacedSince holds, by job ID, since when a job has found no capacity for one of its tasks.
	unplacedSince map[string]time.Time
	// lastServiceShortage is when a service last found no capacity.
	lastServiceShortage time.Time
	// needPerGPU is the CPUs and memory that GPU tasks need for each GPU.
	needPerGPU record.Resources
	// commonTask holds the resources of a common task, see updateCommonTask. It is zero while any job uses GPUs.
	commonTask   record.Resources
	commonTaskAt time.Time // when commonTask was last set
}

func newDemandState() demandState {
	return demandState{unplacedSince: map[string]time.Time{}}
}

// recordUnplaced records that a job found no capacity for a task.
func (d *demandState) recordUnplaced(job *clusterstate.Job, now time.Time) {
	if _, ok := d.unplacedSince[job.Spec.ID]; !ok {
		d.unplacedSince[job.Spec.ID] = now
	}
	if job.Spec.Kind == wire.KindService {
		d.lastServiceShortage = now
	}
}

// prune drops the entries of jobs that have ended or have no pending task.
func (d *demandState) prune(jobs map[string]*clusterstate.Job) {
	maps.DeleteFunc(d.unplacedSince, func(id string, _ time.Time) bool {
		return jobs[id] == nil || jobs[id].PendingCount() == 0
	})
}

// updateNeedPerGPU computes the CPUs and memory that GPU tasks need for each GPU: the largest need of any gang or
// service, or the mean need of all arrays if that is larger.
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

// jobCores holds the resources of one task of a job, and the cores of all its unfinished tasks together.
type jobCores struct {
	need  record.Resources
	cores float64
}

// updateCommonTask determines the size of a common task: the largest size such that tasks of at least that size have
// half of all cores that are requested or in use. When the work of that size ends, the size is kept for
// tuning.CommonTaskRetention, because later work is likely to be similar.
func (d *demandState) updateCommonTask(jobs map[string]*clusterstate.Job, now time.Time) {
	var list []jobCores
	total := 0.0
	for _, job := range jobs {
		if !job.CanStart() {
			continue
		}
		need := record.TaskResources(&job.Spec)
		if need.GPUs != 0 {
			d.commonTask, d.commonTaskAt = record.Resources{}, now // GPUs are the scarce resource
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
		if job.need.CPUs >= d.commonTask.CPUs || now.Sub(d.commonTaskAt) > tuning.CommonTaskRetention {
			d.commonTask, d.commonTaskAt = job.need, now
		}
		return
	}
}
