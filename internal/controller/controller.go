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

	"sableusher/internal/config"
	"sableusher/internal/dependency"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc"
	"sableusher/internal/scheduler"
)

// PeerTransport connects a controller with the other nodes and with other cells.
type PeerTransport interface {
	scheduler.Peers
	offload.Transport
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
	store := newStore(&c)
	client, state, committer := store.client, store.state, store.committer
	members := store.newMembership(&c)
	agents := store.newAgents(&c, members)
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
	scaler := store.newAutoscaler(&c, members, engine)
	dependencies := dependency.NewResolver(state, client, logger)
	versions := store.newActivator(&c, members)
	offloads := offload.New(offload.Config{
		Operator:     operator,
		Teams:        settings.Deployment.Teams,
		ClusterState: state,
		Ownership:    members,
		Committer:    committer,
		Transport:    peers,
		Logger:       logger,
	})
	if len(operator.Cells) > 0 {
		peers.SetCellHandler(offloads.Answer)
	}
	server := store.newServer(&c, agents)
	return &Controller{handler: server.Handler(), loops: []func(context.Context) error{
		store.cache.Run, committer.Run, members.Run, agents.Run,
		engine.Run, engine.RunLearner, engine.TrackRemoteImages,
		scaler.Run, peers.Run, dependencies.Run, versions.Run, offloads.Run,
	}}, nil
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
