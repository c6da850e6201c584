package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// A job with spread may have at most half of its tasks, rounded up, in one zone. Nodes may bind tasks of different
// chunks at the same time, and then don't see each other's bindings. Each chunk therefore has a limit of its own: half
// of its tasks, rounded up. All chunks but the last have an even number of tasks, so the limits of the chunks add up to
// the limit of the job.
//
// If the chunks of a job were replaced by narrower ones while tasks were bound, a chunk may have more tasks in a zone
// than its limit. Then only the limit of the job counts, and each change that binds tasks is conditional on all records
// of the job and writes the job's own record, so that no two nodes bind tasks at the same time.

// spreadLimit returns how many of the given number of tasks may be in one zone.
func spreadLimit(tasks int) int { return (tasks + 1) / 2 }

// zoneCount counts bound tasks.
type zoneCount struct {
	byZone  map[string]int
	unknown int // tasks on machines without a record, which may be in any zone
}

// add counts a task that is bound to a machine; nil stands for a machine without a record.
func (z *zoneCount) add(machine *clusterstate.Machine) {
	if machine == nil {
		z.unknown++
		return
	}
	if z.byZone == nil {
		z.byZone = map[string]int{}
	}
	z.byZone[machine.Zone]++
}

// exceeds reports whether more tasks than the limit are known to be in one zone.
func (z *zoneCount) exceeds(limit int) bool {
	for _, tasks := range z.byZone {
		if tasks > limit {
			return true
		}
	}
	return false
}

// most returns the largest number of the tasks that may be in a zone.
func (z *zoneCount) most(zone string) int { return z.byZone[zone] + z.unknown }

// spreadChunk is a chunk of a spread job that has tasks to place.
type spreadChunk struct {
	number  int
	pending int // number of tasks to place
	limit   int // of tasks in one zone
	bound   zoneCount
}

// room returns how many of the chunk's tasks may be placed in a zone.
func (s *spreadChunk) room(zone string) int {
	return max(0, min(s.pending, s.limit-s.bound.most(zone)))
}

// jobSpread describes where the tasks of a spread job may be placed.
type jobSpread struct {
	limit  int // of tasks of the job in one zone
	bound  zoneCount
	chunks []spreadChunk // in order of their numbers
	// limitsOfJobOnly means that the chunks have no limits of their own, because one of them exceeds its limit.
	limitsOfJobOnly bool
}

// spreadOf returns where those pending tasks of a spread job may be placed that are not in retry backoff and whose
// bindings are not in flight.
func (c *cycle) spreadOf(job *clusterstate.Job) *jobSpread {
	spread := &jobSpread{limit: spreadLimit(job.Spec.TaskCount)}
	for number := range job.ChunkCount() {
		first, end := job.TaskRange(number)
		chunk := spreadChunk{number: number, limit: spreadLimit(end - first)}
		for taskIndex := first; taskIndex < end; taskIndex++ {
			task := c.taskState(job, taskIndex)
			if name, ok := c.boundMachine(job, task); ok {
				machine := c.cluster.Machines[name]
				chunk.bound.add(machine)
				spread.bound.add(machine)
			} else if task.State == record.TaskPending && !c.inRetryBackoff(job, taskIndex) {
				chunk.pending++
			}
		}
		if chunk.pending > 0 {
			spread.chunks = append(spread.chunks, chunk)
		}
		spread.limitsOfJobOnly = spread.limitsOfJobOnly || chunk.bound.exceeds(chunk.limit)
	}
	if spread.limitsOfJobOnly {
		for i := range spread.chunks {
			spread.chunks[i].limit = spread.limit
		}
	}
	return spread
}

// boundMachine returns the machine that a task is bound to or that a change in flight binds it to. It returns false if
// there is none.
func (c *cycle) boundMachine(job *clusterstate.Job, task record.Task) (name string, ok bool) {
	if task.State == record.TaskBound {
		return task.Machine, true
	}
	return c.inFlight.machineOf(job, task.Index)
}

// room returns how many of the job's tasks may be placed in a zone.
func (s *jobSpread) room(zone string) int {
	room := 0
	for i := range s.chunks {
		room += s.chunks[i].room(zone)
	}
	return max(0, min(room, s.limit-s.bound.most(zone)))
}

// constraint returns the zone constraint of the whole job.
func (s *jobSpread) constraint() binpack.ZoneConstraint {
	const zoneWithoutTasks = ""
	zones := binpack.ZoneConstraint{
		TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: s.room(zoneWithoutTasks),
	}
	for zone := range s.bound.byZone {
		zones.TasksByZone[zone] = zones.MaxPerZone - s.room(zone)
	}
	return zones
}

// distribute divides machines, picked one for each task under the job's zone constraint, among the chunks. In each
// chunk it uses at most as many machines of a zone as the chunk's limit allows. It returns them by number of the chunk,
// without those that no chunk can use. If no task of the chunks is bound, it uses all machines.
func (s *jobSpread) distribute(picks []*binpack.MachineInfo) map[int][]*binpack.MachineInfo {
	unused := newZonePicks(picks)
	laterRoom := map[string]int{}
	for _, zone := range unused.zones {
		for i := range s.chunks {
			laterRoom[zone] += s.chunks[i].room(zone)
		}
	}
	picksByChunk := map[int][]*binpack.MachineInfo{}
	for i := range s.chunks {
		chunk := &s.chunks[i]
		room := map[string]int{}
		for _, zone := range unused.zones {
			room[zone] = chunk.room(zone)
			laterRoom[zone] -= room[zone]
		}
		for range chunk.pending {
			zone, ok := unused.mostPressing(room, laterRoom)
			if !ok {
				break
			}
			room[zone]--
			picksByChunk[chunk.number] = append(picksByChunk[chunk.number], unused.take(zone))
		}
	}
	return picksByChunk
}

// zonePicks holds picked machines by zone.
type zonePicks struct {
	zones  []string // in the order in which they were picked first
	byZone map[string][]*binpack.MachineInfo
}

func newZonePicks(picks []*binpack.MachineInfo) *zonePicks {
	z := &zonePicks{byZone: map[string][]*binpack.MachineInfo{}}
	for _, pick := range picks {
		zone := pick.Machine.Zone
		if z.byZone[zone] == nil {
			z.zones = append(z.zones, zone)
		}
		z.byZone[zone] = append(z.byZone[zone], pick)
	}
	return z
}

// mostPressing returns, among the zones with a machine left and room in the current chunk, the zone whose machines
// exceed the room in later chunks by most. It returns false if there is no such zone.
func (z *zonePicks) mostPressing(room, laterRoom map[string]int) (pressing string, ok bool) {
	excess := func(zone string) int { return len(z.byZone[zone]) - laterRoom[zone] }
	for _, zone := range z.zones {
		if len(z.byZone[zone]) == 0 || room[zone] == 0 {
			continue
		}
		if !ok || excess(zone) > excess(pressing) {
			pressing, ok = zone, true
		}
	}
	return pressing, ok
}

// take removes a machine of a zone and returns it.
func (z *zonePicks) take(zone string) *binpack.MachineInfo {
	pick := z.byZone[zone][0]
	z.byZone[zone] = z.byZone[zone][1:]
	return pick
}
