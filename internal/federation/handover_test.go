package federation

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
)

// maxModelStates bounds how many states an exploration visits.
const maxModelStates = 400_000

// scenario is what a model may go through.
type scenario struct {
	name          string
	losses        [cellCount]int // how often each cell loses writes
	transfers     int
	uninterrupted bool // nothing is recalled or cancelled
}

// Which cells lose writes once.
var (
	hostLoses = [cellCount]int{hostCell: 1}
	homeLoses = [cellCount]int{homeCell: 1}
)

var (
	withoutLoss          = scenario{name: "two transfers, cancelled and recalled", transfers: 2}
	hostLosesOnce        = scenario{name: "the host loses writes", losses: hostLoses, transfers: 1, uninterrupted: true}
	homeLosesOnce        = scenario{name: "home loses writes", losses: homeLoses, transfers: 1, uninterrupted: true}
	hostLosesInterrupted = scenario{name: "the host loses writes, interrupted", losses: hostLoses, transfers: 1}
	deepScenarios        = []scenario{
		{name: "the host loses writes, two transfers", losses: hostLoses, transfers: 2, uninterrupted: true},
		{name: "home loses writes, two transfers", losses: homeLoses, transfers: 2, uninterrupted: true},
	}
)

// exploration is the graph of the states that were visited.
type exploration struct {
	states       []model
	indexByKey   map[string]int
	reachedFrom  []arrival
	predecessors [][]int
}

// arrival is the step by which a state was first reached.
type arrival struct {
	from int // -1: the first state
	step string
}

// add returns the index of a state; it is added if it is new.
func (e *exploration) add(t *testing.T, state model, by arrival) int {
	t.Helper()
	key := state.key()
	if known, ok := e.indexByKey[key]; ok {
		return known
	}
	if len(e.states) >= maxModelStates {
		t.Fatalf("more than %d states", maxModelStates)
	}
	index := len(e.states)
	e.indexByKey[key] = index
	e.states = append(e.states, state)
	e.reachedFrom = append(e.reachedFrom, by)
	e.predecessors = append(e.predecessors, nil)
	return index
}

// trace lists the steps by which a state was first reached.
func (e *exploration) trace(index int) (steps []string) {
	for ; e.reachedFrom[index].from >= 0; index = e.reachedFrom[index].from {
		steps = append(steps, e.reachedFrom[index].step)
	}
	slices.Reverse(steps)
	return steps
}

// visitAll visits every state that can be reached. It returns the first violation, with the steps to it, or "".
func (e *exploration) visitAll(t *testing.T, planted defect) string {
	t.Helper()
	for i := 0; i < len(e.states); i++ {
		next := e.states[i].successors(planted)
		for _, step := range slices.Sorted(maps.Keys(next)) {
			state := next[step]
			if state.violation != "" {
				return fmt.Sprintf("%s: %q", state.violation, append(e.trace(i), step))
			}
			j := e.add(t, state, arrival{from: i, step: step})
			e.predecessors[j] = append(e.predecessors[j], i)
		}
	}
	return ""
}

// findStuck finds a state from which the user is never told; it returns the steps to it, or "".
func (e *exploration) findStuck() string {
	canReport := make([]bool, len(e.states))
	var queue []int
	for i := range e.states {
		if e.states[i].reported != ResultNone {
			canReport[i] = true
			queue = append(queue, i)
		}
	}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for _, j := range e.predecessors[i] {
			if !canReport[j] {
				canReport[j] = true
				queue = append(queue, j)
			}
		}
	}
	if i := slices.Index(canReport, false); i >= 0 {
		return fmt.Sprintf("the user is never told: %q", e.trace(i))
	}
	return ""
}

// explore visits every state of a scenario. It returns how many there are, and the first violation or a state
// from which the user is never told.
func (s scenario) explore(t *testing.T, planted defect) (stateCount int, fault string) {
	t.Helper()
	first := newModel(s.losses, s.transfers)
	first.uninterrupted = s.uninterrupted
	e := &exploration{indexByKey: map[string]int{}}
	e.add(t, first, arrival{from: -1})
	fault = e.visitAll(t, planted)
	if fault == "" {
		fault = e.findStuck()
	}
	return len(e.states), fault
}

// TestHandOverModel visits every state of two cells and one job: no task runs in both, no end is reported before
// it is so, nothing runs afterwards, and from every state the user can still be told. With CELL_DEEP=1 it also
// takes two transfers with a loss. Both cells losing writes has more than 400,000 states and is not visited to
// the end.
func TestHandOverModel(t *testing.T) {
	scenarios := []scenario{withoutLoss, hostLosesOnce, homeLosesOnce}
	if os.Getenv("CELL_DEEP") != "" {
		scenarios = append(scenarios, deepScenarios...)
	}
	for _, scenario := range scenarios {
		stateCount, fault := scenario.explore(t, noDefect)
		t.Logf("%s: %d states", scenario.name, stateCount)
		if fault != "" {
			t.Errorf("%s: %s", scenario.name, fault)
		}
	}
}

// TestPlantedDefectsAreFound: the model finds the faults that it is there to find.
func TestPlantedDefectsAreFound(t *testing.T) {
	for planted, scenario := range map[defect]scenario{
		homeTakesBackOnSilence:     withoutLoss,
		hostReleasesRunning:        withoutLoss,
		numbersFenceNothing:        withoutLoss,
		homeStartsBeforeInventory:  homeLosesOnce,
		earlierEpochsCount:         homeLosesOnce,
		restoredHostStartsTransfer: hostLosesInterrupted,
		restoredCellIsClean:        hostLosesInterrupted,
		homeIgnoresStatuses:        withoutLoss,
	} {
		stateCount, fault := scenario.explore(t, planted)
		t.Logf("%s: %d states, %s", planted, stateCount, fault)
		if fault == "" {
			t.Errorf("%s: not found in %d states", planted, stateCount)
		}
	}
}
