package federation

import (
	"math/rand/v2"
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// cellsCompared is how many cells are drawn, of which the better one is offered a job.
const cellsCompared = 2

// OffloadCandidate is a job that could start in another cell.
type OffloadCandidate struct {
	JobID            string
	TaskResources    record.Resources // of each task
	TaskCount        int
	SameZone         bool     // all tasks in one zone
	MachineTypes     []string // allowed types; none: any
	AllowSpot        bool     // may use spot machines
	PriorityRank     int
	Image            string
	ImageSizeGB      float64
	LocalWaitSeconds float64 // until it is expected to start here
	OffloadedHere    bool    // came from another cell itself
}

// allows tells whether the job may use machines of a kind.
func (c *OffloadCandidate) allows(capacity FreeCapacity) bool {
	if capacity.Spot && !c.AllowSpot {
		return false
	}
	return len(c.MachineTypes) == 0 || slices.Contains(c.MachineTypes, capacity.Type)
}

// TargetCell is a cell that jobs may be offered to.
type TargetCell struct {
	Name            string
	Digest          Digest
	TransferSeconds float64 // cost of a transfer there, as its operators set it
	TasksInFlight   int     // tasks offered to it since its digest
}

// expectedStart returns after how many seconds a job is expected to start in the cell. ok is false if the job
// is not to be offered there: the digest is too old, the cell accepts no more tasks, or too many are in flight.
// A job that does not fit now as a whole waits for its turn and for a machine to boot.
func (c *TargetCell) expectedStart(candidate *OffloadCandidate, now time.Time) (seconds float64, ok bool) {
	digest := &c.Digest
	expired := digest.ReceivedAt.IsZero() || now.Sub(digest.ReceivedAt) > tuning.DigestMaxAge
	if expired || c.TasksInFlight+candidate.TaskCount > digest.RemainingTasks {
		return 0, false
	}
	seconds = c.TransferSeconds
	if !slices.Contains(digest.Images, candidate.Image) {
		seconds += candidate.ImageSizeGB * digest.FetchSecondsPerGB
	}
	switch {
	case c.fitsNow(candidate):
	case candidate.PriorityRank >= len(digest.WaitSecondsByRank):
		return 0, false
	default:
		seconds += digest.WaitSecondsByRank[candidate.PriorityRank] + digest.BootSeconds
	}
	return seconds, true
}

// fitsNow tells whether all tasks of a job fit beside those in flight, and use only a part of what is free, as
// other cells read the same digest.
func (c *TargetCell) fitsNow(candidate *OffloadCandidate) bool {
	fitting := c.Digest.fittingTasks(candidate)
	inFlight := c.TasksInFlight + candidate.TaskCount
	return inFlight <= fitting && float64(inFlight) <= tuning.OffloadInFlightShare*float64(fitting)
}

// ChooseCell returns the cell that a job is best offered to; ok is false if it should stay. It takes the better
// one of two cells that are drawn with random, so that not all cells with the same digests choose the same one,
// if the job is expected to start there sooner than here by a margin. A job that came from another cell stays.
func ChooseCell(
	now time.Time, candidate *OffloadCandidate, cells []TargetCell, random *rand.Rand,
) (name string, ok bool) {
	if candidate.OffloadedHere {
		return "", false
	}
	margin := max(tuning.MinOffloadGain.Seconds(), tuning.OffloadGainShare*candidate.LocalWaitSeconds)
	drawn := slices.Clone(cells)
	random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	soonest, compared := 0.0, 0
	for i := range drawn {
		seconds, possible := drawn[i].expectedStart(candidate, now)
		if !possible {
			continue
		}
		compared++
		if seconds+margin <= candidate.LocalWaitSeconds && (!ok || seconds < soonest) {
			name, soonest, ok = drawn[i].Name, seconds, true
		}
		if compared == cellsCompared {
			break
		}
	}
	return name, ok
}
