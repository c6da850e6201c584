package preemption

import "sableusher/internal/wire"

// Preemptor is a waiting job for which running tasks may be stopped.
type Preemptor struct {
	Rank            int    // rank of its priority; 0 is the highest
	Team            string // the team whose quota it uses
	WithinGuarantee bool   // whether it is within its team's guarantee
	// GuaranteedOnArrival reports whether the job was within its team's guarantee when it arrived; such a job need not
	// wait for other teams' jobs. A job that is within the guarantee only later, once earlier jobs of the team have
	// ended, waits in the order of the queue.
	GuaranteedOnArrival bool
}

// RunningJob is a job whose tasks could be preempted.
type RunningJob struct {
	Rank             int // rank of its priority; 0 is the highest
	Team             string
	TeamHasGuarantee bool
	WithinGuarantee  bool // whether its running tasks are within its team's guarantee
	EndsSoon         bool // whether its tasks will soon end by themselves, which frees their capacity anyway
}

// MayPreempt reports whether tasks of a running job may be stopped for the preemptor. They may in two cases:
//
//   - The running job has a lower priority. If it is within its team's guarantee, the preemptor must also have at least
//     high priority.
//   - Both have the same priority, and the running job of another team borrows capacity that is guaranteed to the
//     preemptor's team; see reclaimsFrom. If the preemptor was not within the guarantee on arrival, the running job
//     must also not end soon.
//
// Without the rule about jobs that end soon, arrays of all teams preempt each other during a burst that fills all
// guarantees: 2,500 times in one day, half of them within 4 s of the victim's placement. Each preemption costs a
// checkpoint, an image fetch and three record changes.
func (p Preemptor) MayPreempt(running RunningJob) bool {
	if running.Rank > p.Rank {
		return !running.WithinGuarantee || p.Rank <= wire.PriorityHigh.Rank()
	}
	return running.Rank == p.Rank && p.reclaimsFrom(running) && (p.GuaranteedOnArrival || !running.EndsSoon)
}

// reclaimsFrom reports whether a running job of another team exceeds that team's guarantee, and thereby borrows
// capacity that is guaranteed to the preemptor's team.
func (p Preemptor) reclaimsFrom(running RunningJob) bool {
	return p.WithinGuarantee && running.TeamHasGuarantee && !running.WithinGuarantee && running.Team != p.Team
}
