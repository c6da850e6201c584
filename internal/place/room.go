package place

import (
	"time"

	"sableusher/internal/fit"
	"sableusher/internal/tuning"
	"sableusher/internal/world"
)

// renewStock brings the room that is kept from round to round up to date: what changed,
// what is on its way, what is being freed, and which images are believed to be where.
func (r *round) renewStock() *fit.Inventory {
	names := r.changeFeed.TakeMachines()
	s := fit.Refresh(r.retainedInventory, fit.Snapshot{Now: r.now, State: r.cluster, LiveShards: r.live, FencingTokens: r.tokens, AssessReadiness: r.readiness}, names, r.machinesToRefresh)
	r.retainedInventory = s
	s.NeedPerGPU, s.CommonNeed = r.needPerGPU, r.commonNeed
	clear(r.machinesToRefresh)
	for name, amount := range r.moveM {
		s.ConsumeByName(name, amount)
	}
	for name, h := range r.reservations {
		if !r.now.After(h.expiresAt) {
			s.ReserveFor(name, h.task.Job)
		}
	}
	if r.now.Sub(s.HintsUpdatedAt(true)) >= tuning.HoldersLife {
		s.SetImageHints(true, r.now, func(yield func(image, name string) bool) {
			for image, names := range r.agents.MachinesByImage() {
				for _, name := range names {
					if !yield(image, name) {
						return
					}
				}
			}
		})
	}
	if s.HintsUpdatedAt(false) != r.remoteImagesAt {
		s.SetImageHints(false, r.remoteImagesAt, func(yield func(image, name string) bool) {
			for image, names := range r.remoteImages {
				for name := range names {
					if !yield(image, name) {
						return
					}
				}
			}
		})
	}
	return s
}

// readiness is what a machine is good for in this node's rounds.
func (r *round) readiness(m *world.Machine, mine bool) fit.Readiness {
	switch {
	case r.failureDetector.ZoneUnavailable(m.Zone):
		return fit.Unavailable // nothing starts there before the cut is over
	case mine && r.agents.MachineStatus(m.Name, r.tokens[m.Shard]).Schedulable, !mine && r.live[m.Shard] && (m.Up || r.likely(m)):
		return fit.Ready
	case !m.Up && r.overdue(m):
		return fit.Unavailable // others are rented rather than waited for
	default:
		return fit.Pending
	}
}

// overdue tells whether a machine should have come up long ago.
func (r *round) overdue(m *world.Machine) bool {
	late := time.Duration(tuning.BootLate * r.cluster.Types[m.Type].BootSeconds * float64(time.Second))
	return r.now.Sub(time.UnixMilli(m.CreatedAtMs)) > max(late, tuning.BootLateMin)
}

// likely tells whether a machine should be up by now.
func (r *round) likely(m *world.Machine) bool {
	boot := tuning.BootLikely * r.cluster.Types[m.Type].BootSeconds * float64(time.Second)
	return m.CreatedAtMs > 0 && r.now.Sub(time.UnixMilli(m.CreatedAtMs)) > time.Duration(boot) && !r.overdue(m)
}
