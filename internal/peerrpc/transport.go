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

// Transport exchanges messages with a node's peers and with other cells. It is safe for concurrent use.
type Transport struct {
	nodeName      string
	listenAddress string
	registry      AgentRegistry
	peerClients   map[string]peerpb.PeerClient // by node
	callTimeout   time.Duration
	logger        *slog.Logger

	mu                 sync.Mutex // guards the fields below
	connections        []*grpc.ClientConn
	lastResponseAt     map[string]time.Time // by node
	cellHandler        CellHandler
	cellConnections    map[string]*grpc.ClientConn // by endpoint
	lastRespondingNode map[string]string           // by cell: the endpoint that responded last
}

// New creates the clients for a node's peers; nothing is sent before the first call.
func New(settings *config.Settings, registry AgentRegistry, logger *slog.Logger) (*Transport, error) {
	transport := &Transport{
		nodeName:           settings.Node,
		listenAddress:      settings.BackListen,
		registry:           registry,
		peerClients:        map[string]peerpb.PeerClient{},
		callTimeout:        tuning.PeerTimeout,
		logger:             logger,
		lastResponseAt:     map[string]time.Time{},
		cellConnections:    map[string]*grpc.ClientConn{},
		lastRespondingNode: map[string]string{},
	}
	for _, peer := range settings.Peers {
		connection, err := dial(peer.Endpoint)
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", peer.Node, err)
		}
		transport.connections = append(transport.connections, connection)
		transport.peerClients[peer.Node] = peerpb.NewPeerClient(connection)
	}
	return transport, nil
}

func dial(endpoint string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+endpoint,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(tuning.PeerMessageMaxBytes)))
}

// SetCellHandler sets the handler of messages from other cells. It must be called before Run. Without a handler such
// messages are rejected with the gRPC status Unavailable.
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

// Run serves calls of other nodes and cells until ctx is done, and then closes all connections. It returns the error
// of ctx, or the error that kept it from serving.
func (t *Transport) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", t.listenAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(tuning.PeerMessageMaxBytes),
		grpc.MaxConcurrentStreams(tuning.PeerMaxStreams))
	peerService := &service{registry: t.registry, cellHandler: t.currentCellHandler}
	peerpb.RegisterPeerServer(grpcServer, peerService)
	peerpb.RegisterCellsServer(grpcServer, peerService)

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
