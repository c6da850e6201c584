// Package peerrpc carries hints between controllers over gRPC.
package peerrpc

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc/peerpb"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// AgentRegistry knows which workers a node has heard from.
type AgentRegistry interface {
	RecentlyHeard(machines []string) []string
	HasFreshState() bool
	MachinesByImage() map[string][]string
}

// CellHandler answers another cell's message with one of this cell's.
type CellHandler func(ctx context.Context, m offload.Message) (offload.Message, error)

// server answers other nodes, and other cells.
type server struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedCellsServer
	registry    AgentRegistry
	cellHandler func() CellHandler
}

func (s *server) Exchange(ctx context.Context, request *peerpb.CellMessage) (*peerpb.CellMessage, error) {
	handler := s.cellHandler()
	if handler == nil {
		return nil, status.Error(codes.Unavailable, "no cells are named here")
	}
	var message offload.Message
	if err := wire.Decode(request.GetBody(), &message); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "unreadable: %v", err)
	}
	reply, err := handler(ctx, message)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	body, err := wire.Encode(reply)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.CellMessage{Cell: reply.Cell, Body: body}, nil
}

func (s *server) Heard(_ context.Context, request *peerpb.HeardRequest) (*peerpb.HeardReply, error) {
	machines := request.GetMachines()
	if len(machines) > tuning.PeerMachines {
		machines = machines[:tuning.PeerMachines]
	}
	return &peerpb.HeardReply{Heard: s.registry.RecentlyHeard(machines), Fresh: s.registry.HasFreshState()}, nil
}

func (s *server) Images(context.Context, *peerpb.ImagesRequest) (*peerpb.ImagesReply, error) {
	reply := &peerpb.ImagesReply{}
	for name, machines := range s.registry.MachinesByImage() {
		reply.Images = append(reply.Images, &peerpb.Image{Name: name, Machines: machines})
	}
	return reply, nil
}

// Transport is a node's line to the others.
type Transport struct {
	nodeName      string
	listenAddress string
	registry      AgentRegistry
	peerClients   map[string]peerpb.PeerClient
	connections   []*grpc.ClientConn
	logger        *slog.Logger
	callTimeout   time.Duration // how long a question may take

	mu                sync.Mutex
	lastAnsweredAt    map[string]time.Time // when each node last did
	cellHandler       CellHandler          // to other cells
	cellConnections   map[string]*grpc.ClientConn
	lastAnsweringNode map[string]string // the node of each other cell that last answered for it
}

// New makes the lines to a node's siblings; nothing is sent yet.
func New(settings *config.Settings, registry AgentRegistry, logger *slog.Logger) (*Transport, error) {
	transport := &Transport{nodeName: settings.Node, listenAddress: settings.Back, registry: registry, peerClients: map[string]peerpb.PeerClient{}, logger: logger, callTimeout: tuning.PeerTimeout, lastAnsweredAt: map[string]time.Time{}, cellConnections: map[string]*grpc.ClientConn{}, lastAnsweringNode: map[string]string{}}
	for _, sibling := range settings.Siblings {
		connection, err := dial(sibling.Endpoint)
		if err != nil {
			return nil, fmt.Errorf("line to %s: %w", sibling.Node, err)
		}
		transport.connections = append(transport.connections, connection)
		transport.peerClients[sibling.Node] = peerpb.NewPeerClient(connection)
	}
	return transport, nil
}

func dial(endpoint string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(tuning.PeerMessage)))
}

// SetCellHandler sets what answers other cells; before Run.
func (t *Transport) SetCellHandler(handler CellHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cellHandler = handler
}

