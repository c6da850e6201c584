// Package membership keeps a node's session and the ownership of parts: one owner a
// part, a fencing token that every change of owner raises, and a leader.
package membership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Member is this node's membership.
type Member struct {
	NodeName      string
	Incarnation   uint64 // this process, among all that ran under the name
	nodeNames     []string
	schemaVersion int // the newest form of records that this process reads

	client       *kvstore.Client
	committer    *kvstore.Committer
	cache        *kvstore.WatchCache
	clusterState *clusterstate.State
	logger       *slog.Logger

	mu            sync.Mutex
	orphanedSince map[int]time.Time    // since when a part has no live owner
	sessionSince  map[string]time.Time // since when a node's session is present
	fencesRunning map[int]bool
	ownedSince    map[int]time.Time // since when a part is ours
}

// New makes the membership of node self among nodes, by a process that reads
// records up to a level.
func New(self string, incarnation uint64, nodeNames []string, schemaVersion int, c *kvstore.Client, committer *kvstore.Committer, cache *kvstore.WatchCache, w *clusterstate.State, log *slog.Logger) *Member {
	return &Member{NodeName: self, Incarnation: incarnation, nodeNames: nodeNames, schemaVersion: schemaVersion, client: c, committer: committer, cache: cache, clusterState: w, logger: log,
		orphanedSince: map[int]time.Time{}, sessionSince: map[string]time.Time{}, fencesRunning: map[int]bool{}, ownedSince: map[int]time.Time{}}
}

// Run keeps the session and takes parts until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runSession(ctx) })
	g.Go(func() error {
		changed := m.clusterState.Subscribe()
		tick := time.NewTicker(tuning.MemberTick)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
			case <-changed:
			}
			m.reviewOwnership(ctx)
		}
	})
	return g.Wait()
}

