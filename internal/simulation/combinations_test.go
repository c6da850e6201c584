package simulation

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// faultCombination is one of the operators' page, with the observations that show that it took place.
type faultCombination struct {
	name     string
	day      faultDay
	observed []Observation
}

// faultCombinations are those of the operators' page, in its order.
var faultCombinations = []faultCombination{
	{"controllers hand over and back, all end, one returns",
		faultDay{faults: []Fault{FaultLeaderRestartsAtOnce, FaultAllRestartOneFirst}},
		[]Observation{ObservedLeaderChange}},
	{"a command or its answer is held up",
		faultDay{faults: []Fault{FaultCommandsHeldUp, FaultMachinesHang}},
		nil},
	{"a cancellation, question or retry at the end of the last task",
		faultDay{faults: []Fault{FaultCancelAtCompletion, FaultProbes, FaultSlowStore}},
		[]Observation{ObservedCancelAtCompletion, ObservedProbeAnswered}},
	{"ten leaders in two minutes, inside an outage",
		faultDay{faults: []Fault{FaultTenLeaders, FaultStoreOutage}, rounds: 1},
		[]Observation{ObservedLeaderChange}},
	{"jobs bound to a zone lose machines",
		faultDay{faults: []Fault{FaultMachinesFail}, zoneBound: true},
		nil},
	{"agents that reach no controller",
		faultDay{faults: []Fault{FaultOutboundLost}},
		nil},
	{"jobs of a few tasks end far apart across a change of leader",
		faultDay{faults: []Fault{FaultLeaderRestarts}, longTasks: true},
		[]Observation{ObservedLeaderChange}},
	{"an isolated leader, cancellations through the new one",
		faultDay{faults: []Fault{FaultLeaderIsolated, FaultCancelRunning}},
		[]Observation{ObservedCancelWhileRunning}},
	{"a zone with a controller cut off for longer than a lease",
		faultDay{faults: []Fault{FaultZonePartitioned, FaultCancelRunning}},
		[]Observation{ObservedCancelWhileRunning}},
	{"short jobs, a quarter cancelled",
		faultDay{faults: []Fault{FaultShortJobs}, rounds: 2},
		[]Observation{ObservedShortJob}},
	{"a transaction at once, its answer lost",
		faultDay{faults: []Fault{FaultLostAnswers, FaultProbes}},
		[]Observation{ObservedLostAnswerRead, ObservedProbeAnswered}},
	{"a slow store, the leader refused, then all",
		faultDay{
			faults: []Fault{FaultSlowStore, FaultCancelRunning, FaultProbes, FaultLeaderRefusedThenOutage},
			rounds: 1,
		},
		[]Observation{ObservedCancelWhileRunning}},
	{"machines up within two seconds, late writes, the leader ends",
		faultDay{faults: []Fault{FaultLateWrites, FaultFastBoot, FaultLeaderRestarts}},
		[]Observation{ObservedFastBoot, ObservedLateWrite, ObservedLeaderChange}},
	{"a heartbeat is held back until a new leader has acted",
		faultDay{faults: []Fault{FaultHeartbeatsDuplicated, FaultLeaderRestarts}},
		[]Observation{ObservedHeartbeatCopy, ObservedLeaderChange}},
	{"cancellations as a shard changes its owner",
		faultDay{faults: []Fault{FaultCancelOnOwnerChange, FaultLeaderRestarts}},
		[]Observation{ObservedCancelOnOwnerChange, ObservedCancelWhileRunning}},
	{"questions to all controllers within milliseconds",
		faultDay{faults: []Fault{FaultSlowStore, FaultProbes, FaultInvalidRequests, FaultCancelRunning}},
		[]Observation{ObservedProbeAnswered, ObservedInvalidRequestRefused}},
	{"cancellations as the leader is refused, then an outage",
		faultDay{faults: []Fault{FaultLeaderRefusedCancelOutage}, rounds: 1},
		[]Observation{ObservedCancelWhileRunning}},
	{"an old heartbeat reaches every controller as a leader begins",
		faultDay{faults: []Fault{FaultHeartbeatsReplayed, FaultLeaderRestarts}},
		[]Observation{ObservedCopyBeforeLiveHeartbeat}},
	{"a leader ends, machines with long tasks out of reach",
		faultDay{faults: []Fault{FaultMachinesPartitioned, FaultInboundLost, FaultLeaderRestarts}, longTasks: true},
		[]Observation{ObservedLeaderChange}},
	{"a transaction carried out late",
		faultDay{faults: []Fault{FaultLateWrites}},
		[]Observation{ObservedLateWrite}},
	{"every team at its limit, cancelled machines out of reach, the leader changes",
		faultDay{
			faults: []Fault{
				FaultLeaderRestarts, FaultCancelRunningMachinesHang,
				FaultCancelRunningMachinesPartitioned, FaultLeaderRestarts,
			},
			teamsAtLimit: true,
		},
		[]Observation{ObservedLeaderChangeAtTeamLimit, ObservedCancelWhileRunning}},
	{"all controllers away for longer than a lease",
		faultDay{faults: []Fault{FaultAllControllersAway}, rounds: 1},
		nil},
	{"a team at its limit, machines that can't be asked, a cancellation",
		faultDay{faults: []Fault{FaultInboundLost, FaultLeaderRestarts, FaultCancelRunning}, teamsAtLimit: true},
		[]Observation{ObservedLeaderChangeAtTeamLimit, ObservedCancelWhileRunning}},
	{"more work than capacity, slow links",
		faultDay{faults: []Fault{FaultSlowLinks}, scarceCapacity: true},
		nil},
	{"an old heartbeat after newer ones, of an earlier session",
		faultDay{faults: []Fault{FaultHeartbeatsDuplicated, FaultMachinesHang}},
		[]Observation{ObservedHeartbeatCopy}},
}

