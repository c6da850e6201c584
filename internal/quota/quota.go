// Package quota keeps teams within their limits: durable grants by part whose
// sum stays at or below the limit, raised and released on demand.
package quota

import (
	"math"
	"strconv"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// GrantManager decides on grants. Its methods are called by one routine, which holds
// the world's lock; Finish may come at any time between them.
type GrantManager struct {
	teams map[string]config.Team
	state *clusterstate.State

	requested         map[grantKey]record.Resources
	pendingReductions map[grantKey]record.Resources // grants being lowered: count as lower already
	teamsInFlight     map[string]bool
	surplusSince      map[grantKey]time.Time
	completions       chan completion
}

type grantKey struct {
	shard int
	team  string
}

type completion struct {
	team string
	key  grantKey
}

// New makes a keeper of the teams' limits.
func New(teams []config.Team, state *clusterstate.State) *GrantManager {
	manager := &GrantManager{teams: map[string]config.Team{}, state: state, requested: map[grantKey]record.Resources{}, pendingReductions: map[grantKey]record.Resources{},
		teamsInFlight: map[string]bool{}, surplusSince: map[grantKey]time.Time{}, completions: make(chan completion, 1024)}
	for _, team := range teams {
		manager.teams[team.Name] = team
	}
	return manager
}

// Limit gives a team's limit; a dimension without one is unbounded.
func (m *GrantManager) Limit(team string) (record.Resources, bool) {
	limits, ok := m.teams[team]
	if !ok || limits.CPUsMax == 0 && limits.GPUsMax == 0 {
		return record.Resources{}, false
	}
	return amountOrUnbounded(limits.CPUsMax, limits.GPUsMax), true
}

// Guarantee gives what a team need not wait for others within.
func (m *GrantManager) Guarantee(team string) (record.Resources, bool) {
	limits, ok := m.teams[team]
	if !ok || limits.CPUs == 0 && limits.GPUs == 0 {
		return record.Resources{}, false
	}
	return amountOrUnbounded(limits.CPUs, limits.GPUs), true
}

func amountOrUnbounded(cpus, gpus float64) record.Resources {
	amount := record.Resources{CPUs: cpus, GPUs: gpus, MemoryGB: tuning.MaxAmount}
	if cpus == 0 {
		amount.CPUs = tuning.MaxAmount
	}
	if gpus == 0 {
		amount.GPUs = tuning.MaxAmount
	}
	return amount
}

func withoutMemory(amount record.Resources) record.Resources {
	return record.Resources{CPUs: amount.CPUs, GPUs: amount.GPUs}
}

// Allows tells whether a part may let a team use so much. Without a
// sufficient grant the wish is kept for the next Review.
func (m *GrantManager) Allows(shard int, team string, usage record.Resources) bool {
	if _, limited := m.Limit(team); !limited {
		return true
	}
	key := grantKey{shard, team}
	usage = withoutMemory(usage)
	grant := m.state.Quotas[team].Grants[strconv.Itoa(shard)]
	if reduced, ok := m.pendingReductions[key]; ok {
		grant = reduced
	}
	if usage.FitsIn(grant) {
		return true
	}
	requested := m.requested[key]
	m.requested[key] = record.Resources{CPUs: max(requested.CPUs, usage.CPUs), GPUs: max(requested.GPUs, usage.GPUs)}
	return false
}

// Change is a change of a team's grants to be committed. Done is to be called
// with the outcome settled: never while it may still be applied.
type Change struct {
	Transaction kvstore.Transaction
	Shard       int
	Done        func()
}

// PlanChanges gives the changes of grants due now. owned gives the guard of each
// part of this node, use what a team's tasks of a part take, those on their
// way included.
func (m *GrantManager) PlanChanges(now time.Time, owned map[int]uint64, usage func(shard int, team string) record.Resources) []Change {
	for {
		select {
		case completed := <-m.completions:
			delete(m.teamsInFlight, completed.team)
			delete(m.pendingReductions, completed.key)
			continue
		default:
		}
		break
	}
	var changes []Change
	for key, want := range m.requested {
		delete(m.requested, key)
		limit, _ := m.Limit(key.team)
		revision, mine := owned[key.shard]
		if !mine || m.teamsInFlight[key.team] {
			continue
		}
		quota := m.state.Quotas[key.team]
		var others record.Resources
		for shardName, shardGrant := range quota.Grants {
			if shardName != strconv.Itoa(key.shard) {
				others = others.AddTimes(shardGrant, 1)
			}
		}
		grant := quota.Grants[strconv.Itoa(key.shard)]
		headroom := m.headroom(limit)
		next := record.Resources{
			CPUs: raisedGrant(grant.CPUs, want.CPUs, headroom.CPUs, limit.CPUs-others.CPUs, limit.CPUs),
			GPUs: raisedGrant(grant.GPUs, want.GPUs, headroom.GPUs, limit.GPUs-others.GPUs, limit.GPUs),
		}
		if next != grant {
			changes = append(changes, m.newChange(key, quota, revision, next))
		}
		delete(m.surplusSince, key)
	}
	for team, quota := range m.state.Quotas {
		limit, limited := m.Limit(team)
		if limited && m.teamsInFlight[team] || limited && m.hasAmpleRest(quota, limit) {
			continue // nobody needs what is not used
		}
		headroom := m.headroom(limit)
		for shardName, shardGrant := range quota.Grants {
			shard, _ := strconv.Atoi(shardName)
			key := grantKey{shard, team}
			revision, mine := owned[shard]
			used := withoutMemory(usage(shard, team))
			if limited {
				used = used.AddTimes(headroom, 0.5)
				used = record.Resources{CPUs: min(used.CPUs, shardGrant.CPUs), GPUs: min(used.GPUs, shardGrant.GPUs)}
			}
			if !mine || m.teamsInFlight[team] || shardGrant.FitsIn(used) {
				delete(m.surplusSince, key)
				continue
			}
			since, ok := m.surplusSince[key]
			if !ok {
				m.surplusSince[key] = now
			} else if idle := now.Sub(since); idle > tuning.GrantSlow || idle > tuning.GrantIdle && (!limited || !shardGrant.FitsIn(used.AddTimes(headroom, 0.5))) {
				delete(m.surplusSince, key)
				c := m.newChange(key, quota, revision, used)
				m.pendingReductions[key] = used
				changes = append(changes, c)
			}
		}
	}
	return changes
}

// headroom is the room a part is granted above what it needs.
func (m *GrantManager) headroom(limit record.Resources) record.Resources {
	fraction := tuning.GrantLot / float64(m.state.ShardCount)
	return record.Resources{CPUs: math.Floor(limit.CPUs * fraction), GPUs: math.Floor(limit.GPUs * fraction)}
}

// raisedGrant gives a grant that covers a want and a lot more, within what is left;
// what only the lot asks for leaves the rest that others may want.
func raisedGrant(grant, want, headroom, left, limit float64) float64 {
	generous := min(want+headroom, left-tuning.GrantRest*limit)
	return max(grant, min(max(want, generous), left))
}

// hasAmpleRest tells whether enough of a limit is ungranted for whoever wants more.
func (m *GrantManager) hasAmpleRest(quota clusterstate.Quota, limit record.Resources) bool {
	var granted record.Resources
	for _, grant := range quota.Grants {
		granted = granted.AddTimes(grant, 1)
	}
	return granted.CPUs <= (1-tuning.GrantRest)*limit.CPUs && granted.GPUs <= (1-tuning.GrantRest)*limit.GPUs
}

func (m *GrantManager) newChange(grant grantKey, quota clusterstate.Quota, revision uint64, next record.Resources) Change {
	grants := map[string]record.Resources{}
	for shard, amount := range quota.Grants {
		grants[shard] = amount
	}
	if next == (record.Resources{}) {
		delete(grants, strconv.Itoa(grant.shard))
	} else {
		grants[strconv.Itoa(grant.shard)] = next
	}
	m.teamsInFlight[grant.team] = true
	key := record.QuotaKey(grant.team)
	return Change{
		Transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: quota.ModRevision}, {Key: record.ShardKey(grant.shard), ModRevision: revision}},
			Ops:        []wire.Op{kvstore.PutOp(key, record.Quota{Grants: grants})},
		},
		Shard: grant.shard,
		Done:  func() { m.completions <- completion{grant.team, grant} },
	}
}
