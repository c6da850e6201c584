// Package schemaversion brings in new forms of records. Each process tells with its
// session which forms it reads; once all nodes of the deployment are there with
// processes that read a form, the leader writes so, and from then on it is written.
// Nobody takes that back.
package schemaversion

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var activeVersionGauge = promauto.NewGauge(prometheus.GaugeOpts{Name: "sableusher_record_level",
	Help: "The form of records that is written: the newest that all nodes were seen to read."})

// Committer commits items.
type Committer interface {
	Commit(ctx context.Context, it kvstore.Transaction) (uint64, error)
}

// Owner tells what this node owns. Callers hold the world's lock.
type Owner interface {
	Owns(part int) (token, stamp uint64, ok bool)
}

// LimitSwitcher are the state service's, lowered once records can be split.
type LimitSwitcher interface {
	ApplyUpcomingLimits()
	MaxTransactionOps() int
}

// Activator is this node's part in it.
type Activator struct {
	settings          *config.Settings
	clusterState      *clusterstate.State
	ownership         Owner
	committer         Committer
	limits            LimitSwitcher
	supportedVersion  int // the newest level that this process reads
	logger            *slog.Logger
	lastLoggedMissing string // what activation waits for, as last logged
	lastLoggedVersion int    // as last logged
}

// NewActivator makes the duty of a process that reads records up to a level.
func NewActivator(settings *config.Settings, supportedVersion int, w *clusterstate.State, o Owner, c Committer, l LimitSwitcher, log *slog.Logger) *Activator {
	return &Activator{settings: settings, supportedVersion: supportedVersion, clusterState: w, ownership: o, committer: c, limits: l, logger: log}
}

// Run looks at the levels after each change of the view, until ctx ends.
func (u *Activator) Run(ctx context.Context) error {
	changed := u.clusterState.Subscribe()
	for {
		u.check(ctx)
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

func (u *Activator) check(ctx context.Context) {
	u.clusterState.RLock()
	level := u.clusterState.SchemaVersion
	item, missing := u.activationTransaction()
	u.clusterState.RUnlock()
	if level != u.lastLoggedVersion {
		u.lastLoggedVersion = level
		activeVersionGauge.Set(float64(level))
		u.logger.Info("form of records", "level", level, "newest", u.supportedVersion)
		if level >= tuning.LevelPipelines {
			u.limits.ApplyUpcomingLimits()
		}
	}
	if missing != u.lastLoggedMissing {
		if u.lastLoggedMissing = missing; missing != "" {
			u.logger.Info("new form of records waits for a node", "missing", missing)
		}
	}
	if item == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	if _, err := u.committer.Commit(ctx, *item); err != nil {
		u.logger.Info("new form of records not activated yet", "err", err)
	}
}

// activationTransaction is the change that raises the level, if this node leads and every
// node is there with a process that reads it. The sessions themselves guard it: a
// node that goes down, or comes back as an older version, before it is applied
// makes it fail. A node that is down or cut off has no session and is waited for.
// Callers hold the world's lock.
func (u *Activator) activationTransaction() (*kvstore.Transaction, string) {
	if u.clusterState.SchemaVersion >= u.supportedVersion {
		return nil, ""
	}
	_, stamp, leads := u.ownership.Owns(clusterstate.LeaderShard)
	if !leads {
		return nil, ""
	}
	guards := []wire.Condition{{Key: clusterstate.SchemaVersionKey, ModRevision: u.clusterState.SchemaVersionModRevision}, {Key: clusterstate.ShardKey(clusterstate.LeaderShard), ModRevision: stamp}}
	level, missing := u.supportedVersion, ""
	for _, name := range u.settings.Nodes() {
		n, live := u.clusterState.Nodes[name]
		if !live {
			return nil, name
		}
		if n.SchemaVersion < u.supportedVersion {
			// All may read one between.
			level, missing = min(level, n.SchemaVersion), name
		}
		guards = append(guards, wire.Condition{Key: clusterstate.NodeKey(name), ModRevision: n.ModRevision})
	}
	if level <= u.clusterState.SchemaVersion {
		return nil, missing
	}
	if len(guards) > tuning.GuardsPerOp*u.limits.MaxTransactionOps() {
		return nil, "more nodes than one transaction has conditions"
	}
	return &kvstore.Transaction{Conditions: guards, Ops: []wire.Op{kvstore.PutOp(clusterstate.SchemaVersionKey, clusterstate.SchemaVersionRecord{Version: level})}, Priority: kvstore.PriorityUrgent}, missing
}
