package quota

import (
	"maps"
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

// maxCompletions bounds the finished changes that wait to be taken in.
const maxCompletions = 1024

// GrantManager decides on the grants of this node's shards. Its methods are called by one goroutine, which
// holds the cluster state's lock; only a change's Done may be called by others at any time.
type GrantManager struct {
	teams map[string]config.Team
	state *clusterstate.State

	// requested is what shards asked for beyond their grants since changes were last planned.
	requested map[grantKey]record.Resources
	// pendingReductions are the grants being lowered: they count as lower already.
	pendingReductions map[grantKey]record.Resources
	teamsInFlight     map[string]bool        // teams with a change of their record in flight
	surplusSince      map[grantKey]time.Time // since when a grant is larger than needed
	completions       chan grantKey          // of changes whose outcome is settled
}

// grantKey names the grant of a team in a shard.
type grantKey struct {
	shard int
	team  string
}

// Change is a change of a team's grants to be committed.
type Change struct {
	Transaction kvstore.Transaction
	Shard       int // whose grant it changes
	// Done is to be called once the outcome is settled: never while the transaction may still be applied.
	// It is safe for concurrent use.
	Done func()
}

// UsageFunc returns what a team's tasks take that are charged to a shard, bindings in flight included.
type UsageFunc func(shard int, team string) record.Resources

// New makes a manager of the teams' grants.
func New(teams []config.Team, state *clusterstate.State) *GrantManager {
	manager := &GrantManager{
		teams:             make(map[string]config.Team, len(teams)),
		state:             state,
		requested:         map[grantKey]record.Resources{},
		pendingReductions: map[grantKey]record.Resources{},
		teamsInFlight:     map[string]bool{},
		surplusSince:      map[grantKey]time.Time{},
		completions:       make(chan grantKey, maxCompletions),
	}
	for _, team := range teams {
		manager.teams[team.Name] = team
	}
	return manager
}

// Allows reports whether a team may use so much of a shard. If its grant does not cover it, the next
// PlanChanges tries to raise it.
func (m *GrantManager) Allows(shard int, team string, usage record.Resources) bool {
	if _, limited := m.Limit(team); !limited {
		return true
	}
	key := grantKey{shard, team}
	usage = withoutMemory(usage)
	grant, reducing := m.pendingReductions[key]
	if !reducing {
		grant = grantOf(m.state.Quotas[team], shard)
	}
	if usage.FitsIn(grant) {
		return true
	}
	m.requested[key] = most(m.requested[key], usage)
	return false
}

// grantOf returns a shard's grant in a team's record.
func grantOf(quota clusterstate.Quota, shard int) record.Resources {
	return quota.Grants[strconv.Itoa(shard)]
}

// PlanChanges returns the changes of grants that are due now. owned gives the modification revision of the
// ownership record of each of this node's shards.
func (m *GrantManager) PlanChanges(now time.Time, owned map[int]uint64, usage UsageFunc) []Change {
	m.takeCompletions()
	changes := m.planRaises(owned)
	return append(changes, m.planReductions(now, owned, usage)...)
}

// takeCompletions takes in the changes whose outcome is settled.
func (m *GrantManager) takeCompletions() {
	for {
		select {
		case key := <-m.completions:
			delete(m.teamsInFlight, key.team)
			delete(m.pendingReductions, key)
		default:
			return
		}
	}
}

// planRaises returns the changes that raise grants to what was requested.
func (m *GrantManager) planRaises(owned map[int]uint64) []Change {
	var changes []Change
	for key, requested := range m.requested {
		delete(m.requested, key)
		revision, isOwned := owned[key.shard]
		if !isOwned || m.teamsInFlight[key.team] {
			continue
		}
		quota := m.state.Quotas[key.team]
		if raised := m.raised(key, quota, requested); raised != grantOf(quota, key.shard) {
			changes = append(changes, m.newChange(key, quota, revision, raised))
		}
		delete(m.surplusSince, key)
	}
	return changes
}

// raised returns a grant raised to what was requested and some headroom, within what the other shards'
// grants leave of the limit.
func (m *GrantManager) raised(
	key grantKey, quota clusterstate.Quota, requested record.Resources,
) record.Resources {
	limit, _ := m.Limit(key.team)
	var others record.Resources
	for shard, grant := range quota.Grants {
		if shard != strconv.Itoa(key.shard) {
			others = others.Plus(grant)
		}
	}
	grant, headroom := grantOf(quota, key.shard), m.headroom(limit)
	return record.Resources{
		CPUs: raisedAmount(grant.CPUs, requested.CPUs, headroom.CPUs, limit.CPUs-others.CPUs, limit.CPUs),
		GPUs: raisedAmount(grant.GPUs, requested.GPUs, headroom.GPUs, limit.GPUs-others.GPUs, limit.GPUs),
	}
}

// raisedAmount raises one dimension of a grant to what was requested and some headroom, within what is
// left of the limit. The headroom leaves a rest of the limit that others may request.
func raisedAmount(grant, requested, headroom, left, limit float64) float64 {
	withHeadroom := min(requested+headroom, left-tuning.GrantReserveShare*limit)
	return max(grant, min(max(requested, withHeadroom), left))
}

// surplusRule says when the grants of a team are larger than needed.
type surplusRule struct {
	limited  bool // the team has a limit
	headroom record.Resources
}

// planReductions returns the changes that lower grants which have been larger than needed for a while.
func (m *GrantManager) planReductions(now time.Time, owned map[int]uint64, usage UsageFunc) []Change {
	var changes []Change
	for team, quota := range m.state.Quotas {
		limit, limited := m.Limit(team)
		if limited && (m.teamsInFlight[team] || m.hasAmpleRest(quota, limit)) {
			continue // nobody needs what is not used
		}
		rule := surplusRule{limited: limited, headroom: m.headroom(limit)}
		for name, grant := range quota.Grants {
			shard, _ := strconv.Atoi(name) // the record's keys are numbers of shards
			key := grantKey{shard, team}
			revision, isOwned := owned[shard]
			needed := rule.needed(grant, usage(shard, team))
			if !isOwned || m.teamsInFlight[team] || grant.FitsIn(needed) {
				delete(m.surplusSince, key)
				continue
			}
			if rule.reductionDue(m.surplusFor(now, key), grant, needed) {
				delete(m.surplusSince, key)
				changes = append(changes, m.newChange(key, quota, revision, needed))
				m.pendingReductions[key] = needed
			}
		}
	}
	return changes
}

// surplusFor returns for how long a grant has been larger than needed; 0 the first time.
func (m *GrantManager) surplusFor(now time.Time, key grantKey) time.Duration {
	since, known := m.surplusSince[key]
	if !known {
		m.surplusSince[key] = now
		return 0
	}
	return now.Sub(since)
}

// needed returns what a shard needs of its grant: what is used, and half the headroom for a team with a limit.
func (r surplusRule) needed(grant, usage record.Resources) record.Resources {
	used := withoutMemory(usage)
	if !r.limited {
		return used
	}
	return least(used.PlusTimes(r.headroom, 0.5), grant)
}

// reductionDue reports whether a grant has been larger than needed for long enough to be lowered: a small
// surplus is kept for longer.
func (r surplusRule) reductionDue(surplusFor time.Duration, grant, needed record.Resources) bool {
	if surplusFor > tuning.GrantSmallRestHold {
		return true
	}
	isSmall := r.limited && grant.FitsIn(needed.PlusTimes(r.headroom, 0.5))
	return surplusFor > tuning.GrantIdleHold && !isSmall
}

// headroom is what a shard is granted above what it needs.
func (m *GrantManager) headroom(limit record.Resources) record.Resources {
	fraction := tuning.GrantLotShare / float64(m.state.ShardCount)
	return record.Resources{CPUs: math.Floor(limit.CPUs * fraction), GPUs: math.Floor(limit.GPUs * fraction)}
}

// hasAmpleRest reports whether enough of a limit is ungranted for whoever requests more.
func (m *GrantManager) hasAmpleRest(quota clusterstate.Quota, limit record.Resources) bool {
	var granted record.Resources
	for _, grant := range quota.Grants {
		granted = granted.Plus(grant)
	}
	return granted.CPUs <= (1-tuning.GrantReserveShare)*limit.CPUs &&
		granted.GPUs <= (1-tuning.GrantReserveShare)*limit.GPUs
}

// newChange returns the change of a grant, conditional on the revision of the ownership record of its shard. Until
// it is done, no other change of the team is planned.
func (m *GrantManager) newChange(
	key grantKey, quota clusterstate.Quota, ownership uint64, grant record.Resources,
) Change {
	grants := maps.Clone(quota.Grants)
	if grants == nil {
		grants = map[string]record.Resources{}
	}
	if shard := strconv.Itoa(key.shard); grant == (record.Resources{}) {
		delete(grants, shard)
	} else {
		grants[shard] = grant
	}
	m.teamsInFlight[key.team] = true
	quotaKey := record.QuotaKey(key.team)
	return Change{
		Transaction: kvstore.Transaction{
			Conditions: []wire.Condition{
				{Key: quotaKey, ModRevision: quota.ModRevision},
				{Key: record.ShardKey(key.shard), ModRevision: ownership},
			},
			Ops: []wire.Op{kvstore.PutOp(quotaKey, record.Quota{Grants: grants})},
		},
		Shard: key.shard,
		Done:  func() { m.completions <- key },
	}
}