func (m *Member) runSession(ctx context.Context) error {
	tick := time.NewTicker(tuning.SessionRenew)
	defer tick.Stop()
	var hold uint64
	var registered uint64 // the revision of the registration; 0: none under this hold
	for {
		var err error
		if hold == 0 {
			hold, err = m.client.GrantLease(ctx, tuning.SessionTTL)
			registered = 0
		} else if err = m.client.RenewLease(ctx, hold); errors.Is(err, kvstore.ErrNotFound) {
			m.logger.Info("session ended, opening another")
			hold = 0
			continue
		}
		if registered != 0 && m.registrationReplaced(registered) {
			m.logger.Info("session replaced by a late one, registering again")
			registered = 0
		}
		if err == nil && registered == 0 {
			registered, err = m.register(ctx, hold)
			switch {
			case err == nil:
				m.logger.Info("session open", "node", m.NodeName, "incarnation", m.Incarnation)
			case errors.Is(err, kvstore.ErrConditionFailed):
				continue // the session before has just ended
			case errors.Is(err, kvstore.ErrRejected):
				hold = 0
			}
		}
		if err != nil && ctx.Err() == nil {
			m.logger.Debug("session", "err", err)
		}
		select {
		case <-ctx.Done():
			m.closeSession(context.WithoutCancel(ctx), hold)
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// register writes this process's session and gives the revision. It is guarded by what stood there
// before: a process that ended before it had an answer leaves a registration that may be carried out
// seconds later, and must not take the place of the one that follows it.
func (m *Member) register(ctx context.Context, hold uint64) (uint64, error) {
	key := clusterstate.NodeKey(m.NodeName)
	row, err := m.client.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return 0, err
	}
	op := kvstore.PutOp(key, clusterstate.NodeRecord{Incarnation: m.Incarnation, SchemaVersion: m.schemaVersion})
	op.LeaseID = hold
	return m.committer.Commit(ctx, kvstore.Transaction{Conditions: []wire.Condition{{Key: key, ModRevision: row.ModRevision}}, Ops: []wire.Op{op}, Priority: kvstore.PriorityUrgent})
}

// registrationReplaced tells whether the view, which holds this process's registration, shows another or none
// though its hold lives: a version before register guarded it may have written late. Such a process once
// went on believing itself registered and never owned anything again.
func (m *Member) registrationReplaced(registered uint64) bool {
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	n, there := m.clusterState.Nodes[m.NodeName]
	return m.cache.Revision() >= registered && (!there || n.Incarnation != m.Incarnation)
}

// closeSession ends the session of a node that stops in order, so that the others take
// its parts at once rather than when the session would have run out.
func (m *Member) closeSession(ctx context.Context, hold uint64) {
	if hold == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.StopGrace/2)
	defer cancel()
	if err := m.client.RevokeLease(ctx, hold); err != nil {
		m.logger.Info("session left to run out", "err", err)
	}
}

// homeNode is the node a part belongs to when all are well.
func (m *Member) homeNode(shard int) string {
	if shard == clusterstate.LeaderShard {
		return m.nodeNames[0]
	}
	return m.nodeNames[shard%len(m.nodeNames)]
}

// ownedBySelf tells whether the record names this process.
func (m *Member) ownedBySelf(p clusterstate.Shard) bool {
	return p.Owner == m.NodeName && p.Incarnation == m.Incarnation
}

// Owns tells whether this node owns a part and has seen all that was written
// before it took it. Callers hold the world's lock. The stamp is the guard of
// every write for the part.
func (m *Member) Owns(shard int) (fencingToken, modRevision uint64, ok bool) {
	p, known := m.clusterState.Shards[shard]
	if !known || !m.ownedBySelf(p) {
		return 0, 0, false
	}
	return p.FencingToken, p.ModRevision, m.cache.Revision() >= p.ModRevision && !m.isFencing(shard)
}

// MayServeAgents tells whether this node may answer a part's workers, though it may
// not have rebuilt yet. Callers hold the world's lock.
func (m *Member) MayServeAgents(shard int) (fencingToken uint64, ok bool) {
	p, known := m.clusterState.Shards[shard]
	return p.FencingToken, known && m.ownedBySelf(p)
}

// OwnerOf names a part's owner and tells whether its session lives. Callers
// hold the world's lock.
func (m *Member) OwnerOf(shard int) (string, bool) {
	p, ok := m.clusterState.Shards[shard]
	if !ok {
		return "", false
	}
	n, live := m.clusterState.Nodes[p.Owner]
	return p.Owner, live && n.Incarnation == p.Incarnation
}

func (m *Member) isFencing(shard int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fencesRunning[shard]
}

type ownershipChange struct {
	shard         int
	record        clusterstate.ShardRecord
	transaction   kvstore.Transaction
	previousOwner string
}

// reviewOwnership looks for parts to take and parts to hand back.
func (m *Member) reviewOwnership(ctx context.Context) {
	if m.cache.CompleteAsOf().IsZero() || time.Since(m.cache.CompleteAsOf()) > tuning.ReadyStale {
		return
	}
	claims, unmarked := m.ownershipChanges()
	m.client.SetBudgetShare(m.budgetShare())
	if unmarked != clusterstate.LeaderShard {
		m.Fence(ctx, unmarked, true)
	}
	for _, c := range claims {
		ctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
		_, err := m.committer.Commit(ctx, c.transaction)
		cancel()
		if err != nil {
			m.logger.Info("part not taken", "part", c.shard, "err", err)
			continue
		}
		m.logger.Info("part changes owner", "part", c.shard, "owner", c.record.Owner, "token", c.record.FencingToken, "before", c.previousOwner)
		// A new owner may act only once its view reaches its own record.
		sctx, scancel := context.WithTimeout(ctx, tuning.StateTimeout)
		_ = m.cache.WaitForReadBarrier(sctx)
		scancel()
	}
}

// budgetShare is this node's share of the state service's budget: a part is the same
// for all live nodes, the rest follows the parts, whose tasks cause the writes.
// All nodes' shares together keep within the whole.
func (m *Member) budgetShare() float64 {
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	if _, live := m.clusterState.Nodes[m.NodeName]; !live {
		return tuning.StateShare / float64(len(m.nodeNames))
	}
	owned := 0.0
	for _, p := range m.clusterState.Shards {
		if m.ownedBySelf(p) {
			owned++
		}
	}
	return tuning.StateShare * (tuning.EvenShare/float64(len(m.clusterState.Nodes)) + (1-tuning.EvenShare)*owned/float64(m.clusterState.ShardCount+1))
}

// ownershipChanges gives the parts to take and to hand back, and one of this node's own parts whose
// token does not say yet that cancellations are told late; Leader if there is none.
func (m *Member) ownershipChanges() ([]ownershipChange, int) {
	now := time.Now()
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	self, live := m.clusterState.Nodes[m.NodeName]
	for n := range m.clusterState.Nodes {
		if _, ok := m.sessionSince[n]; !ok {
			m.sessionSince[n] = now
		}
	}
	for n := range m.sessionSince {
		if _, ok := m.clusterState.Nodes[n]; !ok {
			delete(m.sessionSince, n)
		}
	}
	unmarked := clusterstate.LeaderShard
	if !live || self.Incarnation != m.Incarnation {
		return nil, unmarked
	}
	owned, level := 0, m.clusterState.SchemaVersion
	for _, p := range m.clusterState.Shards {
		if m.ownedBySelf(p) {
			owned++
		}
	}
	for part, p := range m.clusterState.Shards {
		if part != clusterstate.LeaderShard && m.ownedBySelf(p) && nextFencingToken(p.FencingToken, level) > p.FencingToken+1 {
			unmarked = part
		}
		if _, ok := m.ownedSince[part]; !m.ownedBySelf(p) {
			delete(m.ownedSince, part)
		} else if !ok {
			m.ownedSince[part] = now
		}
	}
	var out []ownershipChange
	selfGuard := wire.Condition{Key: clusterstate.NodeKey(m.NodeName), ModRevision: self.ModRevision}
	for part := clusterstate.LeaderShard; part < m.clusterState.ShardCount; part++ {
		p, known := m.clusterState.Shards[part]
		owner, alive := m.clusterState.Nodes[p.Owner]
		ownerLives := known && alive && owner.Incarnation == p.Incarnation
		if ownerLives {
			delete(m.orphanedSince, part)
			if c, ok := m.handBack(part, p, selfGuard, now); ok {
				out = append(out, c)
			}
			continue
		}
		if m.ownedBySelf(p) {
			continue // our session lapsed, but nobody has taken the part
		}
		since, ok := m.orphanedSince[part]
		if !ok {
			since = now
			m.orphanedSince[part] = now
		}
		wait := time.Duration(owned) * tuning.TakeoverStep
		if m.homeNode(part) != m.NodeName && p.Owner != m.NodeName {
			if h, up := m.clusterState.Nodes[m.homeNode(part)]; up && (h.Incarnation != p.Incarnation || m.homeNode(part) != p.Owner) || !known {
				wait += tuning.HomeGrace
			}
		} else {
			wait = 0
		}
		if now.Sub(since) < wait {
			continue
		}
		rec := clusterstate.ShardRecord{Owner: m.NodeName, Incarnation: m.Incarnation, FencingToken: nextFencingToken(p.FencingToken, level)}
		guards := []wire.Condition{{Key: clusterstate.ShardKey(part), ModRevision: p.ModRevision}, selfGuard}
		if p.Owner != m.NodeName && p.Owner != "" {
			// Absent, or present as another process: either way the owner's session is gone.
			guards = append(guards, wire.Condition{Key: clusterstate.NodeKey(p.Owner), ModRevision: owner.ModRevision})
		}
		out = append(out, ownershipChange{part, rec, kvstore.Transaction{Conditions: guards, Ops: []wire.Op{kvstore.PutOp(clusterstate.ShardKey(part), rec)}, Priority: kvstore.PriorityUrgent}, p.Owner})
		owned++
	}
	return out, unmarked
}

// handBack returns a part to its home once that node has been back for a while,
// so that a crash does not leave all parts with one node.
func (m *Member) handBack(part int, p clusterstate.Shard, selfGuard wire.Condition, now time.Time) (ownershipChange, bool) {
	home, level := m.homeNode(part), m.clusterState.SchemaVersion
	if part == clusterstate.LeaderShard || !m.ownedBySelf(p) || home == m.NodeName || m.isFencing(part) {
		return ownershipChange{}, false
	}
	h, ok := m.clusterState.Nodes[home]
	wait := tuning.HandBackAfter
	if p.HandedOff {
		wait = tuning.GivenHold
	}
	if !ok || now.Sub(m.sessionSince[home]) < wait || now.Sub(m.ownedSince[part]) < wait {
		return ownershipChange{}, false
	}
	rec := clusterstate.ShardRecord{Owner: home, Incarnation: h.Incarnation, FencingToken: nextFencingToken(p.FencingToken, level)}
	return ownershipChange{part, rec, kvstore.Transaction{
		Conditions: []wire.Condition{{Key: clusterstate.ShardKey(part), ModRevision: p.ModRevision}, selfGuard, {Key: clusterstate.NodeKey(home), ModRevision: h.ModRevision}},
		Ops:        []wire.Op{kvstore.PutOp(clusterstate.ShardKey(part), rec)}, Priority: kvstore.PriorityUrgent,
	}, m.NodeName}, true
}

// nextFencingToken gives a part's next token. From LevelCertain on it is one that says so: the level
// is never lowered, so a worker that has seen such a token proves that cancellations are
// told late, even to a process that has no view at all.
func nextFencingToken(token uint64, level int) uint64 {
	if token++; level >= tuning.LevelCertain && token < tuning.CertainToken {
		token += tuning.CertainToken
	}
	return token
}

// Fence rewrites a part's record, so that no earlier transaction guarded by it
// can be applied any more; raise also raises the token, which fences commands
// on the way to workers. It returns once the view holds all that came before.
// Until then Owns says no. Only one fence of a part runs at a time.
func (m *Member) Fence(ctx context.Context, shard int, raiseToken bool) {
	m.mu.Lock()
	if m.fencesRunning[shard] {
		m.mu.Unlock()
		return
	}
	m.fencesRunning[shard] = true
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.fencesRunning, shard)
		m.mu.Unlock()
	}()
	for ctx.Err() == nil {
		m.clusterState.RLock()
		p, known := m.clusterState.Shards[shard]
		level := m.clusterState.SchemaVersion
		m.clusterState.RUnlock()
		if !known || !m.ownedBySelf(p) {
			return
		}
		rec := p.ShardRecord
		rec.FenceCount++
		if raiseToken {
			rec.FencingToken = nextFencingToken(rec.FencingToken, level)
		}
		tctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
		_, err := m.committer.Commit(tctx, kvstore.Transaction{
			Conditions: []wire.Condition{{Key: clusterstate.ShardKey(shard), ModRevision: p.ModRevision}},
			Ops:        []wire.Op{kvstore.PutOp(clusterstate.ShardKey(shard), rec)}, Priority: kvstore.PriorityUrgent,
		})
		if err == nil {
			err = m.cache.WaitForReadBarrier(tctx)
		} else {
			_ = m.cache.WaitForReadBarrier(tctx) // it may have been applied: look again
		}
		cancel()
		if err == nil {
			m.logger.Info("part fenced", "part", shard, "token", rec.FencingToken)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.UnknownPause):
		}
	}
}

