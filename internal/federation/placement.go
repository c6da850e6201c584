package federation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// FreeCapacity is a number of like machines of a cell with like free room.
type FreeCapacity struct {
	Type  string
	Zone  string
	Spot  bool
	Free  record.Resources // on each
	Count int
}

// Digest is what a cell tells the others of itself: a hint, stamped and aged, of some KB whatever
// the cell's size. A wrong one costs an offer that is refused.
type Digest struct {
	ReceivedAt        time.Time      `cbor:"-"`           // when it arrived here
	FreeCapacities    []FreeCapacity `cbor:"r,omitempty"` // the largest, up to tuning.DigestShapes
	WaitSecondsByRank []float64      `cbor:"w,omitempty"` // by rank, in seconds: how long work without room is expected to wait
	Images            []string       `cbor:"i,omitempty"` // held on many machines
	FetchSecondsPerGB float64        `cbor:"f"`           // seconds for a GB of image
	BootSeconds       float64        `cbor:"b"`           // until a machine that is rented is up, in seconds
	RemainingTasks    int            `cbor:"g"`           // tasks of others that it takes at most beside those it has
}

// LargestCapacities keeps the rooms that hold most, so that a digest stays within its size.
func LargestCapacities(rooms []FreeCapacity) []FreeCapacity {
	sum := func(r FreeCapacity) float64 { return float64(r.Count) * (r.Free.GPUs + r.Free.CPUs/64) }
	out := slices.Clone(rooms)
	slices.SortStableFunc(out, func(a, b FreeCapacity) int { return -cmp.Compare(sum(a), sum(b)) })
	return out[:min(len(out), tuning.DigestShapes)]
}

// OffloadCandidate is a job that could start elsewhere.
type OffloadCandidate struct {
	JobID            string
	TaskResources    record.Resources // of each task
	TaskCount        int
	SameZone         bool     // all in one zone
	MachineTypes     []string // allowed types; none: any
	AllowSpot        bool     // may use spot machines
	PriorityRank     int
	Image            string
	ImageSizeGB      float64
	LocalWaitSeconds float64 // how long until it is expected to start here, in seconds
	OffloadedHere    bool    // came from another cell itself
}

// fittingTasks counts the tasks of a job that a digest's rooms take: all of them together, or in the zone
// that takes most.
func (d *Digest) fittingTasks(w *OffloadCandidate) int {
	zones := map[string]int{}
	for _, r := range d.FreeCapacities {
		if r.Spot && !w.AllowSpot || len(w.MachineTypes) > 0 && !slices.Contains(w.MachineTypes, r.Type) {
			continue
		}
		zone := r.Zone
		if !w.SameZone {
			zone = ""
		}
		zones[zone] += r.Count * binpack.TasksThatFit(w.TaskResources, r.Free)
	}
	most := 0
	for _, n := range zones {
		most = max(most, n)
	}
	return most
}

// TargetCell is a cell that work may be offered to.
type TargetCell struct {
	Name            string
	Digest          Digest
	TransferSeconds float64 // what a transfer there costs, in seconds, by the operators
	TasksInFlight   int     // tasks offered to it and not yet answered
}

// expectedStart gives after how many seconds a job is expected to start in a cell; ok is false if it
// is not to be offered there: no fresh word, no more guests, or too much on its way. Where there is
// no room for all of it now it waits its turn and a boot.
func (c *TargetCell) expectedStart(w *OffloadCandidate, now time.Time) (after float64, ok bool) {
	d := &c.Digest
	if d.ReceivedAt.IsZero() || now.Sub(d.ReceivedAt) > tuning.DigestLife || c.TasksInFlight+w.TaskCount > d.RemainingTasks {
		return 0, false
	}
	after = c.TransferSeconds
	if !slices.Contains(d.Images, w.Image) {
		after += w.ImageSizeGB * d.FetchSecondsPerGB
	}
	room := d.fittingTasks(w) - c.TasksInFlight
	switch {
	case room >= w.TaskCount && float64(c.TasksInFlight+w.TaskCount) <= tuning.SpillFlight*float64(d.fittingTasks(w)):
	case w.PriorityRank >= len(d.WaitSecondsByRank):
		return 0, false
	default:
		after += d.WaitSecondsByRank[w.PriorityRank] + d.BootSeconds
	}
	return after, true
}

// ChooseCell says to which of some cells a job is best offered, if to any: one of two that are drawn,
// so that not all cells that heard the same digest choose the same, if it is expected to
// start there sooner than here by a margin. What came from elsewhere stays: one hop.
func ChooseCell(now time.Time, w *OffloadCandidate, from []TargetCell, rnd *rand.Rand) (to string, ok bool) {
	if w.OffloadedHere {
		return "", false
	}
	margin := max(tuning.SpillLeast.Seconds(), tuning.SpillMargin*w.LocalWaitSeconds)
	list := slices.Clone(from)
	rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	best, tried := 0.0, 0
	for i := range list {
		after, may := list[i].expectedStart(w, now)
		if !may {
			continue
		}
		tried++
		if after+margin <= w.LocalWaitSeconds && (!ok || after < best) {
			to, best, ok = list[i].Name, after, true
		}
		if tried == 2 {
			break
		}
	}
	return to, ok
}
