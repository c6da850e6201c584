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

// Owner provides this node's ownership of shards. Ownership must be called with
// the cluster state's lock held.
type Owner interface {
	Ownership(shard int) (membership.Ownership, bool)
}

// LimitSwitcher is the part of the key-value store's client that switches to the
// lower limits the store will have. It is used once records can be split.
type LimitSwitcher interface {
	ApplyUpcomingLimits()
	MaxTransactionOps() int
}

// Config holds the configuration and the dependencies of an Activator.
type Config struct {
	NodeNames        []string // of all nodes of the deployment
	SupportedVersion int      // newest version that this process reads

	ClusterState *clusterstate.State
	Owner        Owner
	Committer    Committer
	Limits       LimitSwitcher
	Logger       *slog.Logger
}

// Activator activates schema versions while this node is the leader. On every node
// it applies the effects of an activation to the process. It is not safe for
// concurrent use: after construction only the goroutine of Run uses it.
type Activator struct {
	config            Config
	lastLoggedBlocker blocker
	appliedVersion    int
}

// NewActivator returns an activator.
func NewActivator(config Config) *Activator { return &Activator{config: config} }

// Run checks for a version to activate after changes of the cluster state, until
// ctx is done. It returns the error of ctx.
func (a *Activator) Run(ctx context.Context) error {
	changed := a.config.ClusterState.Subscribe()
	for {
		a.check(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		// The state may change many times per second, and activation is not urgent.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tuning.MembershipInterval):
		}
	}
}

// check applies a change of the active version and commits the activation of the
// next version if that is possible.
func (a *Activator) check(ctx context.Context) {
	a.config.ClusterState.RLock()
	version := a.config.ClusterState.SchemaVersion
	next := a.planActivation()
	a.config.ClusterState.RUnlock()
	a.applyVersion(version)
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

// applyVersion logs and exports a newly active version, and switches to the
// store's upcoming limits once the version allows records to be split.
func (a *Activator) applyVersion(version int) {
	if version == a.appliedVersion {
		return
	}
	a.appliedVersion = version
	activeVersionGauge.Set(float64(version))
	a.config.Logger.Info("schema version active",
		"schema_version", version, "supported_version", a.config.SupportedVersion)
	if version >= tuning.SchemaVersionDependencies {
		a.config.Limits.ApplyUpcomingLimits()
	}
}

// logBlocker logs what blocks the activation if that has changed.
func (a *Activator) logBlocker(b blocker) {
	if b == a.lastLoggedBlocker {
		return
	}
	a.lastLoggedBlocker = b
	if b.reason != notBlocked {
		a.config.Logger.Info("schema version waits", "reason", b.reason, "node", b.node)
	}
}

// blockReason is the reason why a version that this process reads is not activated.
type blockReason int

const (
	notBlocked blockReason = iota
	// blockedByNode: a node has no session, or its process reads only older versions.
	blockedByNode
	// blockedByTransactionSize: the activation needs more conditions than a transaction may have.
	blockedByTransactionSize
)

// String returns a description of the reason for the log.
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

// blocker describes what blocks the activation of a version.
type blocker struct {
	reason blockReason
	node   string // set if reason is blockedByNode
}

// activation is the transaction that activates a version, if one can be activated
// now, and what blocks the activation of the newest version.
type activation struct {
	transaction *kvstore.Transaction // nil if no version can be activated now
	blocker     blocker
}

// planActivation plans the activation of the newest version that all nodes read,
// if this node is the leader and every node has a session. The sessions are
// conditions of the transaction: it fails if a node goes down, or restarts with
// an older version, before the transaction is applied. A node that is down or
// partitioned from the store has no session and blocks the activation. The caller
// must hold the cluster state's lock.
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
			// All nodes may still read a version between the active and the newest one.
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