// TestFaultCombinations plays each combination of the operators' page on a fixed seed, and shows that it took
// place. MEETING_SEEDS plays more of each, MEETING_EVERY only every so-manieth.
func TestFaultCombinations(t *testing.T) {
	for i, combination := range faultCombinations {
		if i%environmentInt("MEETING_EVERY", 1) != 0 {
			continue
		}
		for k := range environmentInt("MEETING_SEEDS", 1) {
			t.Run(fmt.Sprintf("%d %s, seed %d", i+1, combination.name, k), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := combination.day.simulate(uint64(1000*k + i + 1))
					checkDay(t, r)
					checkObserved(t, r.Checker, combination.observed...)
					t.Logf("%d starts, %v", r.Checker.TaskStarts, r.Checker.Observed)
				})
			})
		}
	}
}

// shuffledFaultPairs gives all pairs of faults in a mixed order, each fault alone among them.
func shuffledFaultPairs() [][]Fault {
	var pairs [][]Fault
	for second := range Fault(combinableFaults) {
		for first := range second {
			pairs = append(pairs, []Fault{first, second})
		}
		pairs = append(pairs, []Fault{second})
	}
	newRandom(1, streamFaultPairs).Shuffle(len(pairs), func(i, k int) { pairs[i], pairs[k] = pairs[k], pairs[i] })
	return pairs
}

// TestFaultPairs plays pairs of faults, each on its own seed, and each fault alone among them. MEETING_DAYS says
// how many (all pairs take as many as the last line says), MEETING_FIRST with which to begin.
func TestFaultPairs(t *testing.T) {
	pairs := shuffledFaultPairs()
	first, days := environmentInt("MEETING_FIRST", 0), environmentInt("MEETING_DAYS", 8)
	for i := first; i < first+days; i++ {
		day := faultDay{faults: pairs[i%len(pairs)]}
		t.Run(fmt.Sprint(i, " ", joinFaults(day.faults)), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkDay(t, day.simulate(uint64(i)+1)) })
		})
	}
	t.Logf("days %d to %d, there are %d pairs", first, first+days-1, len(pairs))
}

func joinFaults(faults []Fault) string {
	names := make([]string, len(faults))
	for i, fault := range faults {
		names[i] = fault.String()
	}
	return strings.Join(names, " and ")
}
