package federation

import (
	"math/rand/v2"
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// cellsCompared is the number of randomly drawn cells from which the best one for a job is chosen.
const cellsCompared = 2

// OffloadCandidate is a job that may be offloaded to another cell.
type OffloadCandidate struct {
	JobID            string
	TaskResources    record.Resources // of each task
	TaskCount        int
	SameZone         bool     // all tasks must run in one zone
	MachineTypes     []string // allowed machine types; any if empty
	AllowSpot        bool     // may run on spot machines
	PriorityRank     int
	Image            string
	ImageSizeGB      float64
	LocalWaitSeconds float64 // expected wait until it starts in this cell
	OffloadedHere    bool    // was offloaded to this cell by another one
}

// allows reports whether the job may run on the machines of a FreeCapacity.
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
	TransferSeconds float64 // expected duration of a transfer to it, set by the operators
	TasksInFlight   int     // tasks offered to it that its digest does not include
}

// expectedStart returns the expected number of seconds until a job starts in the cell. ok is false if the job must
// not be offered to the cell: its digest is too old, it does not accept that many tasks beside those in flight, or
// the job does not fit now and the digest lists no expected wait for its priority. A job that does not fit now as
// a whole is expected to wait as long as others of its priority, and then for a machine to boot.
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

// fitsNow reports whether all tasks of a job fit into the free capacity beside those in flight. The job and the
// tasks in flight may take only tuning.OffloadInFlightShare of that capacity, since other cells read the same
// digest.
func (c *TargetCell) fitsNow(candidate *OffloadCandidate) bool {
	fitting := c.Digest.fittingTasks(candidate)
	inFlight := c.TasksInFlight + candidate.TaskCount
	return inFlight <= fitting && float64(inFlight) <= tuning.OffloadInFlightShare*float64(fitting)
}

// ChooseCell returns the cell that a job should be offered to. It draws two of the suitable cells at random, so
// that cells with the same digests do not all choose the same target, and returns the one in which the job is
// expected to start sooner. ok is false if the job should stay in this cell: in neither is it expected to start
// sooner than here by the margin of tuning.OffloadGainShare and tuning.MinOffloadGain, or it was offloaded to this
// cell by another one.
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
