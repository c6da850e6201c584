// Package upgrade brings in new forms of records. Each process tells with its
// session which forms it reads; once all nodes of the deployment are there with
// processes that read a form, the leader writes so, and from then on it is written.
// Nobody takes that back.
package upgrade

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/config"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

var levelGauge = promauto.NewGauge(prometheus.GaugeOpts{Name: "sableusher_record_level",
	Help: "The form of records that is written: the newest that all nodes were seen to read."})

// Committer commits items.
type Committer interface {
	Do(ctx context.Context, it store.Item) (uint64, error)
}

// Owner tells what this node owns. Callers hold the world's lock.
type Owner interface {
	Owns(part int) (token, stamp uint64, ok bool)
}

// Limits are the state service's, lowered once records can be split.
type Limits interface {
	Lower()
	TxnOps() int
}

// Upgrade is this node's part in it.
type Upgrade struct {
	set    *config.Settings
	world  *world.World
	owner  Owner
	commit Committer
	limits Limits
	newest int // the newest level that this process reads
	log    *slog.Logger
	told   string // what activation waits for, as last logged
	level  int    // as last logged
}

// New makes the duty of a process that reads records up to a level.
func New(set *config.Settings, newest int, w *world.World, o Owner, c Committer, l Limits, log *slog.Logger) *Upgrade {
	return &Upgrade{set: set, newest: newest, world: w, owner: o, commit: c, limits: l, log: log}
}

// Run looks at the levels after each change of the view, until ctx ends.
func (u *Upgrade) Run(ctx context.Context) error {
	changed := u.world.Subscribe()
	for {
		u.look(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		// Changes come many a second; activation is not in that hurry.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tuning.MemberTick):
		}
	}
}

func (u *Upgrade) look(ctx context.Context) {
	u.world.RLock()
	level := u.world.Level
	item, missing := u.activation()
	u.world.RUnlock()
	if level != u.level {
		u.level = level
		levelGauge.Set(float64(level))
		u.log.Info("form of records", "level", level, "newest", u.newest)
		if level >= tuning.LevelPipelines {
			u.limits.Lower()
		}
	}
	if missing != u.told {
		if u.told = missing; missing != "" {
			u.log.Info("new form of records waits for a node", "missing", missing)
		}
	}
	if item == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	if _, err := u.commit.Do(ctx, *item); err != nil {
		u.log.Info("new form of records not activated yet", "err", err)
	}
}

// activation is the change that raises the level, if this node leads and every
// node is there with a process that reads it. The sessions themselves guard it: a
// node that goes down, or comes back as an older version, before it is applied
// makes it fail. A node that is down or cut off has no session and is waited for.
// Callers hold the world's lock.
func (u *Upgrade) activation() (*store.Item, string) {
	if u.world.Level >= u.newest {
		return nil, ""
	}
	_, stamp, leads := u.owner.Owns(world.Leader)
	if !leads {
		return nil, ""
	}
	guards := []wire.Condition{{Key: world.LevelKey, ModRevision: u.world.LevelStamp}, {Key: world.PartKey(world.Leader), ModRevision: stamp}}
	level, missing := u.newest, ""
	for _, name := range u.set.Nodes() {
		n, live := u.world.Nodes[name]
		if !live {
			return nil, name
		}
		if n.Level < u.newest {
			// All may read one between.
			level, missing = min(level, n.Level), name
		}
		guards = append(guards, wire.Condition{Key: world.NodeKey(name), ModRevision: n.Stamp})
	}
	if level <= u.world.Level {
		return nil, missing
	}
	if len(guards) > tuning.GuardsPerOp*u.limits.TxnOps() {
		return nil, "more nodes than one transaction has conditions"
	}
	return &store.Item{Guards: guards, Ops: []wire.Op{store.Set(world.LevelKey, world.LevelRecord{Level: level})}, Urgent: true}, missing
}
