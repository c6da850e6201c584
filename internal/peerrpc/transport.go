package peerrpc

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"sableusher/internal/config"
	"sableusher/internal/peerrpc/peerpb"
	"sableusher/internal/tuning"
)

// Transport connects a node with its peers and with other cells. It is safe for concurrent use.
type Transport struct {
	nodeName      string
	listenAddress string
	registry      AgentRegistry
	peerClients   map[string]peerpb.PeerClient // by node
	callTimeout   time.Duration
	logger        *slog.Logger

	mu                sync.Mutex // guards what follows
	connections       []*grpc.ClientConn
	lastAnsweredAt    map[string]time.Time // by node
	cellHandler       CellHandler
	cellConnections   map[string]*grpc.ClientConn // by endpoint
	lastAnsweringNode map[string]string           // the endpoint of each other cell that answered last
}

// New makes the connections to a node's peers; nothing is sent before the first call.
func New(settings *config.Settings, registry AgentRegistry, logger *slog.Logger) (*Transport, error) {
	transport := &Transport{
		nodeName:          settings.Node,
		listenAddress:     settings.BackListen,
		registry:          registry,
		peerClients:       map[string]peerpb.PeerClient{},
		callTimeout:       tuning.PeerTimeout,
		logger:            logger,
		lastAnsweredAt:    map[string]time.Time{},
		cellConnections:   map[string]*grpc.ClientConn{},
		lastAnsweringNode: map[string]string{},
	}
	for _, sibling := range settings.Peers {
		connection, err := dial(sibling.Endpoint)
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", sibling.Node, err)
		}
		transport.connections = append(transport.connections, connection)
		transport.peerClients[sibling.Node] = peerpb.NewPeerClient(connection)
	}
	return transport, nil
}

func dial(endpoint string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+endpoint,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(tuning.PeerMessageMaxBytes)))
}

// SetCellHandler sets what answers other cells. It is called before Run, if at all.
func (t *Transport) SetCellHandler(handler CellHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cellHandler = handler
}

func (t *Transport) currentCellHandler() CellHandler {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cellHandler
}

// Run answers other nodes and cells until ctx ends, and closes all connections then. It returns the error of
// ctx, or why it can't answer.
func (t *Transport) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", t.listenAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(tuning.PeerMessageMaxBytes),
		grpc.MaxConcurrentStreams(tuning.PeerMaxStreams))
	calls := &service{registry: t.registry, cellHandler: t.currentCellHandler}
	peerpb.RegisterPeerServer(grpcServer, calls)
	peerpb.RegisterCellsServer(grpcServer, calls)

	ctx, cancel := context.WithCancel(ctx)
	var stopping sync.WaitGroup
	stopping.Go(func() {
		<-ctx.Done()
		grpcServer.Stop()
		t.closeConnections()
	})
	defer stopping.Wait()
	defer cancel()
	if err := grpcServer.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return ctx.Err()
}

func (t *Transport) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, connection := range t.connections {
		if err := connection.Close(); err != nil {
			t.logger.Debug("peer connection not closed", "err", err)
		}
	}
}
