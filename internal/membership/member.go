package membership

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/tuning"
)

// Config holds the configuration and the dependencies of a Member.
type Config struct {
	NodeName      string
	Incarnation   uint64   // distinguishes this process from all others that have used the node name
	NodeNames     []string // of all nodes of the deployment, in the same order on every node
	SchemaVersion int      // newest version that this process reads

	Client       *kvstore.Client
	Committer    *kvstore.Committer
	Cache        *kvstore.WatchCache
	ClusterState *clusterstate.State
	Logger       *slog.Logger
}

// Member manages this node's membership in the cluster: its session and the
// shards that it owns. It is safe for concurrent use. Methods whose comment says
// so must be called with the cluster state's lock held. That lock is acquired
// before the Member's own locks.
type Member struct {
	NodeName    string
	Incarnation uint64 // distinguishes this process from all others that have used the node name

	nodeNames    []string
	client       *kvstore.Client
	committer    *kvstore.Committer
	cache        *kvstore.WatchCache
	clusterState *clusterstate.State
	logger       *slog.Logger
	session      *session
	fences       runningFences
	history      ownershipHistory
}

// New returns the membership of a node.
func New(config Config) *Member {
	return &Member{
		NodeName:     config.NodeName,
		Incarnation:  config.Incarnation,
		nodeNames:    config.NodeNames,
		client:       config.Client,
		committer:    config.Committer,
		cache:        config.Cache,
		clusterState: config.ClusterState,
		logger:       config.Logger,
		session:      newSession(config),
		fences:       runningFences{shards: map[int]bool{}},
		history:      newOwnershipHistory(),
	}
}

// Run maintains the session and reviews the ownership of shards until ctx is
// done. It then ends the session and returns the error of ctx.
func (m *Member) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.session.run(ctx) })
	group.Go(func() error { return m.reviewPeriodically(ctx) })
	return group.Wait()
}

// reviewPeriodically reviews the ownership of shards at each change of the
// cluster state, and at least every tuning.MembershipInterval.
func (m *Member) reviewPeriodically(ctx context.Context) error {
	changed := m.clusterState.Subscribe()
	ticker := time.NewTicker(tuning.MembershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-changed:
		}
		m.reviewOwnership(ctx)
	}
}
