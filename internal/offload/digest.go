package offload

import (
	"cmp"
	"maps"
	"slices"

	"sableusher/internal/clusterstate"
	"sableusher/internal/federation"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Free resources in a digest are rounded down to multiples of these steps, so that machines with similar free
// resources share an entry.
const (
	digestCPUStep      = 4
	digestMemoryStepGB = 16
)

// machineShape holds the properties that all machines of one entry of a digest share.
type machineShape struct {
	machineType, zone string
	spot              bool
	free              record.Resources
}

// machineSummary summarizes the machines that tasks may be bound to.
type machineSummary struct {
	count             int
	countByShape      map[machineShape]int
	countByImage      map[string]int // number of machines that run tasks of the image
	fetchSecondsPerGB float64        // of the machine with the slowest image fetch
}

// digest returns the digest of this cell. Callers hold the lock of the cluster state.
func (o *Offloader) digest() *federation.Digest {
	summary := o.summarizeMachines()
	digest := &federation.Digest{
		FreeCapacities:    federation.LargestCapacities(summary.capacities()),
		Images:            summary.commonImages(),
		FetchSecondsPerGB: summary.fetchSecondsPerGB,
		RemainingTasks:    o.remainingTasks(),
	}
	for _, machineType := range o.clusterState.Catalog.Types {
		digest.BootSeconds = max(digest.BootSeconds, machineType.BootSeconds)
	}
	for rank := range wire.PriorityCount {
		digest.WaitSecondsByRank = append(digest.WaitSecondsByRank, o.expectedWaitSeconds(rank))
	}
	return digest
}

// summarizeMachines summarizes the machines that tasks may be bound to. Callers hold the lock of the cluster
// state.
func (o *Offloader) summarizeMachines() machineSummary {
	summary := machineSummary{countByShape: map[machineShape]int{}, countByImage: map[string]int{}}
	for _, machine := range o.clusterState.Machines {
		machineType, known := o.clusterState.Catalog.Types[machine.Type]
		if known && machine.Up && !machine.Deleting && !machine.Draining {
			summary.add(machine, machineType)
		}
	}
	return summary
}

// add adds a machine to the summary.
func (s *machineSummary) add(machine *clusterstate.Machine, machineType wire.MachineType) {
	s.count++
	if machineType.ImageFetchGBps > 0 {
		s.fetchSecondsPerGB = max(s.fetchSecondsPerGB, 1/machineType.ImageFetchGBps)
	}
	for image := range machine.TasksByImage {
		s.countByImage[image]++
	}
	free := record.Capacity(&machineType).Minus(machine.Used)
	if free.GPUs > 0 || machineType.GPUs == 0 && free.CPUs > 0 {
		s.countByShape[machineShape{
			machineType: machine.Type, zone: machine.Zone, spot: machine.Spot, free: roundedDown(free),
		}]++
	}
}

// roundedDown returns free resources rounded down to the steps of a digest.
func roundedDown(free record.Resources) record.Resources {
	return record.Resources{
		CPUs:     float64(int(free.CPUs/digestCPUStep)) * digestCPUStep,
		GPUs:     float64(int(free.GPUs)),
		MemoryGB: float64(int(free.MemoryGB/digestMemoryStepGB)) * digestMemoryStepGB,
	}
}

// capacities returns the free capacities of the machines, ordered by type, zone and free resources.
func (s *machineSummary) capacities() []federation.FreeCapacity {
	var capacities []federation.FreeCapacity
	for shape, count := range s.countByShape {
		capacities = append(capacities, federation.FreeCapacity{
			Type: shape.machineType, Zone: shape.zone, Spot: shape.spot, Free: shape.free, Count: count,
		})
	}
	slices.SortFunc(capacities, func(a, b federation.FreeCapacity) int {
		return cmp.Or(
			cmp.Compare(a.Type, b.Type),
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Free.GPUs, b.Free.GPUs),
			cmp.Compare(a.Free.CPUs, b.Free.CPUs),
			cmp.Compare(a.Free.MemoryGB, b.Free.MemoryGB),
		)
	})
	return capacities
}

// commonImages returns the images that at least one in tuning.DigestImageHolderDivisor machines holds, which are
// those that it runs tasks of, ordered by name. It returns at most tuning.DigestMaxEntries of them.
func (s *machineSummary) commonImages() []string {
	var common []string
	for _, image := range slices.Sorted(maps.Keys(s.countByImage)) {
		if s.countByImage[image]*tuning.DigestImageHolderDivisor >= s.count && len(common) < tuning.DigestMaxEntries {
			common = append(common, image)
		}
	}
	return common
}

// expectedWaitSeconds returns the expected wait in this cell for a job of a priority rank, if no capacity is free:
// the estimated run time of all pending tasks of this and higher priorities, divided by the number of running tasks
// of these priorities. Services are left out. Callers hold the lock of the cluster state.
func (o *Offloader) expectedWaitSeconds(rank int) float64 {
	waitingSeconds, runningTasks := 0.0, 0.0
	for _, job := range o.clusterState.Jobs {
		if !job.HasRecord || job.Stopping() || job.OffloadedTo != nil {
			continue
		}
		if job.Spec.Priority.Rank() > rank || job.Spec.Kind == wire.KindService {
			continue
		}
		waitingSeconds += float64(job.PendingCount()) * job.Spec.RuntimeEstimateSeconds
		runningTasks += float64(job.BoundCount)
	}
	if waitingSeconds == 0 {
		return 0
	}
	return min(waitingSeconds/max(runningTasks, 1), tuning.DefaultDeadline.Seconds())
}
