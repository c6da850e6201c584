// Package member keeps a node's session and the ownership of parts: one owner a
// part, a fencing token that every change of owner raises, and a leader.
package member

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Member is this node's membership.
type Member struct {
	Self  string
	Inc   uint64 // this process, among all that ran under the name
	nodes []string
	level int // the newest form of records that this process reads

	client *store.Client
	commit *store.Committer
	cache  *store.Cache
	world  *world.World
	log    *slog.Logger

	mu     sync.Mutex
	orphan map[int]time.Time    // since when a part has no live owner
	seen   map[string]time.Time // since when a node's session is present
	fences map[int]bool
	took   map[int]time.Time // since when a part is ours
}

// New makes the membership of node self among nodes, by a process that reads
// records up to a level.
func New(self string, inc uint64, nodes []string, level int, c *store.Client, commit *store.Committer, cache *store.Cache, w *world.World, log *slog.Logger) *Member {
	return &Member{Self: self, Inc: inc, nodes: nodes, level: level, client: c, commit: commit, cache: cache, world: w, log: log,
		orphan: map[int]time.Time{}, seen: map[string]time.Time{}, fences: map[int]bool{}, took: map[int]time.Time{}}
}

// Run keeps the session and takes parts until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.session(ctx) })
	g.Go(func() error {
		changed := m.world.Subscribe()
		tick := time.NewTicker(tuning.MemberTick)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
			case <-changed:
			}
			m.review(ctx)
		}
	})
	return g.Wait()
}

