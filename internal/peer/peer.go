// Package peer carries hints between controllers over gRPC.
package peer

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
	"sableusher/internal/peer/peerpb"
	"sableusher/internal/spill"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Witness knows which workers a node has heard from.
type Witness interface {
	RecentlyHeard(machines []string) []string
	HasFreshState() bool
	MachinesByImage() map[string][]string
}

// Answer answers another cell's message with one of this cell's.
type Answer func(ctx context.Context, m spill.Message) (spill.Message, error)

// server answers other nodes, and other cells.
type server struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedCellsServer
	witness Witness
	answer  func() Answer
}

func (s *server) Exchange(ctx context.Context, q *peerpb.CellMessage) (*peerpb.CellMessage, error) {
	answer := s.answer()
	if answer == nil {
		return nil, status.Error(codes.Unavailable, "no cells are named here")
	}
	var m spill.Message
	if err := wire.Decode(q.GetBody(), &m); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "unreadable: %v", err)
	}
	reply, err := answer(ctx, m)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	body, err := wire.Encode(reply)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.CellMessage{Cell: reply.Cell, Body: body}, nil
}

func (s *server) Heard(_ context.Context, q *peerpb.HeardRequest) (*peerpb.HeardReply, error) {
	machines := q.GetMachines()
	if len(machines) > tuning.PeerMachines {
		machines = machines[:tuning.PeerMachines]
	}
	return &peerpb.HeardReply{Heard: s.witness.RecentlyHeard(machines), Fresh: s.witness.HasFreshState()}, nil
}

func (s *server) Images(context.Context, *peerpb.ImagesRequest) (*peerpb.ImagesReply, error) {
	r := &peerpb.ImagesReply{}
	for name, machines := range s.witness.MachinesByImage() {
		r.Images = append(r.Images, &peerpb.Image{Name: name, Machines: machines})
	}
	return r, nil
}

// Peers is a node's line to the others.
type Peers struct {
	self     string
	listen   string
	witness  Witness
	clients  map[string]peerpb.PeerClient
	conns    []*grpc.ClientConn
	log      *slog.Logger
	patience time.Duration // how long a question may take

	mu       sync.Mutex
	answered map[string]time.Time // when each node last did
	answer   Answer               // to other cells
	lines    map[string]*grpc.ClientConn
	speaks   map[string]string // the node of each other cell that last answered for it
}

// New makes the lines to a node's siblings; nothing is sent yet.
func New(set *config.Settings, w Witness, log *slog.Logger) (*Peers, error) {
	p := &Peers{self: set.Node, listen: set.Back, witness: w, clients: map[string]peerpb.PeerClient{}, log: log, patience: tuning.PeerTimeout, answered: map[string]time.Time{}, lines: map[string]*grpc.ClientConn{}, speaks: map[string]string{}}
	for _, s := range set.Siblings {
		c, err := dial(s.Endpoint)
		if err != nil {
			return nil, fmt.Errorf("line to %s: %w", s.Node, err)
		}
		p.conns = append(p.conns, c)
		p.clients[s.Node] = peerpb.NewPeerClient(c)
	}
	return p, nil
}

func dial(endpoint string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(tuning.PeerMessage)))
}

// Cells sets what answers other cells; before Run.
func (p *Peers) Cells(a Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = a
}

// Exchange asks another cell's leader: the node that answered last first, then the others.
func (p *Peers) Exchange(ctx context.Context, to config.Cell, m spill.Message) (spill.Message, error) {
	body, err := wire.Encode(m)
	if err != nil {
		return spill.Message{}, err
	}
	p.mu.Lock()
	last := p.speaks[to.Name]
	p.mu.Unlock()
	nodes := strings.Fields(to.Nodes)
	slices.SortStableFunc(nodes, func(a, b string) int { return cmp.Compare(later(a, last), later(b, last)) })
	var errs []error
	for _, n := range nodes {
		reply, err := p.exchange(ctx, n, &peerpb.CellMessage{Cell: m.Cell, Body: body})
		if err == nil {
			p.mu.Lock()
			p.speaks[to.Name] = n
			p.mu.Unlock()
			return reply, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", n, err))
	}
	return spill.Message{}, errors.Join(errs...)
}

// later puts a node behind the one that answered last.
func later(node, last string) int {
	if node == last {
		return 0
	}
	return 1
}

func (p *Peers) exchange(ctx context.Context, node string, q *peerpb.CellMessage) (spill.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, p.patience)
	defer cancel()
	p.mu.Lock()
	c := p.lines[node]
	if c == nil {
		var err error
		if c, err = dial(node); err != nil {
			p.mu.Unlock()
			return spill.Message{}, err
		}
		p.lines[node] = c
		p.conns = append(p.conns, c)
	}
	p.mu.Unlock()
	r, err := peerpb.NewCellsClient(c).Exchange(ctx, q)
	if err != nil {
		return spill.Message{}, err
	}
	var m spill.Message
	return m, wire.Decode(r.GetBody(), &m)
}

// Run answers other nodes until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", p.listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(tuning.PeerMessage), grpc.MaxConcurrentStreams(tuning.PeerStreams))
	s := &server{witness: p.witness, answer: func() Answer {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.answer
	}}
	peerpb.RegisterPeerServer(srv, s)
	peerpb.RegisterCellsServer(srv, s)
	go func() {
		<-ctx.Done()
		srv.Stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	}()
	if err := srv.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return ctx.Err()
}

// Ask asks all other nodes which workers they have heard from, and gives who
// has heard which.
func (p *Peers) Ask(ctx context.Context, machines []string) map[string]string {
	heard := map[string]string{}
	askAll(ctx, p, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.HeardReply, error) {
		return c.Heard(ctx, &peerpb.HeardRequest{Node: p.self, Machines: machines})
	}, func(node string, r *peerpb.HeardReply) {
		if r.GetFresh() {
			for _, m := range r.GetHeard() {
				heard[m] = node
			}
		}
	})
	return heard
}

// Images asks all other nodes which images their machines are believed to hold.
func (p *Peers) Images(ctx context.Context) map[string]map[string]bool {
	held := map[string]map[string]bool{}
	askAll(ctx, p, func(ctx context.Context, c peerpb.PeerClient) (*peerpb.ImagesReply, error) {
		return c.Images(ctx, &peerpb.ImagesRequest{Node: p.self})
	}, func(_ string, r *peerpb.ImagesReply) {
		for _, i := range r.GetImages() {
			set := held[i.GetName()]
			if set == nil {
				set = map[string]bool{}
				held[i.GetName()] = set
			}
			for _, m := range i.GetMachines() {
				set[m] = true
			}
		}
	})
	return held
}

// Reached tells when a node last answered this one; zero if it never did.
func (p *Peers) Reached(node string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered[node]
}

// askAll puts a question to all other nodes at once and takes in the answers
// that come in time, one by one.
func askAll[R any](ctx context.Context, p *Peers, ask func(context.Context, peerpb.PeerClient) (R, error), take func(string, R)) {
	ctx, cancel := context.WithTimeout(ctx, p.patience)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for node, c := range p.clients {
		wg.Go(func() {
			start := time.Now()
			r, err := ask(ctx, c)
			if err != nil {
				p.log.Debug("peer silent", "peer", node, "err", err, "took", time.Since(start))
				return
			}
			p.mu.Lock()
			p.answered[node] = time.Now()
			p.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			take(node, r)
		})
	}
	wg.Wait()
}
