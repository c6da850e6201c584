package simulation

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// checkedJob is the ID of the job that the checker's tests use.
const checkedJob = "run-1"

// onMachine returns a placement on an on-demand machine of a large type.
func onMachine(name, zone string) Placement {
	return Placement{Machine: name, MachineType: typeLarge, Zone: zone}
}

// onSpotMachine returns a placement on a spot machine of a large type.
func onSpotMachine(name, zone string) Placement {
	return Placement{Machine: name, MachineType: typeLarge, Zone: zone, Spot: true}
}

func freeGPUs(placement Placement, gpus float64) FreeCapacity {
	return FreeCapacity{placement, record.Resources{GPUs: gpus}}
}

// taskOf returns a task of the checked job.
func taskOf(index int) record.TaskRef {
	return record.TaskRef{JobID: checkedJob, Index: index}
}

// newChecker returns a checker that has recorded the submission of a job.
func newChecker(spec wire.JobSpec) *InvariantChecker {
	checker := NewInvariantChecker(testSettings(0))
	checker.JobSubmitted(spec)
	return checker
}

// waitWithFreeCapacity lets the job wait for two minutes after the end of all faults, with free capacity on some
// machines.
func waitWithFreeCapacity(checker *InvariantChecker, capacities ...FreeCapacity) {
	checker.ResponseReceived(checkedJob, http.StatusCreated, wire.JobPending)
	checker.FaultsEnded()
	for range 120 {
		time.Sleep(time.Second)
		checker.CheckStartableJobs(capacities)
	}
}

// TestCheckerAllowsJustifiedWaiting checks that a pending job violates no rule if none of the free capacity is suitable
// for it.
func TestCheckerAllowsJustifiedWaiting(t *testing.T) {
	asGang := func(spec *wire.JobSpec, tasks int) { spec.Kind, spec.TaskCount = wire.KindGang, tasks }
	east, west := onMachine("a", zoneEast), onMachine("a", zoneWest)
	for _, c := range []struct {
		name       string
		change     func(*wire.JobSpec)
		capacities []FreeCapacity
	}{
		{"no capacity", func(*wire.JobSpec) {}, []FreeCapacity{freeGPUs(east, 0)}},
		{"spot", func(*wire.JobSpec) {}, []FreeCapacity{freeGPUs(onSpotMachine("a", zoneEast), 1)}},
		{"another zone", func(s *wire.JobSpec) { s.Zone = zoneWest }, []FreeCapacity{freeGPUs(east, 1)}},
		{"another type", func(s *wire.JobSpec) { s.MachineTypes = []string{"small"} },
			[]FreeCapacity{freeGPUs(east, 1)}},
		{"spread", func(s *wire.JobSpec) { asGang(s, 4); s.Spread = true }, []FreeCapacity{freeGPUs(east, 4)}},
		{"zones apart", func(s *wire.JobSpec) { asGang(s, 2); s.SameZone = true },
			[]FreeCapacity{freeGPUs(east, 1), freeGPUs(west, 1)}},
		{"over its limit", func(s *wire.JobSpec) { s.GPUs = 7 }, []FreeCapacity{freeGPUs(east, 8)}},
		{"half of the gang", func(s *wire.JobSpec) { asGang(s, 4) }, []FreeCapacity{freeGPUs(east, 3)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spec := wire.JobSpec{ID: checkedJob, Team: "bound", Kind: wire.KindArray, TaskCount: 2, GPUs: 1}
				c.change(&spec)
				checker := newChecker(spec)
				if waitWithFreeCapacity(checker, c.capacities...); len(checker.Violations) > 0 {
					t.Errorf("%v", checker.Violations)
				}
			})
		})
	}
}

// defect is a minimal sequence of events that violates a rule.
type defect struct {
	rule    Rule
	name    string
	change  func(*wire.JobSpec) // changes the job; nil: no change
	perform func(*InvariantChecker)
}

// TestCheckerDetectsEachViolation checks that the checker reports minimal defects, each of which violates one rule: a
// checker that can't fail would prove nothing.
func TestCheckerDetectsEachViolation(t *testing.T) {
	for _, defects := range [][]defect{
		placementDefects(), cancellationDefects(), responseDefects(),
		unansweredDefects(), waitingDefects(), shareDefects(),
	} {
		for _, d := range defects {
			t.Run(d.rule.String()+" "+d.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					spec := wire.JobSpec{ID: checkedJob, Team: "bound", Kind: wire.KindArray, TaskCount: 8, GPUs: 1}
					if d.change != nil {
						d.change(&spec)
					}
					checker := newChecker(spec)
					d.perform(checker)
					if len(checker.Violations) == 0 || checker.Violations[0].Rule != d.rule {
						t.Errorf("want %s, got %v", d.rule, checker.Violations)
					}
				})
			})
		}
	}
}

// startTasksOn returns a function that starts the job's tasks on machines, one on each, in order.
func startTasksOn(placements ...Placement) func(*InvariantChecker) {
	return func(checker *InvariantChecker) {
		for i, placement := range placements {
			checker.TaskStarted(taskOf(i), placement)
		}
	}
}

