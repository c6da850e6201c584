package place

import (
	"slices"

	"sableusher/internal/fit"
	"sableusher/internal/tuning"
	"sableusher/internal/world"
)

// placeGang gives a gang room for all its tasks or none. One node does so for
// each gang, over the machines of all parts, in one transaction: the owner of
// the part that the gang is dealt to, whose grant it uses. The owners of its
// machines start the tasks as they see them bound. Where an owner has used the
// room meanwhile, its worker refuses and the gang is placed anew.
func (r *round) placeGang(du *due, s *fit.Inventory) {
	j, spec := du.job, &du.job.Spec
	var attempt uint64
	var idle []int
	forming := false
	for i := range spec.TaskCount {
		t := r.taskState(j, i)
		attempt = max(attempt, t.Attempt)
		if t.State == world.TaskPending {
			idle = append(idle, i)
		} else {
			forming = true
		}
	}
	du.Remaining = len(idle)
	if r.keysInFlight[world.JobKey(spec.ID)] || r.needsMigration(j) || forming && slices.ContainsFunc(idle, func(i int) bool { return r.taskState(j, i).Attempt >= attempt }) {
		r.waiting(j, "its last attempt has not left yet, or a change is on its way", nil)
		du.Remaining = 0
		return
	}
	if !forming { // else one too long for a transaction is completed
		attempt++
	}
	// One that finds its image at once goes first, then one that has room in its
	// own part, where no other node places.
	du.home = r.first(j)
	z := r.zones(j, 0)
	up := s.FittingMachines(&du.Request)
	inPart := func(n *fit.MachineInfo) bool { return n.Machine.Shard == du.home }
	held := func(n *fit.MachineInfo) bool { return r.stock.HasImage(spec.Image, n) }
	var picks []*fit.MachineInfo
	for _, also := range []func(*fit.MachineInfo) bool{
		func(n *fit.MachineInfo) bool { return inPart(n) && held(n) },
		func(n *fit.MachineInfo) bool { return n.SessionKnown() && held(n) },
		inPart, (*fit.MachineInfo).SessionKnown,
	} {
		if picks = s.AllocateGang(&du.Request, up, z, also); picks != nil {
			break
		}
	}
	if picks == nil {
		r.waiting(j, "no room for all its tasks", nil)
		return
	}
	du.Remaining = 0
	_, mine := r.tokens[du.home]
	if !mine || r.bound+len(picks) > tuning.RoundTasks && r.bound > 0 {
		return
	}
	// All or nothing: the grant must cover it whole, and its records must hold it.
	adds := map[int]int{} // tasks by record
	for _, i := range idle {
		adds[j.ChunkOf(i)]++
	}
	for k, n := range adds {
		if r.recordFull(j, k, n, picks[0].Machine.Name) {
			r.waiting(j, "its records are full", nil)
			return
		}
	}
	if !r.quota.Allowed(du.home, spec.Team, r.usage(du.home, spec.Team).AddTimes(du.Need, float64(len(picks)))) {
		r.waiting(j, "its team's grant in this part", nil)
		return
	}
	for x, n := range picks {
		r.bind(du, idle[x], attempt, n, du.home)
	}
}
