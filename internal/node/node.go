// Package node puts the slices of one controller together.
package node

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/config"
	"sableusher/internal/fleet"
	"sableusher/internal/intake"
	"sableusher/internal/member"
	"sableusher/internal/peer"
	"sableusher/internal/pipeline"
	"sableusher/internal/place"
	"sableusher/internal/pool"
	"sableusher/internal/spill"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/upgrade"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Node is a controller.
type Node struct {
	handler http.Handler
	runs    []func(context.Context) error
}

// Lines are a node's lines to the other nodes.
type Lines interface {
	place.Peers
	// Reached tells when a node last answered this one.
	Reached(node string) time.Time
	Run(ctx context.Context) error
	spill.Line
	// Cells sets what answers other cells.
	Cells(a peer.Answer)
}

// New makes a controller. inc tells this process from all others under its
// name; level is the newest form of records that it reads, tuning.Level but for
// tests of upgrades; rt carries its requests, nil for the network; lines makes the lines to
// the other nodes.
func New(set *config.Settings, op *config.Operator, inc uint64, level int, rt http.RoundTripper, lines func(peer.Witness) (Lines, error), log *slog.Logger) (*Node, error) {
	d := &set.Deployment
	client := store.NewClient(set.Outside.State, store.Limits{
		BudgetShare: tuning.StateShare / float64(d.Size), RequestsPerSecond: d.State.RPS, WritesPerSecond: d.State.WriteRPS, MaxValueKiB: d.State.ValueKB, MaxTransactionOps: d.State.TxnOps,
	}, rt)
	next := set.NextState()
	client.SetUpcomingLimits(store.Limits{RequestsPerSecond: next.RPS, WritesPerSecond: next.WriteRPS, MaxValueKiB: next.ValueKB, MaxTransactionOps: next.TxnOps})
	view := world.New(d.Size, log)
	cache := store.NewWatchCache(client, world.LivePrefix, view, log)
	commit := store.NewCommitter(client, func(ops []wire.Op, rev uint64) { cache.ApplyOwn(ops, rev) })
	commit.SetObserver(cache)
	members := member.New(set.Node, inc, set.Nodes(), level, client, commit, cache, view, log)
	workers := fleet.New(set, view, members, cache.CompleteAsOf, log, rt)
	peers, err := lines(workers)
	if err != nil {
		return nil, err
	}
	workers.SetPeerLastAnswered(peers.Reached)
	engine := place.New(set, op, view, members, workers, commit, client, peers, log)
	cloud := pool.NewClient(set.Outside.Cloud, d.Cloud.RPS, d.Size, rt)
	machines := pool.New(set, op, view, members, engine, cloud, commit, log)
	outcomes := pipeline.New(view, client, log)
	levels := upgrade.NewActivator(set, level, view, members, commit, client, log)
	cells := spill.New(op, d.Teams, view, members, commit, peers, log)
	if len(op.Cells) > 0 {
		peers.Cells(cells.Answer)
	}
	users := intake.New(set, op, view, client, commit, cache, workers, log)
	return &Node{handler: users.Handler(), runs: []func(context.Context) error{
		cache.Run, commit.Run, members.Run, workers.Run, engine.Run, engine.RunLearner, engine.TrackRemoteImages, machines.Run, peers.Run, outcomes.Run, levels.Run, cells.Run,
	}}, nil
}

// Handler serves users, workers and health checks.
func (n *Node) Handler() http.Handler { return n.handler }

// Run keeps the node's duties until ctx ends or one of them fails.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range n.runs {
		g.Go(func() error { return run(ctx) })
	}
	return g.Wait()
}
