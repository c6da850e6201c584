// Package controller puts the parts of one controller process together.
//
// It makes each part with what it depends on and runs their loops side by side; it decides nothing itself
// and holds no state. A part that fails ends the whole process: the others could not keep the safety
// invariants without it, and a new process rebuilds everything from records and heartbeats (invariant 3).
package controller

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/agent"
	"sableusher/internal/api"
	"sableusher/internal/autoscaler"
	"sableusher/internal/cloud"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/dependency"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/schemaversion"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// PeerTransport connects a controller with the other nodes and with other cells.
type PeerTransport interface {
	scheduler.Peers
	offload.Line
	// LastAnswered tells when a node last answered this one; zero if it never did.
	LastAnswered(node string) time.Time
	// SetCellHandler sets what answers other cells. It is called before Run, if at all.
	SetCellHandler(handler peerrpc.CellHandler)
	// Run answers other nodes until ctx ends.
	Run(ctx context.Context) error
}

// ConnectPeers makes the connections to other nodes; agents is what they may ask this one about.
type ConnectPeers func(agents peerrpc.AgentRegistry) (PeerTransport, error)

// Config is what a controller is made of.
type Config struct {
	Settings *config.Settings
	Operator *config.Operator
	// Incarnation distinguishes this process from all others under the node's name.
	Incarnation uint64
	// SchemaVersion is the newest one whose records this process reads: tuning.Level, except in tests of
	// upgrades.
	SchemaVersion int
	// Transport carries the requests to the store, the cloud and agents; nil: the network.
	Transport    http.RoundTripper
	ConnectPeers ConnectPeers
	Logger       *slog.Logger
}

// Controller is one controller process.
type Controller struct {
	handler http.Handler
	loops   []func(context.Context) error
}

// New makes a controller; nothing runs and nothing is sent before Run. The only error is that of
// ConnectPeers.
func New(c Config) (*Controller, error) {
	settings, operator, logger := c.Settings, c.Operator, c.Logger
	deployment := &settings.Deployment

	client := newStoreClient(settings, c.Transport)
	state := clusterstate.New(deployment.Size, logger)
	cache := kvstore.NewWatchCache(client, record.LivePrefix, state, logger)
	committer := kvstore.NewCommitter(client, func(ops []wire.Op, revision uint64) { cache.ApplyOwn(ops, revision) })
	committer.SetObserver(cache)
	members := membership.New(membership.Config{
		NodeName:      settings.Node,
		Incarnation:   c.Incarnation,
		NodeNames:     settings.Nodes(),
		SchemaVersion: c.SchemaVersion,
		Client:        client,
		Committer:     committer,
		Cache:         cache,
		ClusterState:  state,
		Logger:        logger,
	})

	agents := agent.New(agent.Config{
		Settings:     settings,
		ClusterState: state,
		Membership:   members,
		CompleteAsOf: cache.CompleteAsOf,
		Logger:       logger,
		Transport:    c.Transport,
	})
	peers, err := c.ConnectPeers(agents)
	if err != nil {
		return nil, err
	}
	agents.SetPeerLastAnswered(peers.LastAnswered)

	engine := scheduler.New(scheduler.Config{
		Settings:     settings,
		Operator:     operator,
		ClusterState: state,
		Membership:   members,
		Agents:       agents,
		Committer:    committer,
		Reader:       client,
		Peers:        peers,
		Logger:       logger,
	})
	cloudClient := cloud.New(cloud.Options{
		Address:           settings.Outside.Cloud,
		RequestsPerSecond: deployment.Cloud.RPS,
		Controllers:       deployment.Size,
		Transport:         c.Transport,
	})
	scaler := autoscaler.New(autoscaler.Options{
		Settings:  settings,
		Operator:  operator,
		State:     state,
		Members:   members,
		Scheduler: engine,
		Cloud:     cloudClient,
		Committer: committer,
		Log:       logger,
	})
	dependencies := dependency.NewResolver(state, client, logger)
	versions := schemaversion.NewActivator(schemaversion.Config{
		NodeNames:        settings.Nodes(),
		SupportedVersion: c.SchemaVersion,
		ClusterState:     state,
		Owner:            members,
		Committer:        committer,
		Limits:           client,
		Logger:           logger,
	})
	offloads := offload.New(operator, deployment.Teams, state, members, committer, peers, logger)
	if len(operator.Cells) > 0 {
		peers.SetCellHandler(offloads.Answer)
	}
	server := api.New(api.Config{
		Settings:     settings,
		Operator:     operator,
		ClusterState: state,
		Reader:       client,
		Committer:    committer,
		Barrier:      cache,
		Agents:       agents,
		Logger:       logger,
	})
	return &Controller{handler: server.Handler(), loops: []func(context.Context) error{
		cache.Run, committer.Run, members.Run, agents.Run,
		engine.Run, engine.RunLearner, engine.TrackRemoteImages,
		scaler.Run, peers.Run, dependencies.Run, versions.Run, offloads.Run,
	}}, nil
}

// newStoreClient makes the client of the key-value store with this node's share of its limits.
func newStoreClient(settings *config.Settings, transport http.RoundTripper) *kvstore.Client {
	limits := &settings.Deployment.State
	client := kvstore.NewClient(settings.Outside.State, kvstore.Limits{
		BudgetShare:       tuning.StateShare / float64(settings.Deployment.Size),
		RequestsPerSecond: limits.RPS,
		WritesPerSecond:   limits.WriteRPS,
		MaxValueKiB:       limits.ValueKB,
		MaxTransactionOps: limits.TxnOps,
	}, transport)
	upcoming := settings.NextState()
	client.SetUpcomingLimits(kvstore.Limits{
		RequestsPerSecond: upcoming.RPS,
		WritesPerSecond:   upcoming.WriteRPS,
		MaxValueKiB:       upcoming.ValueKB,
		MaxTransactionOps: upcoming.TxnOps,
	})
	return client
}

// Handler serves users, agents and health checks.
func (c *Controller) Handler() http.Handler { return c.handler }

// Run runs all loops until ctx ends or one of them fails, and waits for the others; it gives the first error.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range c.loops {
		group.Go(func() error { return loop(ctx) })
	}
	return group.Wait()
}
