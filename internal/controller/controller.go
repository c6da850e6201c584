// Package controller assembles the components of a controller node and runs them.
//
// It creates each component with its dependencies and runs the components' loops concurrently; it makes no
// scheduling decisions and holds no state. If one component fails the whole process ends: the others could not keep
// the safety invariants without it, and a new process rebuilds its state from records and heartbeats (invariant 3).
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

// PeerTransport exchanges messages with the other controller nodes and with other cells.
type PeerTransport interface {
	scheduler.Peers
	offload.Transport
	// LastResponseAt returns the time of the last response from a node; zero if it has never responded.
	LastResponseAt(node string) time.Time
	// SetCellHandler sets the handler of messages from other cells. It must be called before Run.
	SetCellHandler(handler peerrpc.CellHandler)
	// Run serves calls of other nodes until ctx is done.
	Run(ctx context.Context) error
}

// ConnectPeers creates the transport to the other nodes. The transport answers their queries from agents.
type ConnectPeers func(agents peerrpc.AgentRegistry) (PeerTransport, error)

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Settings *config.Settings
	Operator *config.Operator
	// Incarnation distinguishes this process from earlier and later processes of the same node.
	Incarnation uint64
	// SchemaVersion is the newest schema version whose records this process reads: tuning.SchemaVersion, except in
	// tests of upgrades.
	SchemaVersion int
	// Transport carries the HTTP requests to the store, the cloud and agents; nil means each client's default.
	Transport    http.RoundTripper
	ConnectPeers ConnectPeers
	Logger       *slog.Logger
}

// Controller is the process of one controller node.
type Controller struct {
	handler http.Handler
	loops   []func(context.Context) error
}

// New creates a controller; it starts no loops and sends nothing before Run. It returns an error only if ConnectPeers
// does.
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
	agents.SetPeerLastAnswered(peers.LastResponseAt)

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
	offloader := offload.New(offload.Config{
		Operator:     operator,
		Teams:        settings.Deployment.Teams,
		ClusterState: state,
		Ownership:    members,
		Committer:    committer,
		Transport:    peers,
		Logger:       logger,
	})
	if len(operator.Cells) > 0 {
		peers.SetCellHandler(offloader.HandleMessage)
	}
	server := store.newServer(&c, agents)
	return &Controller{handler: server.Handler(), loops: []func(context.Context) error{
		store.cache.Run, committer.Run, members.Run, agents.Run,
		engine.Run, engine.RunLearner, engine.TrackRemoteImages,
		scaler.Run, peers.Run, dependencies.Run, versions.Run, offloader.Run,
	}}, nil
}

// Handler returns the HTTP handler for users, agents and health checks.
func (c *Controller) Handler() http.Handler { return c.handler }

// Run runs all loops until ctx is done or one of them fails, waits for all of them to end, and returns the first
// error.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range c.loops {
		group.Go(func() error { return loop(ctx) })
	}
	return group.Wait()
}
