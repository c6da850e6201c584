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

// maxCompletions is the capacity of the queue of settled changes that PlanChanges has not applied yet.
const maxCompletions = 1024

// GrantManager plans the changes of the grants of this node's shards. It is not safe for concurrent use, and
// callers of its methods must hold the lock of the cluster state. Only Change.Done may be called by other
// goroutines at any time.
type GrantManager struct {
	teams map[string]config.Team
	state *clusterstate.State

	// requested holds, by grant, the largest usage that did not fit in the grant since the last PlanChanges.
	requested map[grantKey]record.Resources
	// reductionsInFlight holds the lower value of each grant whose reduction is in flight. Allows compares
	// usage with this value before the reduction is committed.
	reductionsInFlight map[grantKey]record.Resources
	teamsInFlight      map[string]bool        // teams that have a change of their grants in flight
	surplusSince       map[grantKey]time.Time // time since which a grant has been larger than needed
	completions        chan grantKey          // changes whose outcome is known
}

// grantKey identifies the grant of a team in a shard.
type grantKey struct {
	shard int
	team  string
}

// Change is a planned change of one grant, which the caller commits.
type Change struct {
	Transaction kvstore.Transaction
	Shard       int // shard whose grant is changed
	// Done must be called once the transaction has been applied or can no longer be applied. It must not
	// be called earlier. It is safe for concurrent use.
	Done func()
}

// UsageFunc returns the resources of a team's tasks that are charged to a shard, including those of bindings
// in flight.
type UsageFunc func(shard int, team string) record.Resources

// New returns a manager of the grants of teams. It reads the current grants from state.
func New(teams []config.Team, state *clusterstate.State) *GrantManager {
	manager := &GrantManager{
		teams:              make(map[string]config.Team, len(teams)),
		state:              state,
		requested:          map[grantKey]record.Resources{},
		reductionsInFlight: map[grantKey]record.Resources{},
		teamsInFlight:      map[string]bool{},
		surplusSince:       map[grantKey]time.Time{},
		completions:        make(chan grantKey, maxCompletions),
	}
	for _, team := range teams {
		manager.teams[team.Name] = team
	}
	return manager
}

// Allows reports whether the grant of a team in a shard covers the given total usage. If it does not, the
// next PlanChanges tries to raise the grant. Teams without a limit are always allowed.
func (m *GrantManager) Allows(shard int, team string, usage record.Resources) bool {
	if _, limited := m.Limit(team); !limited {
		return true
	}
	key := grantKey{shard, team}
	usage = withoutMemory(usage)
	grant, reducing := m.reductionsInFlight[key]
	if !reducing {
		grant = grantOf(m.state.Quotas[team], shard)
	}
	if usage.FitsIn(grant) {
		return true
	}
	m.requested[key] = maxResources(m.requested[key], usage)
	return false
}

// grantOf returns the grant of a shard according to a team's record.
func grantOf(quota clusterstate.Quota, shard int) record.Resources {
	return quota.Grants[strconv.Itoa(shard)]
}

// PlanChanges returns the changes of grants that are due now. owned holds, by shard, the modification
// revision of the ownership record of each shard that this node owns.
func (m *GrantManager) PlanChanges(now time.Time, owned map[int]uint64, usage UsageFunc) []Change {
	m.applyCompletions()
	changes := m.planRaises(owned)
	return append(changes, m.planReductions(now, owned, usage)...)
}

// applyCompletions marks the changes whose outcome is known as no longer in flight.
func (m *GrantManager) applyCompletions() {
	for {
		select {
		case key := <-m.completions:
			delete(m.teamsInFlight, key.team)
			delete(m.reductionsInFlight, key)
		default:
			return
		}
	}
}

// planRaises returns the changes that raise grants to the requested usage, and clears the requests.
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

// raised returns a grant raised to the requested usage plus headroom, as far as the grants of the other
// shards leave that much of the limit.
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