func (m *Member) session(ctx context.Context) error {
	tick := time.NewTicker(tuning.SessionRenew)
	defer tick.Stop()
	var hold uint64
	var registered uint64 // the revision of the registration; 0: none under this hold
	for {
		var err error
		if hold == 0 {
			hold, err = m.client.OpenHold(ctx, tuning.SessionTTL)
			registered = 0
		} else if err = m.client.TouchHold(ctx, hold); errors.Is(err, store.ErrNotFound) {
			m.log.Info("session ended, opening another")
			hold = 0
			continue
		}
		if registered != 0 && m.displaced(registered) {
			m.log.Info("session replaced by a late one, registering again")
			registered = 0
		}
		if err == nil && registered == 0 {
			registered, err = m.register(ctx, hold)
			switch {
			case err == nil:
				m.log.Info("session open", "node", m.Self, "incarnation", m.Inc)
			case errors.Is(err, store.ErrGuard):
				continue // the session before has just ended
			case errors.Is(err, store.ErrRefused):
				hold = 0
			}
		}
		if err != nil && ctx.Err() == nil {
			m.log.Debug("session", "err", err)
		}
		select {
		case <-ctx.Done():
			m.leave(context.WithoutCancel(ctx), hold)
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// register writes this process's session and gives the revision. It is guarded by what stood there
// before: a process that ended before it had an answer leaves a registration that may be carried out
// seconds later, and must not take the place of the one that follows it.
func (m *Member) register(ctx context.Context, hold uint64) (uint64, error) {
	key := world.NodeKey(m.Self)
	row, err := m.client.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	op := store.Set(key, world.NodeRecord{Inc: m.Inc, Level: m.level})
	op.LeaseID = hold
	return m.commit.Do(ctx, store.Item{Guards: []wire.Condition{{Key: key, ModRevision: row.ModRevision}}, Ops: []wire.Op{op}, Urgent: true})
}

// displaced tells whether the view, which holds this process's registration, shows another or none
// though its hold lives: a version before register guarded it may have written late. Such a process once
// went on believing itself registered and never owned anything again.
func (m *Member) displaced(registered uint64) bool {
	m.world.RLock()
	defer m.world.RUnlock()
	n, there := m.world.Nodes[m.Self]
	return m.cache.Revision() >= registered && (!there || n.Inc != m.Inc)
}

// leave ends the session of a node that stops in order, so that the others take
// its parts at once rather than when the session would have run out.
func (m *Member) leave(ctx context.Context, hold uint64) {
	if hold == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.StopGrace/2)
	defer cancel()
	if err := m.client.CloseHold(ctx, hold); err != nil {
		m.log.Info("session left to run out", "err", err)
	}
}

// home is the node a part belongs to when all are well.
func (m *Member) home(part int) string {
	if part == world.Leader {
		return m.nodes[0]
	}
	return m.nodes[part%len(m.nodes)]
}

// mine tells whether the record names this process.
func (m *Member) mine(p world.Part) bool { return p.Owner == m.Self && p.Inc == m.Inc }

// Owns tells whether this node owns a part and has seen all that was written
// before it took it. Callers hold the world's lock. The stamp is the guard of
// every write for the part.
func (m *Member) Owns(part int) (token, stamp uint64, ok bool) {
	p, known := m.world.Parts[part]
	if !known || !m.mine(p) {
		return 0, 0, false
	}
	return p.Token, p.Stamp, m.cache.Revision() >= p.Stamp && !m.fencing(part)
}

// Entitled tells whether this node may answer a part's workers, though it may
// not have rebuilt yet. Callers hold the world's lock.
func (m *Member) Entitled(part int) (token uint64, ok bool) {
	p, known := m.world.Parts[part]
	return p.Token, known && m.mine(p)
}

// OwnerOf names a part's owner and tells whether its session lives. Callers
// hold the world's lock.
func (m *Member) OwnerOf(part int) (string, bool) {
	p, ok := m.world.Parts[part]
	if !ok {
		return "", false
	}
	n, live := m.world.Nodes[p.Owner]
	return p.Owner, live && n.Inc == p.Inc
}

func (m *Member) fencing(part int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fences[part]
}

type claim struct {
	part  int
	rec   world.PartRecord
	item  store.Item
	owner string
}

// review looks for parts to take and parts to hand back.
func (m *Member) review(ctx context.Context) {
	if m.cache.Fresh().IsZero() || time.Since(m.cache.Fresh()) > tuning.ReadyStale {
		return
	}
	claims, unmarked := m.claims()
	m.client.SetShare(m.share())
	if unmarked != world.Leader {
		m.Fence(ctx, unmarked, true)
	}
	for _, c := range claims {
		ctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
		_, err := m.commit.Do(ctx, c.item)
		cancel()
		if err != nil {
			m.log.Info("part not taken", "part", c.part, "err", err)
			continue
		}
		m.log.Info("part changes owner", "part", c.part, "owner", c.rec.Owner, "token", c.rec.Token, "before", c.owner)
		// A new owner may act only once its view reaches its own record.
		sctx, scancel := context.WithTimeout(ctx, tuning.StateTimeout)
		_ = m.cache.Sync(sctx)
		scancel()
	}
}

// share is this node's share of the state service's budget: a part is the same
// for all live nodes, the rest follows the parts, whose tasks cause the writes.
// All nodes' shares together keep within the whole.
func (m *Member) share() float64 {
	m.world.RLock()
	defer m.world.RUnlock()
	if _, live := m.world.Nodes[m.Self]; !live {
		return tuning.StateShare / float64(len(m.nodes))
	}
	owned := 0.0
	for _, p := range m.world.Parts {
		if m.mine(p) {
			owned++
		}
	}
	return tuning.StateShare * (tuning.EvenShare/float64(len(m.world.Nodes)) + (1-tuning.EvenShare)*owned/float64(m.world.Size+1))
}

// claims gives the parts to take and to hand back, and one of this node's own parts whose
// token does not say yet that cancellations are told late; Leader if there is none.
func (m *Member) claims() ([]claim, int) {
	now := time.Now()
	m.world.RLock()
	defer m.world.RUnlock()
	self, live := m.world.Nodes[m.Self]
	for n := range m.world.Nodes {
		if _, ok := m.seen[n]; !ok {
			m.seen[n] = now
		}
	}
	for n := range m.seen {
		if _, ok := m.world.Nodes[n]; !ok {
			delete(m.seen, n)
		}
	}
	unmarked := world.Leader
	if !live || self.Inc != m.Inc {
		return nil, unmarked
	}
	owned, level := 0, m.world.Level
	for _, p := range m.world.Parts {
		if m.mine(p) {
			owned++
		}
	}
	for part, p := range m.world.Parts {
		if part != world.Leader && m.mine(p) && nextToken(p.Token, level) > p.Token+1 {
			unmarked = part
		}
		if _, ok := m.took[part]; !m.mine(p) {
			delete(m.took, part)
		} else if !ok {
			m.took[part] = now
		}
	}
	var out []claim
	selfGuard := wire.Condition{Key: world.NodeKey(m.Self), ModRevision: self.Stamp}
	for part := world.Leader; part < m.world.Size; part++ {
		p, known := m.world.Parts[part]
		owner, alive := m.world.Nodes[p.Owner]
		ownerLives := known && alive && owner.Inc == p.Inc
		if ownerLives {
			delete(m.orphan, part)
			if c, ok := m.handBack(part, p, selfGuard, now); ok {
				out = append(out, c)
			}
			continue
		}
		if m.mine(p) {
			continue // our session lapsed, but nobody has taken the part
		}
		since, ok := m.orphan[part]
		if !ok {
			since = now
			m.orphan[part] = now
		}
		wait := time.Duration(owned) * tuning.TakeoverStep
		if m.home(part) != m.Self && p.Owner != m.Self {
			if h, up := m.world.Nodes[m.home(part)]; up && (h.Inc != p.Inc || m.home(part) != p.Owner) || !known {
				wait += tuning.HomeGrace
			}
		} else {
			wait = 0
		}
		if now.Sub(since) < wait {
			continue
		}
		rec := world.PartRecord{Owner: m.Self, Inc: m.Inc, Token: nextToken(p.Token, level)}
		guards := []wire.Condition{{Key: world.PartKey(part), ModRevision: p.Stamp}, selfGuard}
		if p.Owner != m.Self && p.Owner != "" {
			// Absent, or present as another process: either way the owner's session is gone.
			guards = append(guards, wire.Condition{Key: world.NodeKey(p.Owner), ModRevision: owner.Stamp})
		}
		out = append(out, claim{part, rec, store.Item{Guards: guards, Ops: []wire.Op{store.Set(world.PartKey(part), rec)}, Urgent: true}, p.Owner})
		owned++
	}
	return out, unmarked
}

// handBack returns a part to its home once that node has been back for a while,
// so that a crash does not leave all parts with one node.
func (m *Member) handBack(part int, p world.Part, selfGuard wire.Condition, now time.Time) (claim, bool) {
	home, level := m.home(part), m.world.Level
	if part == world.Leader || !m.mine(p) || home == m.Self || m.fencing(part) {
		return claim{}, false
	}
	h, ok := m.world.Nodes[home]
	wait := tuning.HandBackAfter
	if p.Given {
		wait = tuning.GivenHold
	}
	if !ok || now.Sub(m.seen[home]) < wait || now.Sub(m.took[part]) < wait {
		return claim{}, false
	}
	rec := world.PartRecord{Owner: home, Inc: h.Inc, Token: nextToken(p.Token, level)}
	return claim{part, rec, store.Item{
		Guards: []wire.Condition{{Key: world.PartKey(part), ModRevision: p.Stamp}, selfGuard, {Key: world.NodeKey(home), ModRevision: h.Stamp}},
		Ops:    []wire.Op{store.Set(world.PartKey(part), rec)}, Urgent: true,
	}, m.Self}, true
}

// nextToken gives a part's next token. From LevelCertain on it is one that says so: the level
// is never lowered, so a worker that has seen such a token proves that cancellations are
// told late, even to a process that has no view at all.
func nextToken(token uint64, level int) uint64 {
	if token++; level >= tuning.LevelCertain && token < tuning.CertainToken {
		token += tuning.CertainToken
	}
	return token
}

// Fence rewrites a part's record, so that no earlier transaction guarded by it
// can be applied any more; raise also raises the token, which fences commands
// on the way to workers. It returns once the view holds all that came before.
// Until then Owns says no. Only one fence of a part runs at a time.
func (m *Member) Fence(ctx context.Context, part int, raise bool) {
	m.mu.Lock()
	if m.fences[part] {
		m.mu.Unlock()
		return
	}
	m.fences[part] = true
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.fences, part)
		m.mu.Unlock()
	}()
	for ctx.Err() == nil {
		m.world.RLock()
		p, known := m.world.Parts[part]
		level := m.world.Level
		m.world.RUnlock()
		if !known || !m.mine(p) {
			return
		}
		rec := p.PartRecord
		rec.Touch++
		if raise {
			rec.Token = nextToken(rec.Token, level)
		}
		tctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
		_, err := m.commit.Do(tctx, store.Item{
			Guards: []wire.Condition{{Key: world.PartKey(part), ModRevision: p.Stamp}},
			Ops:    []wire.Op{store.Set(world.PartKey(part), rec)}, Urgent: true,
		})
		if err == nil {
			err = m.cache.Sync(tctx)
		} else {
			_ = m.cache.Sync(tctx) // it may have been applied: look again
		}
		cancel()
		if err == nil {
			m.log.Info("part fenced", "part", part, "token", rec.Token)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.UnknownPause):
		}
	}
}

// Give hands a part to another node, which hears the part's workers while this
// one does not.
func (m *Member) Give(ctx context.Context, part int, to string) {
	m.world.RLock()
	p, known := m.world.Parts[part]
	n, live := m.world.Nodes[to]
	level := m.world.Level
	m.world.RUnlock()
	if !known || !live || !m.mine(p) || m.fencing(part) {
		return
	}
	rec := world.PartRecord{Owner: to, Inc: n.Inc, Token: nextToken(p.Token, level), Given: true}
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
	defer cancel()
	_, err := m.commit.Do(ctx, store.Item{
		Guards: []wire.Condition{{Key: world.PartKey(part), ModRevision: p.Stamp}, {Key: world.NodeKey(to), ModRevision: n.Stamp}},
		Ops:    []wire.Op{store.Set(world.PartKey(part), rec)}, Urgent: true,
	})
	m.log.Info("part given away: its workers report elsewhere", "part", part, "to", to, "err", err)
}

// Seen tells whether the view holds everything up to a revision.
func (m *Member) Seen(rev uint64) bool { return m.cache.Revision() >= rev }