func placementDefects() []defect {
	east := onMachine("a", zoneEast)
	dependsOnOther := func(s *wire.JobSpec) { s.Dependencies = []string{"run-0"} }
	return []defect{
		{RuleRanTwice, "two machines", nil, func(checker *InvariantChecker) {
			checker.TaskStarted(taskOf(0), east)
			checker.TaskStarted(taskOf(0), onMachine("b", zoneEast))
		}},
		{RuleTeamLimit, "seven of six", nil, startTasksOn(east, east, east, east, east, east, east)},
		{RuleWrongPlace, "spot", nil, startTasksOn(onSpotMachine("a", zoneEast))},
		{RuleWrongPlace, "zone", func(s *wire.JobSpec) { s.Zone = zoneWest }, startTasksOn(east)},
		{RuleWrongPlace, "type", func(s *wire.JobSpec) { s.MachineTypes = []string{"small"} }, startTasksOn(east)},
		{RuleWrongPlace, "two zones", func(s *wire.JobSpec) { s.SameZone = true },
			startTasksOn(east, onMachine("b", zoneWest))},
		{RuleWrongPlace, "not spread", func(s *wire.JobSpec) { s.Spread, s.TaskCount = true, 2 },
			startTasksOn(east, onMachine("b", zoneEast))},
		{RuleStartedBeforeDependency, "before its dependency", dependsOnOther, func(checker *InvariantChecker) {
			checker.JobSubmitted(wire.JobSpec{ID: "run-0", Team: "open", Kind: wire.KindArray, TaskCount: 1})
			checker.TaskStarted(taskOf(0), east)
		}},
	}
}

// confirmCancellation lets a user cancel a job and receive the confirmation.
func confirmCancellation(checker *InvariantChecker, jobID string) {
	checker.CancelRequested(jobID)
	checker.ResponseReceived(jobID, http.StatusOK, wire.JobCancelled)
}

func cancellationDefects() []defect {
	east := onMachine("a", zoneEast)
	dependsOnOther := func(s *wire.JobSpec) { s.Dependencies = []string{"run-0"} }
	return []defect{
		{RuleRanAfterCancellation, "late", nil, func(checker *InvariantChecker) {
			checker.TaskStarted(taskOf(0), east)
			confirmCancellation(checker, checkedJob)
			time.Sleep(45 * time.Second)
			checker.CheckDeadlines()
		}},
		{RuleRanAfterCancellation, "started after it was confirmed", nil, func(checker *InvariantChecker) {
			confirmCancellation(checker, checkedJob)
			checker.TaskStarted(taskOf(0), east)
		}},
		{RuleOutlivedCancelledDependency, "through another", dependsOnOther, func(checker *InvariantChecker) {
			other := wire.JobSpec{ID: "run-00", Team: "open", Kind: wire.KindArray, TaskCount: 1}
			checker.JobSubmitted(other)
			other.ID, other.Dependencies = "run-0", []string{"run-00"}
			checker.JobSubmitted(other)
			confirmCancellation(checker, "run-00")
			time.Sleep(45 * time.Second)
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobPending)
		}},
	}
}

// submitDoneDependency submits run-0, whose only task completes.
func submitDoneDependency(checker *InvariantChecker) {
	checker.JobSubmitted(wire.JobSpec{ID: "run-0", Team: "open", Kind: wire.KindArray, TaskCount: 1})
	checker.TaskCompleted(record.TaskRef{JobID: "run-0", Index: 0})
}

func responseDefects() []defect {
	dependsOnOther := func(s *wire.JobSpec) { s.Dependencies = []string{"run-0"} }
	oneTask := func(s *wire.JobSpec) { s.TaskCount = 1 }
	return []defect{
		{RuleInvalidJobAccepted, "what can't run", nil, func(checker *InvariantChecker) {
			spec := wire.JobSpec{ID: "run-2", Team: "bound", Kind: wire.KindArray, TaskCount: 8, GPUs: 1}
			checker.InvalidJobSubmitted(spec, "it fits no machine")
			checker.ResponseReceived("run-2", http.StatusCreated, wire.JobPending)
		}},
		{RuleAcceptedJobLost, "404", nil, func(checker *InvariantChecker) {
			checker.ResponseReceived(checkedJob, http.StatusCreated, wire.JobPending)
			checker.ResponseReceived(checkedJob, http.StatusNotFound, "")
		}},
		{RuleUnsubmittedJob, "200", nil, func(checker *InvariantChecker) {
			checker.ResponseReceived("run-2", http.StatusOK, wire.JobPending)
		}},
		{RuleIncompleteJobDone, "early", nil, func(checker *InvariantChecker) {
			checker.TaskCompleted(taskOf(0))
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobDone)
		}},
		{RuleInvalidTransition, "pending again", oneTask, func(checker *InvariantChecker) {
			checker.TaskCompleted(taskOf(0))
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobDone)
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobPending)
		}},
		{RuleInvalidTransition, "an older answer from another controller", oneTask, staleResponseFromAnotherController},
		{RuleInvalidTransition, "cancelled after a job that is done", dependsOnOther, func(checker *InvariantChecker) {
			submitDoneDependency(checker)
			checker.CancelRequested("run-0")
			checker.ResponseReceived("run-0", http.StatusOK, wire.JobDone)
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobCancelled)
		}},
		{RuleInvalidTransition, "cancelled before a job that is done", dependsOnOther, func(checker *InvariantChecker) {
			submitDoneDependency(checker)
			checker.CancelRequested("run-0")
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobCancelled)
			checker.ResponseReceived("run-0", http.StatusOK, wire.JobDone)
		}},
		{RuleInvalidTransition, "cancelled by nobody", nil, func(checker *InvariantChecker) {
			checker.ResponseReceived(checkedJob, http.StatusOK, wire.JobCancelled)
		}},
	}
}

