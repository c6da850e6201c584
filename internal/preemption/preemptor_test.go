package preemption

import (
	"fmt"
	"testing"

	"sableusher/internal/wire"
)

// testJob is a job in both roles: waiting as a preemptor, and running as a potential victim.
type testJob struct {
	waiting Preemptor
	running RunningJob
}

// allTestJobs returns jobs of two teams with all combinations of rank, guarantee and EndsSoon.
func allTestJobs() []testJob {
	var jobs []testJob
	for rank := range wire.PriorityCount {
		for bits := range 32 {
			team, teamHasGuarantee := fmt.Sprint("t", bits&1), bits&2 != 0
			withinGuarantee := bits&4 != 0 && teamHasGuarantee
			jobs = append(jobs, testJob{
				waiting: Preemptor{
					Rank: rank, Team: team, WithinGuarantee: withinGuarantee, GuaranteedOnArrival: bits&8 != 0,
				},
				running: RunningJob{
					Rank: rank, Team: team, WithinGuarantee: withinGuarantee, TeamHasGuarantee: teamHasGuarantee,
					EndsSoon: bits&16 != 0,
				},
			})
		}
	}
	return jobs
}

// TestNoMutualPreemption checks, for all ranks and guarantees, that no two jobs may preempt each other, as each would
// then stop the other in turn without end. It also checks each allowed preemption with checkPreemption.
func TestNoMutualPreemption(t *testing.T) {
	preempting := 0
	for _, a := range allTestJobs() {
		for _, b := range allTestJobs() {
			if !a.waiting.MayPreempt(b.running) {
				continue
			}
			preempting++
			if b.waiting.MayPreempt(a.running) {
				t.Errorf("%+v and %+v preempt each other", a.waiting, b.waiting)
			}
			checkPreemption(t, a.waiting, b.running)
		}
	}
	if preempting == 0 {
		t.Error("MayPreempt allows no preemption at all")
	}
}

// checkPreemption checks the rules for an allowed preemption: the victim does not have a higher priority; and if both
// have the same priority, the victim belongs to another team, and ends soon only if the preemptor was guaranteed on
// arrival.
func checkPreemption(t *testing.T, waiting Preemptor, running RunningJob) {
	t.Helper()
	sameRank := waiting.Rank == running.Rank
	if running.Rank < waiting.Rank {
		t.Errorf("%+v preempts %+v of higher priority", waiting, running)
	}
	if sameRank && running.EndsSoon && !waiting.GuaranteedOnArrival {
		t.Errorf("%+v, not guaranteed on arrival, preempts %+v that ends soon", waiting, running)
	}
	if sameRank && waiting.Team == running.Team {
		t.Errorf("%+v preempts its team's own %+v", waiting, running)
	}
}
