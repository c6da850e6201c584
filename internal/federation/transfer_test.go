package federation

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
)

// maxModelStates is the maximum number of states that an exploration visits.
const maxModelStates = 400_000

// scenario limits the events that an exploration of the model considers.
type scenario struct {
	name          string
	losses        [cellCount]int // how often each cell may lose writes
	transfers     int
	uninterrupted bool // the job is neither recalled nor cancelled
}

// Losses of scenarios in which one cell loses writes once.
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

// exploration is the graph of the visited states. States are identified by their index.
type exploration struct {
	states       []model
	indexByKey   map[string]int
	reachedFrom  []arrival
	predecessors [][]int
}

// arrival records the step by which a state was first reached.
type arrival struct {
	from int // index of the previous state; -1 for the first state
	step string
}

// add returns the index of a state, and adds the state if it is new.
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

// trace returns the steps from the first state by which a state was first reached.
func (e *exploration) trace(index int) (steps []string) {
	for ; e.reachedFrom[index].from >= 0; index = e.reachedFrom[index].from {
		steps = append(steps, e.reachedFrom[index].step)
	}
	slices.Reverse(steps)
	return steps
}

// visitAll visits every reachable state. It returns the first violation of a rule with the steps to it, or "" if
// there is none.
func (e *exploration) visitAll(t *testing.T, injected defect) string {
	t.Helper()
	for i := 0; i < len(e.states); i++ {
		next := e.states[i].successors(injected)
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

// findStuck looks for a state from which no sequence of steps reports a result to the user. It returns the steps to
// the first such state, or "" if there is none.
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
		return fmt.Sprintf("no result can be reported to the user: %q", e.trace(i))
	}
	return ""
}

// explore visits every state of a scenario. It returns the number of states and the first violation of a rule,
// which may be a state from which no result can be reported to the user, or "" if there is none.
func (s scenario) explore(t *testing.T, injected defect) (stateCount int, fault string) {
	t.Helper()
	first := newModel(s.losses, s.transfers)
	first.uninterrupted = s.uninterrupted
	e := &exploration{indexByKey: map[string]int{}}
	e.add(t, first, arrival{from: -1})
	fault = e.visitAll(t, injected)
	if fault == "" {
		fault = e.findStuck()
	}
	return len(e.states), fault
}

// TestTransferModel visits every state of two cells that transfer one job. No task may run in both cells, no
// result may be reported before it is true, no task may start after that, and from every state a result can still
// be reported to the user. With CELL_DEEP set it also explores two transfers with a loss of writes. There is no
// scenario in which both cells lose writes, as it has more than 400,000 states.
func TestTransferModel(t *testing.T) {
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

// TestInjectedDefectsAreFound checks that the exploration detects each defect that is injected into the model of the
// protocol.
func TestInjectedDefectsAreFound(t *testing.T) {
	for injected, scenario := range map[defect]scenario{
		homeReclaimsOnSilence:      withoutLoss,
		hostReleasesRunning:        withoutLoss,
		transferNumbersIgnored:     withoutLoss,
		homeStartsBeforeInventory:  homeLosesOnce,
		earlierEpochsAccepted:      homeLosesOnce,
		restoredHostStartsTransfer: hostLosesInterrupted,
		restoredCellIsClean:        hostLosesInterrupted,
		homeIgnoresStatuses:        withoutLoss,
	} {
		stateCount, fault := scenario.explore(t, injected)
		t.Logf("%s: %d states, %s", injected, stateCount, fault)
		if fault == "" {
			t.Errorf("defect not detected in the model: %s, in %d states", injected, stateCount)
		}
	}
}
