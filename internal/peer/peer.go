// Package peer carries hints between controllers over gRPC.
package peer

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
	"sableusher/internal/peer/peerpb"
	"sableusher/internal/tuning"
)

// Witness knows which workers a node has heard from.
type Witness interface {
	HeardOf(machines []string) []string
	FreshView() bool
	Images() map[string][]string
}

// server answers other nodes.
type server struct {
	peerpb.UnimplementedPeerServer
	witness Witness
}

func (s *server) Heard(_ context.Context, q *peerpb.HeardRequest) (*peerpb.HeardReply, error) {
	machines := q.GetMachines()
	if len(machines) > tuning.PeerMachines {
		machines = machines[:tuning.PeerMachines]
	}
	return &peerpb.HeardReply{Heard: s.witness.HeardOf(machines), Fresh: s.witness.FreshView()}, nil
}

func (s *server) Images(context.Context, *peerpb.ImagesRequest) (*peerpb.ImagesReply, error) {
	r := &peerpb.ImagesReply{}
	for name, machines := range s.witness.Images() {
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
}

// New makes the lines to a node's siblings; nothing is sent yet.
func New(set *config.Settings, w Witness, log *slog.Logger) (*Peers, error) {
	p := &Peers{self: set.Node, listen: set.Back, witness: w, clients: map[string]peerpb.PeerClient{}, log: log, patience: tuning.PeerTimeout, answered: map[string]time.Time{}}
	for _, s := range set.Siblings {
		c, err := grpc.NewClient("passthrough:///"+s.Endpoint, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(tuning.PeerMessage)))
		if err != nil {
			return nil, fmt.Errorf("line to %s: %w", s.Node, err)
		}
		p.conns = append(p.conns, c)
		p.clients[s.Node] = peerpb.NewPeerClient(c)
	}
	return p, nil
}

// Run answers other nodes until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", p.listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(tuning.PeerMessage), grpc.MaxConcurrentStreams(tuning.PeerStreams))
	peerpb.RegisterPeerServer(srv, &server{witness: p.witness})
	go func() {
		<-ctx.Done()
		srv.Stop()
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
