// Package quota keeps teams within their limits: durable grants by part whose
// sum stays at or below the limit, raised and released on demand.
package quota

import (
	"math"
	"strconv"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Keeper decides on grants. Its methods are called by one routine, which holds
// the world's lock; Finish may come at any time between them.
type Keeper struct {
	teams map[string]config.Team
	world *world.State

	wants    map[slot]world.Resources
	lowered  map[slot]world.Resources // grants being lowered: count as lower already
	busy     map[string]bool
	surplus  map[slot]time.Time
	finished chan finish
}

type slot struct {
	part int
	team string
}

type finish struct {
	team string
	slot slot
}

// New makes a keeper of the teams' limits.
func New(teams []config.Team, w *world.State) *Keeper {
	k := &Keeper{teams: map[string]config.Team{}, world: w, wants: map[slot]world.Resources{}, lowered: map[slot]world.Resources{},
		busy: map[string]bool{}, surplus: map[slot]time.Time{}, finished: make(chan finish, 1024)}
	for _, t := range teams {
		k.teams[t.Name] = t
	}
	return k
}

// Limit gives a team's limit; a dimension without one is unbounded.
func (k *Keeper) Limit(team string) (world.Resources, bool) {
	t, ok := k.teams[team]
	if !ok || t.CPUsMax == 0 && t.GPUsMax == 0 {
		return world.Resources{}, false
	}
	return limits(t.CPUsMax, t.GPUsMax), true
}

// Guarantee gives what a team need not wait for others within.
func (k *Keeper) Guarantee(team string) (world.Resources, bool) {
	t, ok := k.teams[team]
	if !ok || t.CPUs == 0 && t.GPUs == 0 {
		return world.Resources{}, false
	}
	return limits(t.CPUs, t.GPUs), true
}

func limits(cpus, gpus float64) world.Resources {
	l := world.Resources{CPUs: cpus, GPUs: gpus, MemoryGB: tuning.MaxAmount}
	if cpus == 0 {
		l.CPUs = tuning.MaxAmount
	}
	if gpus == 0 {
		l.GPUs = tuning.MaxAmount
	}
	return l
}

func bare(a world.Resources) world.Resources { return world.Resources{CPUs: a.CPUs, GPUs: a.GPUs} }

// Allowed tells whether a part may let a team use so much. Without a
// sufficient grant the wish is kept for the next Review.
func (k *Keeper) Allowed(part int, team string, use world.Resources) bool {
	if _, limited := k.Limit(team); !limited {
		return true
	}
	s := slot{part, team}
	use = bare(use)
	grant := k.world.Quotas[team].Grants[strconv.Itoa(part)]
	if low, ok := k.lowered[s]; ok {
		grant = low
	}
	if use.FitsIn(grant) {
		return true
	}
	w := k.wants[s]
	k.wants[s] = world.Resources{CPUs: max(w.CPUs, use.CPUs), GPUs: max(w.GPUs, use.GPUs)}
	return false
}

// Change is a change of a team's grants to be committed. Done is to be called
// with the outcome settled: never while it may still be applied.
type Change struct {
	Item store.Transaction
	Part int
	Done func()
}

// Review gives the changes of grants due now. owned gives the guard of each
// part of this node, use what a team's tasks of a part take, those on their
// way included.
func (k *Keeper) Review(now time.Time, owned map[int]uint64, use func(part int, team string) world.Resources) []Change {
	for {
		select {
		case f := <-k.finished:
			delete(k.busy, f.team)
			delete(k.lowered, f.slot)
			continue
		default:
		}
		break
	}
	var out []Change
	for s, want := range k.wants {
		delete(k.wants, s)
		limit, _ := k.Limit(s.team)
		stamp, mine := owned[s.part]
		if !mine || k.busy[s.team] {
			continue
		}
		q := k.world.Quotas[s.team]
		var others world.Resources
		for p, g := range q.Grants {
			if p != strconv.Itoa(s.part) {
				others = others.AddTimes(g, 1)
			}
		}
		grant := q.Grants[strconv.Itoa(s.part)]
		lot := k.lot(limit)
		next := world.Resources{
			CPUs: raise(grant.CPUs, want.CPUs, lot.CPUs, limit.CPUs-others.CPUs, limit.CPUs),
			GPUs: raise(grant.GPUs, want.GPUs, lot.GPUs, limit.GPUs-others.GPUs, limit.GPUs),
		}
		if next != grant {
			out = append(out, k.change(s, q, stamp, next))
		}
		delete(k.surplus, s)
	}
	for team, q := range k.world.Quotas {
		limit, limited := k.Limit(team)
		if limited && k.busy[team] || limited && k.ample(q, limit) {
			continue // nobody needs what is not used
		}
		lot := k.lot(limit)
		for p, g := range q.Grants {
			part, _ := strconv.Atoi(p)
			s := slot{part, team}
			stamp, mine := owned[part]
			used := bare(use(part, team))
			if limited {
				used = used.AddTimes(lot, 0.5)
				used = world.Resources{CPUs: min(used.CPUs, g.CPUs), GPUs: min(used.GPUs, g.GPUs)}
			}
			if !mine || k.busy[team] || g.FitsIn(used) {
				delete(k.surplus, s)
				continue
			}
			since, ok := k.surplus[s]
			if !ok {
				k.surplus[s] = now
			} else if idle := now.Sub(since); idle > tuning.GrantSlow || idle > tuning.GrantIdle && (!limited || !g.FitsIn(used.AddTimes(lot, 0.5))) {
				delete(k.surplus, s)
				c := k.change(s, q, stamp, used)
				k.lowered[s] = used
				out = append(out, c)
			}
		}
	}
	return out
}

// lot is the room a part is granted above what it needs.
func (k *Keeper) lot(limit world.Resources) world.Resources {
	f := tuning.GrantLot / float64(k.world.ShardCount)
	return world.Resources{CPUs: math.Floor(limit.CPUs * f), GPUs: math.Floor(limit.GPUs * f)}
}

// raise gives a grant that covers a want and a lot more, within what is left;
// what only the lot asks for leaves the rest that others may want.
func raise(grant, want, lot, left, limit float64) float64 {
	more := min(want+lot, left-tuning.GrantRest*limit)
	return max(grant, min(max(want, more), left))
}

// ample tells whether enough of a limit is ungranted for whoever wants more.
func (k *Keeper) ample(q world.Quota, limit world.Resources) bool {
	var sum world.Resources
	for _, g := range q.Grants {
		sum = sum.AddTimes(g, 1)
	}
	return sum.CPUs <= (1-tuning.GrantRest)*limit.CPUs && sum.GPUs <= (1-tuning.GrantRest)*limit.GPUs
}

func (k *Keeper) change(s slot, q world.Quota, stamp uint64, next world.Resources) Change {
	grants := map[string]world.Resources{}
	for p, g := range q.Grants {
		grants[p] = g
	}
	if next == (world.Resources{}) {
		delete(grants, strconv.Itoa(s.part))
	} else {
		grants[strconv.Itoa(s.part)] = next
	}
	k.busy[s.team] = true
	key := world.QuotaKey(s.team)
	return Change{
		Item: store.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: q.ModRevision}, {Key: world.ShardKey(s.part), ModRevision: stamp}},
			Ops:        []wire.Op{store.PutOp(key, world.QuotaRecord{Grants: grants})},
		},
		Part: s.part,
		Done: func() { k.finished <- finish{s.team, s} },
	}
}