// raisedAmount returns one dimension of a grant, raised to requested plus headroom but to at most left, the
// part of the limit that the other shards' grants leave. The headroom is reduced so that
// tuning.GrantReserveFraction of the limit stays ungranted for other shards' requests.
func raisedAmount(grant, requested, headroom, left, limit float64) float64 {
	withHeadroom := min(requested+headroom, left-tuning.GrantReserveFraction*limit)
	return max(grant, min(max(requested, withHeadroom), left))
}

// surplusRule decides whether the grants of a team are larger than needed and are to be lowered.
type surplusRule struct {
	limited  bool             // whether the team has a limit
	headroom record.Resources // see GrantManager.headroom
}

// planReductions returns the changes that lower grants which have been larger than needed for too long.
func (m *GrantManager) planReductions(now time.Time, owned map[int]uint64, usage UsageFunc) []Change {
	var changes []Change
	for team, quota := range m.state.Quotas {
		limit, limited := m.Limit(team)
		if limited && (m.teamsInFlight[team] || m.hasUngrantedReserve(quota, limit)) {
			continue // other shards can be granted more without this team's surplus
		}
		rule := surplusRule{limited: limited, headroom: m.headroom(limit)}
		for name, grant := range quota.Grants {
			shard, _ := strconv.Atoi(name) // the keys of the record are shard numbers
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
				m.reductionsInFlight[key] = needed
			}
		}
	}
	return changes
}

// surplusFor returns for how long a grant has been larger than needed. The first call for a grant starts
// the measurement and returns 0.
func (m *GrantManager) surplusFor(now time.Time, key grantKey) time.Duration {
	since, known := m.surplusSince[key]
	if !known {
		m.surplusSince[key] = now
		return 0
	}
	return now.Sub(since)
}

// needed returns the part of a grant that a shard should keep. If the team has a limit, this is the shard's
// usage plus half the headroom, but no more than the grant. Otherwise it is the usage.
func (r surplusRule) needed(grant, usage record.Resources) record.Resources {
	used := withoutMemory(usage)
	if !r.limited {
		return used
	}
	return minResources(used.PlusTimes(r.headroom, 0.5), grant)
}

// reductionDue reports whether a grant has been larger than needed for long enough to be lowered. A surplus
// of at most half the headroom above what is needed may be kept for longer.
func (r surplusRule) reductionDue(surplusFor time.Duration, grant, needed record.Resources) bool {
	if surplusFor > tuning.GrantSmallSurplusRetention {
		return true
	}
	isSmall := r.limited && grant.FitsIn(needed.PlusTimes(r.headroom, 0.5))
	return surplusFor > tuning.GrantSurplusRetention && !isSmall
}

// headroom returns the amount by which a raised grant exceeds the requested usage, rounded down to whole
// cores and GPUs.
func (m *GrantManager) headroom(limit record.Resources) record.Resources {
	fraction := tuning.GrantHeadroomFraction / float64(m.state.ShardCount)
	return record.Resources{CPUs: math.Floor(limit.CPUs * fraction), GPUs: math.Floor(limit.GPUs * fraction)}
}

// hasUngrantedReserve reports whether at least tuning.GrantReserveFraction of a team's limit is ungranted, so that
// shards can request more.
func (m *GrantManager) hasUngrantedReserve(quota clusterstate.Quota, limit record.Resources) bool {
	var granted record.Resources
	for _, grant := range quota.Grants {
		granted = granted.Plus(grant)
	}
	return granted.CPUs <= (1-tuning.GrantReserveFraction)*limit.CPUs &&
		granted.GPUs <= (1-tuning.GrantReserveFraction)*limit.GPUs
}

// newChange returns the change that sets a grant. Its transaction is conditional on the revisions of the team's
// record and of the ownership record of the shard. Until Done is called, no other change for the team is planned.
func (m *GrantManager) newChange(
	key grantKey, quota clusterstate.Quota, ownershipRevision uint64, grant record.Resources,
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
				{Key: record.ShardKey(key.shard), ModRevision: ownershipRevision},
			},
			Ops: []wire.Op{kvstore.PutOp(quotaKey, record.Quota{Grants: grants})},
		},
		Shard: key.shard,
		Done:  func() { m.completions <- key },
	}
}
