package federation

import (
	"cmp"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// coresPerGPU is the number of CPU cores that count as much as one GPU when free capacities are compared.
const coresPerGPU = 64

// FreeCapacity describes a group of machines of a cell that have the same type, zone, market and free resources.
// Its fields are encoded by name.
type FreeCapacity struct {
	Type  string
	Zone  string
	Spot  bool
	Free  record.Resources // on each machine
	Count int              // number of machines
}

// weight returns the free resources of all the machines together, in GPUs.
func (c FreeCapacity) weight() float64 {
	return float64(c.Count) * (c.Free.GPUs + c.Free.CPUs/coresPerGPU)
}

// Digest summarizes the load and free capacity of a cell for other cells. It takes a few kB, whatever the size
// of the cell. It is a hint that becomes outdated; the worst effect of a wrong digest is a refused offer.
type Digest struct {
	ReceivedAt        time.Time      `cbor:"-"`           // when this cell received it
	FreeCapacities    []FreeCapacity `cbor:"r,omitempty"` // the largest, up to tuning.DigestMaxEntries
	WaitSecondsByRank []float64      `cbor:"w,omitempty"` // expected wait of jobs that do not fit now, by rank
	Images            []string       `cbor:"i,omitempty"` // those that many machines hold
	FetchSecondsPerGB float64        `cbor:"f"`           // duration of an image fetch, per GB of the image
	BootSeconds       float64        `cbor:"b"`           // from the rental of a machine until it is up
	RemainingTasks    int            `cbor:"g"`           // limit on the tasks that it accepts from now on
}

// LargestCapacities returns the capacities with the most free resources, largest first. It returns at most
// tuning.DigestMaxEntries of them, which bounds the size of a digest. Capacities of equal size keep their order.
func LargestCapacities(capacities []FreeCapacity) []FreeCapacity {
	largest := slices.Clone(capacities)
	slices.SortStableFunc(largest, func(a, b FreeCapacity) int { return -cmp.Compare(a.weight(), b.weight()) })
	return largest[:min(len(largest), tuning.DigestMaxEntries)]
}

// fittingTasks returns how many tasks of the candidate's size fit into the free capacities that the candidate
// may use: into all of them together, or, if it needs a single zone, into those of the zone where most fit.
func (d *Digest) fittingTasks(candidate *OffloadCandidate) int {
	fittingByZone := map[string]int{}
	for _, capacity := range d.FreeCapacities {
		if !candidate.allows(capacity) {
			continue
		}
		zone := ""
		if candidate.SameZone {
			zone = capacity.Zone
		}
		fittingByZone[zone] += capacity.Count * binpack.TasksThatFit(candidate.TaskResources, capacity.Free)
	}
	most := 0
	for _, fitting := range fittingByZone {
		most = max(most, fitting)
	}
	return most
}