// Exchange asks another cell's leader: the node that answered last first, then the others.
func (t *Transport) Exchange(ctx context.Context, cell config.Cell, message offload.Message) (offload.Message, error) {
	body, err := wire.Encode(message)
	if err != nil {
		return offload.Message{}, err
	}
	t.mu.Lock()
	last := t.lastAnsweringNode[cell.Name]
	t.mu.Unlock()
	nodes := strings.Fields(cell.Nodes)
	slices.SortStableFunc(nodes, func(a, b string) int { return cmp.Compare(preferenceRank(a, last), preferenceRank(b, last)) })
	var errs []error
	for _, node := range nodes {
		reply, err := t.exchangeWith(ctx, node, &peerpb.CellMessage{Cell: message.Cell, Body: body})
		if err == nil {
			t.mu.Lock()
			t.lastAnsweringNode[cell.Name] = node
			t.mu.Unlock()
			return reply, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", node, err))
	}
	return offload.Message{}, errors.Join(errs...)
}

// preferenceRank puts a node behind the one that answered last.
func preferenceRank(node, last string) int {
	if node == last {
		return 0
	}
	return 1
}

func (t *Transport) exchangeWith(ctx context.Context, node string, request *peerpb.CellMessage) (offload.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	t.mu.Lock()
	connection := t.cellConnections[node]
	if connection == nil {
		var err error
		if connection, err = dial(node); err != nil {
			t.mu.Unlock()
			return offload.Message{}, err
		}
		t.cellConnections[node] = connection
		t.connections = append(t.connections, connection)
	}
	t.mu.Unlock()
	reply, err := peerpb.NewCellsClient(connection).Exchange(ctx, request)
	if err != nil {
		return offload.Message{}, err
	}
	var message offload.Message
	return message, wire.Decode(reply.GetBody(), &message)
}

// Run answers other nodes until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", t.listenAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(tuning.PeerMessage), grpc.MaxConcurrentStreams(tuning.PeerStreams))
	service := &server{registry: t.registry, cellHandler: func() CellHandler {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.cellHandler
	}}
	peerpb.RegisterPeerServer(grpcServer, service)
	peerpb.RegisterCellsServer(grpcServer, service)
	go func() {
		<-ctx.Done()
		grpcServer.Stop()
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, connection := range t.connections {
			_ = connection.Close()
		}
	}()
	if err := grpcServer.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return ctx.Err()
}

// QueryRecentlyHeard asks all other nodes which workers they have heard from, and gives who
// has heard which.
func (t *Transport) QueryRecentlyHeard(ctx context.Context, machines []string) map[string]string {
	heard := map[string]string{}
	callAll(ctx, t, func(ctx context.Context, client peerpb.PeerClient) (*peerpb.HeardReply, error) {
		return client.Heard(ctx, &peerpb.HeardRequest{Node: t.nodeName, Machines: machines})
	}, func(node string, reply *peerpb.HeardReply) {
		if reply.GetFresh() {
			for _, m := range reply.GetHeard() {
				heard[m] = node
			}
		}
	})
	return heard
}

// QueryImages asks all other nodes which images their machines are believed to hold.
func (t *Transport) QueryImages(ctx context.Context) map[string]map[string]bool {
	machinesByImage := map[string]map[string]bool{}
	callAll(ctx, t, func(ctx context.Context, client peerpb.PeerClient) (*peerpb.ImagesReply, error) {
		return client.Images(ctx, &peerpb.ImagesRequest{Node: t.nodeName})
	}, func(_ string, reply *peerpb.ImagesReply) {
		for _, image := range reply.GetImages() {
			set := machinesByImage[image.GetName()]
			if set == nil {
				set = map[string]bool{}
				machinesByImage[image.GetName()] = set
			}
			for _, machine := range image.GetMachines() {
				set[machine] = true
			}
		}
	})
	return machinesByImage
}

// LastAnswered tells when a node last answered this one; zero if it never did.
func (t *Transport) LastAnswered(node string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAnsweredAt[node]
}

// callAll puts a question to all other nodes at once and takes in the answers
// that come in time, one by one.
func callAll[R any](ctx context.Context, transport *Transport, call func(context.Context, peerpb.PeerClient) (R, error), collect func(string, R)) {
	ctx, cancel := context.WithTimeout(ctx, transport.callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for node, c := range transport.peerClients {
		wg.Go(func() {
			start := time.Now()
			reply, err := call(ctx, c)
			if err != nil {
				transport.logger.Debug("peer silent", "peer", node, "err", err, "took", time.Since(start))
				return
			}
			transport.mu.Lock()
			transport.lastAnsweredAt[node] = time.Now()
			transport.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			collect(node, reply)
		})
	}
	wg.Wait()
}
