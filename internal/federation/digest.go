package federation

import (
	"cmp"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// coresPerGPU is how many cores weigh as much as one GPU when free capacities are compared.
const coresPerGPU = 64

// FreeCapacity is a number of machines of a cell that are alike and have the same free resources. Its fields
// are encoded by name.
type FreeCapacity struct {
	Type  string
	Zone  string
	Spot  bool
	Free  record.Resources // on each machine
	Count int              // machines
}

// weight is how much is free on all the machines together, in GPUs.
func (c FreeCapacity) weight() float64 {
	return float64(c.Count) * (c.Free.GPUs + c.Free.CPUs/coresPerGPU)
}

// Digest is what a cell reports of itself to the others: a hint that ages, of a few kB whatever the size of
// the cell. A wrong digest costs an offer that is refused.
type Digest struct {
	ReceivedAt        time.Time      `cbor:"-"`           // when it arrived here
	FreeCapacities    []FreeCapacity `cbor:"r,omitempty"` // the largest, up to tuning.DigestMaxShapes
	WaitSecondsByRank []float64      `cbor:"w,omitempty"` // expected wait of jobs without free capacity, by rank
	Images            []string       `cbor:"i,omitempty"` // held on many machines
	FetchSecondsPerGB float64        `cbor:"f"`           // to fetch an image
	BootSeconds       float64        `cbor:"b"`           // until a machine that is rented is up
	RemainingTasks    int            `cbor:"g"`           // tasks of other cells that it accepts at most from now on
}

// LargestCapacities returns the capacities that hold most, at most tuning.DigestMaxShapes of them, so that a
// digest stays within its size. Equal ones keep their order.
func LargestCapacities(capacities []FreeCapacity) []FreeCapacity {
	largest := slices.Clone(capacities)
	slices.SortStableFunc(largest, func(a, b FreeCapacity) int { return -cmp.Compare(a.weight(), b.weight()) })
	return largest[:min(len(largest), tuning.DigestMaxShapes)]
}

// fittingTasks counts the tasks of a job that fit into the free capacities: into all of them together, or into
// those of the zone that takes most if the job needs a single zone.
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
