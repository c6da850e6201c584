// Package controller puts the slices of one controller together.
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

// Controller is a controller.
type Controller struct {
	handler http.Handler
	loops   []func(context.Context) error
}

// PeerTransport are a node's lines to the other nodes.
type PeerTransport interface {
	scheduler.Peers
	// LastAnswered tells when a node last answered this one.
	LastAnswered(node string) time.Time
	Run(ctx context.Context) error
	offload.Line
	// SetCellHandler sets what answers other cells.
	SetCellHandler(a peerrpc.CellHandler)
}

// New makes a controller. inc tells this process from all others under its
// name; level is the newest form of records that it reads, tuning.Level but for
// tests of upgrades; rt carries its requests, nil for the network; lines makes the lines to
// the other nodes.
func New(settings *config.Settings, operator *config.Operator, incarnation uint64, schemaVersion int, transport http.RoundTripper, connectPeers func(peerrpc.AgentRegistry) (PeerTransport, error), logger *slog.Logger) (*Controller, error) {
	deployment := &settings.Deployment
	client := kvstore.NewClient(settings.Outside.State, kvstore.Limits{
		BudgetShare: tuning.StateShare / float64(deployment.Size), RequestsPerSecond: deployment.State.RPS, WritesPerSecond: deployment.State.WriteRPS, MaxValueKiB: deployment.State.ValueKB, MaxTransactionOps: deployment.State.TxnOps,
	}, transport)
	upcoming := settings.NextState()
	client.SetUpcomingLimits(kvstore.Limits{RequestsPerSecond: upcoming.RPS, WritesPerSecond: upcoming.WriteRPS, MaxValueKiB: upcoming.ValueKB, MaxTransactionOps: upcoming.TxnOps})
	state := clusterstate.New(deployment.Size, logger)
	cache := kvstore.NewWatchCache(client, record.LivePrefix, state, logger)
	committer := kvstore.NewCommitter(client, func(ops []wire.Op, rev uint64) { cache.ApplyOwn(ops, rev) })
	committer.SetObserver(cache)
	members := membership.New(membership.Config{
		NodeName: settings.Node, Incarnation: incarnation, NodeNames: settings.Nodes(), SchemaVersion: schemaVersion,
		Client: client, Committer: committer, Cache: cache, ClusterState: state, Logger: logger,
	})
	agents := agent.New(settings, state, members, cache.CompleteAsOf, logger, transport)
	peers, err := connectPeers(agents)
	if err != nil {
		return nil, err
	}
	agents.SetPeerLastAnswered(peers.LastAnswered)
	engine := scheduler.New(settings, operator, state, members, agents, committer, client, peers, logger)
	cloudClient := cloud.New(cloud.Options{
		Address:           settings.Outside.Cloud,
		RequestsPerSecond: deployment.Cloud.RPS,
		Controllers:       deployment.Size,
		Transport:         transport,
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
		NodeNames: settings.Nodes(), SupportedVersion: schemaVersion,
		ClusterState: state, Owner: members, Committer: committer, Limits: client, Logger: logger,
	})
	offloads := offload.New(operator, deployment.Teams, state, members, committer, peers, logger)
	if len(operator.Cells) > 0 {
		peers.SetCellHandler(offloads.Answer)
	}
	server := api.New(settings, operator, state, client, committer, cache, agents, logger)
	return &Controller{handler: server.Handler(), loops: []func(context.Context) error{
		cache.Run, committer.Run, members.Run, agents.Run, engine.Run, engine.RunLearner, engine.TrackRemoteImages, scaler.Run, peers.Run, dependencies.Run, versions.Run, offloads.Run,
	}}, nil
}

// Handler serves users, workers and health checks.
func (c *Controller) Handler() http.Handler { return c.handler }

// Run keeps the node's duties until ctx ends or one of them fails.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range c.loops {
		group.Go(func() error { return run(ctx) })
	}
	return group.Wait()
}
