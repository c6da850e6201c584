package preemption

import (
	"fmt"
	"testing"

	"sableusher/internal/wire"
)

// side is a job as it stands against others when it waits and when it runs.
type side struct {
	waiting Preemptor
	running RunningJob
}

// allSides are jobs of two teams with all ranks and guarantees.
func allSides() []side {
	var sides []side
	for rank := range wire.PriorityCount {
		for bits := range 32 {
			team, teamHasGuarantee := fmt.Sprint("t", bits&1), bits&2 != 0
			withinGuarantee := bits&4 != 0 && teamHasGuarantee
			sides = append(sides, side{
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
	return sides
}

// TestNoMutualPreemption: over all ranks and guarantees, of two jobs at most one may preempt the other, else they would
// take turns for ever; and of one team none of one rank.
func TestNoMutualPreemption(t *testing.T) {
	preempting := 0
	for _, a := range allSides() {
		for _, b := range allSides() {
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
		t.Error("nothing is ever preempted")
	}
}

// checkPreemption checks that a job that preempts another may do so.
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