// staleResponseFromAnotherController lets a request that was already in flight be answered with an older state,
// which is allowed, and then a later request, which is not.
func staleResponseFromAnotherController(checker *InvariantChecker) {
	checker.TaskCompleted(taskOf(0))
	sentAt := time.Now()
	time.Sleep(time.Millisecond)
	checker.ResponseReceivedForQuery(checkedJob, sentAt, http.StatusOK, wire.JobDone)
	checker.ResponseReceivedForQuery(checkedJob, sentAt, http.StatusOK, wire.JobRunning)
	if len(checker.Violations) > 0 {
		checker.Violations = nil // reported too early: the test must fail
		return
	}
	checker.ResponseReceivedForQuery(checkedJob, time.Now(), http.StatusOK, wire.JobRunning)
}

func unansweredDefects() []defect {
	return []defect{
		{RuleAcceptedJobLost, "after all faults", nil, func(checker *InvariantChecker) {
			unanswered := func() { checker.ResponseReceived(checkedJob, http.StatusServiceUnavailable, "") }
			checker.ResponseReceived(checkedJob, http.StatusCreated, wire.JobPending)
			unanswered()
			time.Sleep(3 * time.Minute) // no other job is answered, and there are still faults
			unanswered()
			checker.FaultsEnded()
			time.Sleep(74 * time.Second)
			unanswered()
			if len(checker.Violations) > 0 {
				checker.Violations = nil // reported too early: the test must fail
				return
			}
			time.Sleep(2 * time.Second)
			unanswered()
		}},
		{RuleAcceptedJobLost, "alone", nil, func(checker *InvariantChecker) {
			checker.JobSubmitted(wire.JobSpec{ID: "run-2", Team: "open", Kind: wire.KindArray, TaskCount: 1})
			checker.ResponseReceived(checkedJob, http.StatusCreated, wire.JobPending)
			for range 21 {
				checker.ResponseReceived(checkedJob, 0, "")
				checker.ResponseReceived("run-2", http.StatusOK, wire.JobPending)
				checker.ResponseReceived("run-2", http.StatusOK, wire.JobPending)
				time.Sleep(5 * time.Second)
			}
		}},
	}
}

func waitingDefects() []defect {
	gangInOneZone := func(s *wire.JobSpec) { s.Kind, s.TaskCount, s.SameZone = wire.KindGang, 2, true }
	return []defect{
		{RuleStartableJobWaits, "beside capacity", nil, func(checker *InvariantChecker) {
			free := record.Resources{CPUs: 8, GPUs: 1}
			waitWithFreeCapacity(checker, FreeCapacity{onMachine("a", zoneEast), free})
		}},
		{RuleStartableJobWaits, "a gang beside capacity in its zone", gangInOneZone, func(checker *InvariantChecker) {
			waitWithFreeCapacity(checker, freeGPUs(onMachine("a", zoneWest), 1),
				freeGPUs(onMachine("b", zoneEast), 1), freeGPUs(onMachine("c", zoneEast), 1))
		}},
	}
}

func shareDefects() []defect {
	return []defect{
		{RuleMinimumShare, "largest", nil, func(checker *InvariantChecker) {
			// All jobs are served in the end, but the largest started only after five minutes.
			for _, id := range []string{"run-2", "run-3", "run-4", "run-5"} {
				runJob(checker, id, 1, 0)
			}
			runJob(checker, "run-6", 10, 5*time.Minute)
			checker.CheckServedShares()
		}},
		{RuleMinimumShare, "class", nil, func(checker *InvariantChecker) {
			checker.ResponseReceived(checkedJob, http.StatusCreated, wire.JobPending)
			checker.CheckServedShares()
		}},
	}
}

// runJob lets a job be accepted, wait, and run until all its tasks complete.
func runJob(checker *InvariantChecker, jobID string, tasks int, wait time.Duration) {
	checker.JobSubmitted(wire.JobSpec{ID: jobID, Class: "c", Team: "open", Kind: wire.KindArray, TaskCount: tasks})
	checker.ResponseReceived(jobID, http.StatusCreated, wire.JobPending)
	time.Sleep(wait)
	for i := range tasks {
		task := record.TaskRef{JobID: jobID, Index: i}
		checker.TaskStarted(task, onMachine("a", zoneEast))
		checker.TaskCompleted(task)
	}
}
