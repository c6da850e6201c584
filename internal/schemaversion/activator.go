package schemaversion

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var activeVersionGauge = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "sableusher_record_level",
	Help: "The schema version of the records that are written: the newest that all nodes were seen to read.",
})

// Committer commits transactions.
type Committer interface {
	Commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error)
}

// Owner says what this node owns. The caller holds the cluster state's lock.
type Owner interface {
	Ownership(shard int) (membership.Ownership, bool)
}

// LimitSwitcher is the key-value store's client, which keeps to lower limits
// once records can be split.
type LimitSwitcher interface {
	ApplyUpcomingLimits()
	MaxTransactionOps() int
}

// Config is what an Activator is made of.
type Config struct {
	NodeNames        []string // of the whole deployment
	SupportedVersion int      // the newest that this process reads

	ClusterState *clusterstate.State
	Owner        Owner
	Committer    Committer
	Limits       LimitSwitcher
	Logger       *slog.Logger
}

// Activator activates schema versions while this node leads, and follows their
// activation on every node. Its methods belong to one goroutine, that of Run.
type Activator struct {
	config            Config
	lastLoggedBlocker blocker
	lastLoggedVersion int
}

// NewActivator returns an activator.
func NewActivator(config Config) *Activator { return &Activator{config: config} }

// Run looks for a version to activate after each change of the cluster state,
// until ctx ends.
func (a *Activator) Run(ctx context.Context) error {
	changed := a.config.ClusterState.Subscribe()
	for {
		a.check(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		// Changes come many a second; activation is not in that hurry.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tuning.MembershipInterval):
		}
	}
}

// check follows the active version and commits the activation of the next one
// where that is possible.
func (a *Activator) check(ctx context.Context) {
	a.config.ClusterState.RLock()
	version := a.config.ClusterState.SchemaVersion
	next := a.planActivation()
	a.config.ClusterState.RUnlock()
	a.followVersion(version)
	a.logBlocker(next.blocker)
	if next.transaction == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	if _, err := a.config.Committer.Commit(ctx, *next.transaction); err != nil {
		a.config.Logger.Info("schema version not activated yet", "err", err)
	}
}

// followVersion publishes a version that has become active, and lowers the
// store's limits once records can be split.
func (a *Activator) followVersion(version int) {
	if version == a.lastLoggedVersion {
		return
	}
	a.lastLoggedVersion = version
	activeVersionGauge.Set(float64(version))
	a.config.Logger.Info("schema version active",
		"schema_version", version, "supported_version", a.config.SupportedVersion)
	if version >= tuning.SchemaVersionDependencies {
		a.config.Limits.ApplyUpcomingLimits()
	}
}

// logBlocker logs what activation waits for when that has changed.
func (a *Activator) logBlocker(b blocker) {
	if b == a.lastLoggedBlocker {
		return
	}
	a.lastLoggedBlocker = b
	if b.reason != notBlocked {
		a.config.Logger.Info("schema version waits", "reason", b.reason, "node", b.node)
	}
}

// blockReason says why a version that this process reads is not activated.
type blockReason int

const (
	notBlocked blockReason = iota
	// blockedByNode: a node has no session, or its process reads only older versions.
	blockedByNode
	// blockedByTransactionSize: there are more nodes than a transaction may have conditions.
	blockedByTransactionSize
)

// String describes the reason.
func (r blockReason) String() string {
	switch r {
	case notBlocked:
		return "not blocked"
	case blockedByNode:
		return "node is absent or too old"
	case blockedByTransactionSize:
		return "more nodes than conditions in a transaction"
	}
	return fmt.Sprintf("blockReason(%d)", int(r))
}

// blocker is what activation waits for.
type blocker struct {
	reason blockReason
	node   string // where reason is blockedByNode
}

// activation is the change that activates a version, if it is possible now, and
// what stands in the way of the newest one.
type activation struct {
	transaction *kvstore.Transaction // nil: nothing to commit
	blocker     blocker
}

// planActivation plans to raise the version, if this node leads and every node
// is there with a process that reads it. The sessions themselves are
// conditions: a node that goes down, or comes back as an older version, before
// the change is applied makes it fail. A node that is down or cut off has no
// session and is waited for. The caller holds the cluster state's lock.
func (a *Activator) planActivation() activation {
	state := a.config.ClusterState
	if state.SchemaVersion >= a.config.SupportedVersion {
		return activation{}
	}
	leadership, leads := a.config.Owner.Ownership(record.LeaderShard)
	if !leads {
		return activation{}
	}
	conditions := []wire.Condition{
		{Key: record.SchemaVersionKey, ModRevision: state.SchemaVersionModRevision},
		{Key: record.ShardKey(record.LeaderShard), ModRevision: leadership.ModRevision},
	}
	var blocked blocker
	version := a.config.SupportedVersion
	for _, name := range a.config.NodeNames {
		node, live := state.Nodes[name]
		if !live {
			return activation{blocker: blocker{reason: blockedByNode, node: name}}
		}
		if node.SchemaVersion < a.config.SupportedVersion {
			// All may read a version between.
			version = min(version, node.SchemaVersion)
			blocked = blocker{reason: blockedByNode, node: name}
		}
		conditions = append(conditions, wire.Condition{Key: record.NodeKey(name), ModRevision: node.ModRevision})
	}
	if version <= state.SchemaVersion {
		return activation{blocker: blocked}
	}
	if len(conditions) > tuning.TxnConditionsPerOp*a.config.Limits.MaxTransactionOps() {
		return activation{blocker: blocker{reason: blockedByTransactionSize}}
	}
	next := record.SchemaVersion{Version: version}
	return activation{
		transaction: &kvstore.Transaction{
			Conditions: conditions,
			Ops:        []wire.Op{kvstore.PutOp(record.SchemaVersionKey, next)},
			Priority:   kvstore.PriorityUrgent,
		},
		blocker: blocked,
	}
}