// TransferShard hands a part to another node, which hears the part's workers while this
// one does not.
func (m *Member) TransferShard(ctx context.Context, shard int, to string) {
	m.clusterState.RLock()
	p, known := m.clusterState.Shards[shard]
	n, live := m.clusterState.Nodes[to]
	level := m.clusterState.SchemaVersion
	m.clusterState.RUnlock()
	if !known || !live || !m.ownedBySelf(p) || m.isFencing(shard) {
		return
	}
	rec := clusterstate.ShardRecord{Owner: to, Incarnation: n.Incarnation, FencingToken: nextFencingToken(p.FencingToken, level), HandedOff: true}
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
	defer cancel()
	_, err := m.committer.Commit(ctx, kvstore.Transaction{
		Conditions: []wire.Condition{{Key: clusterstate.ShardKey(shard), ModRevision: p.ModRevision}, {Key: clusterstate.NodeKey(to), ModRevision: n.ModRevision}},
		Ops:        []wire.Op{kvstore.PutOp(clusterstate.ShardKey(shard), rec)}, Priority: kvstore.PriorityUrgent,
	})
	m.logger.Info("part given away: its workers report elsewhere", "part", shard, "to", to, "err", err)
}

// HasReached tells whether the view holds everything up to a revision.
func (m *Member) HasReached(revision uint64) bool { return m.cache.Revision() >= revision }
