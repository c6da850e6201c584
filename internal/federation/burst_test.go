package federation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sableusher/internal/record"
)

// Parameters of the simulated burst. Each slot of a cell runs one task, and all tasks run equally long.
const (
	simulatedCells = 3
	cellSlots      = 100
	taskSeconds    = 30
	runSeconds     = 600
	digestSeconds  = 3   // interval between digests
	burstBegin     = 120 // second
	burstEnd       = 240 // second
	burstFactor    = 4   // factor of the load of the first cell between burstBegin and burstEnd
	cellLoad       = 0.6 // share of a cell's slots that its load takes outside the burst
)

// simulatedCell is a cell of the simulation.
type simulatedCell struct {
	busy           int         // occupied slots
	arrivalSeconds []int       // of each pending task
	endingAt       map[int]int // running tasks, by the second in which they end
}

// step ends and starts tasks in the given second and returns the waits, in seconds, of those that start.
func (c *simulatedCell) step(second int) (waits []int) {
	c.busy -= c.endingAt[second]
	delete(c.endingAt, second)
	for len(c.arrivalSeconds) > 0 && c.busy < cellSlots {
		waits = append(waits, second-c.arrivalSeconds[0])
		c.arrivalSeconds = c.arrivalSeconds[1:]
		c.busy++
		c.endingAt[second+taskSeconds]++
	}
	return waits
}

// tasks returns the number of tasks that wait or run.
func (c *simulatedCell) tasks() int { return len(c.arrivalSeconds) + c.busy }

func (c *simulatedCell) digest(at time.Time) Digest {
	free, wait := max(cellSlots-c.busy, 0), 0.0
	if free == 0 {
		wait = taskSeconds * (0.5 + float64(len(c.arrivalSeconds))/cellSlots)
	}
	return Digest{
		ReceivedAt:        at,
		FreeCapacities:    []FreeCapacity{{Free: record.Resources{GPUs: 1}, Count: free}},
		WaitSecondsByRank: []float64{wait, wait, wait},
		RemainingTasks:    1 << 20,
	}
}

// burst simulates cells, the first of which gets burstFactor times its load for two minutes.
type burst struct {
	cells    []*simulatedCell
	digests  []Digest // the last one of each cell
	inFlight []int    // tasks offloaded to each cell since its last digest
	now      time.Time
}

// burstResult is the result of a simulation with one way to choose cells.
type burstResult struct {
	meanWaitSeconds float64
	movedTasks      int
}

// chooseIndex returns the index of the cell that runs a task which arrived in the cell with the index from.
type chooseIndex func(b *burst, from int) int

// arrivals draws the number of tasks that arrive in a cell in the given second.
func arrivals(random *rand.Rand, cell, second int) int {
	rate := cellLoad * cellSlots / taskSeconds
	if cell == 0 && second >= burstBegin && second < burstEnd {
		rate *= burstFactor
	}
	count := int(rate)
	if random.Float64() < rate-float64(count) {
		count++
	}
	return count
}

// refreshDigests takes new digests of all cells. They include the tasks that were in flight.
func (b *burst) refreshDigests() {
	for i, cell := range b.cells {
		b.digests[i], b.inFlight[i] = cell.digest(b.now), 0
	}
}

// arrive adds the tasks that arrive in a cell to the queues of the cells that choose selects. It returns the number
// of tasks that moved to another cell.
func (b *burst) arrive(choose chooseIndex, from, count, second int) (moved int) {
	for range count {
		to := choose(b, from)
		if to != from {
			moved++
			b.inFlight[to]++
		}
		b.cells[to].arrivalSeconds = append(b.cells[to].arrivalSeconds, second)
	}
	return moved
}

func simulateBurst(choose chooseIndex) burstResult {
	random := rand.New(rand.NewPCG(4, 9))
	b := &burst{digests: make([]Digest, simulatedCells), inFlight: make([]int, simulatedCells)}
	for range simulatedCells {
		b.cells = append(b.cells, &simulatedCell{endingAt: map[int]int{}})
	}
	var result burstResult
	var waits []int
	for second := range runSeconds {
		b.now = start.Add(time.Duration(second) * time.Second)
		if second%digestSeconds == 0 {
			b.refreshDigests()
		}
		for from := range b.cells {
			result.movedTasks += b.arrive(choose, from, arrivals(random, from, second), second)
		}
		for _, cell := range b.cells {
			waits = append(waits, cell.step(second)...)
		}
	}
	sum := 0
	for _, wait := range waits {
		sum += wait
	}
	result.meanWaitSeconds = float64(sum) / float64(len(waits))
	return result
}

func stayLocal(_ *burst, from int) int { return from }

// chooseByDigest chooses by ChooseCell, with digests that are less than digestSeconds old.
func chooseByDigest(b *burst, from int) int {
	local := b.cells[from].digest(b.now)
	candidate := &OffloadCandidate{
		JobID:            "run-1",
		TaskResources:    record.Resources{GPUs: 1},
		TaskCount:        1,
		LocalWaitSeconds: local.WaitSecondsByRank[0],
	}
	var others []TargetCell
	inFlight := 0
	for i, digest := range b.digests {
		inFlight += b.inFlight[i]
		if i != from {
			others = append(others, TargetCell{
				Name: fmt.Sprint(i), Digest: digest, TransferSeconds: 1, TasksInFlight: b.inFlight[i],
			})
		}
	}
	random := rand.New(rand.NewPCG(uint64(b.now.Unix()), uint64(inFlight)))
	name, ok := ChooseCell(b.now, candidate, others, random)
	if !ok {
		return from
	}
	return int(name[0] - '0')
}

// chooseLeastLoaded chooses the cell with the fewest tasks, by the current load of all cells.
func chooseLeastLoaded(b *burst, from int) int {
	to := from
	for i, cell := range b.cells {
		if cell.tasks() < b.cells[to].tasks() {
			to = i
		}
	}
	return to
}

// TestOffloadingServesABurst simulates a burst of four times the usual load in one of three cells. With offloading
// by digest the mean wait must be at most half of that without offloading, and at most 1.5 times that of a choice
// by the current loads of all cells. It must move at most half as many tasks as a random choice.
func TestOffloadingServesABurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	chooseRandomly := func(*burst, int) int { return random.IntN(simulatedCells) }
	local, byDigest := simulateBurst(stayLocal), simulateBurst(chooseByDigest)
	randomly, leastLoaded := simulateBurst(chooseRandomly), simulateBurst(chooseLeastLoaded)
	t.Logf("mean wait in s: %.1f local, %.1f by digest, %.1f at random, %.1f least loaded",
		local.meanWaitSeconds, byDigest.meanWaitSeconds, randomly.meanWaitSeconds, leastLoaded.meanWaitSeconds)
	t.Logf("tasks moved: %d by digest, %d at random", byDigest.movedTasks, randomly.movedTasks)
	if byDigest.meanWaitSeconds > 0.5*local.meanWaitSeconds {
		t.Errorf("mean wait %.1f s by digest, %.1f s local", byDigest.meanWaitSeconds, local.meanWaitSeconds)
	}
	if byDigest.meanWaitSeconds > 1.5*leastLoaded.meanWaitSeconds {
		t.Errorf("mean wait %.1f s by digest, %.1f s least loaded",
			byDigest.meanWaitSeconds, leastLoaded.meanWaitSeconds)
	}
	if byDigest.movedTasks > randomly.movedTasks/2 {
		t.Errorf("%d tasks moved by digest, %d at random", byDigest.movedTasks, randomly.movedTasks)
	}
}
