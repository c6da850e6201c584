package scheduler

import (
	"log/slog"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// logWaiting logs now and then why a job waits.
func (c *cycle) logWaiting(job *clusterstate.Job, reason string, candidate *binpack.MachineInfo) {
	if !c.log.Enabled(c.ctx, slog.LevelDebug) || c.now.Sub(c.lastLoggedReason[job.Spec.ID]) < tuning.WhyEvery {
		return
	}
	c.lastLoggedReason[job.Spec.ID] = c.now
	machine := ""
	if candidate != nil {
		machine = candidate.Machine.Name
	}
	c.log.Debug("job waits", "job", job.Spec.ID, "why", reason, "machine", machine, "pending", job.PendingCount())
}
