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

// Peers is a node's line to the others.
type Peers struct {
	self    string
	listen  string
	witness Witness
	clients map[string]peerpb.PeerClient
	conns   []*grpc.ClientConn
	log     *slog.Logger
}

// New makes the lines to a node's siblings; nothing is sent yet.
func New(set *config.Settings, w Witness, log *slog.Logger) (*Peers, error) {
	p := &Peers{self: set.Node, listen: set.Back, witness: w, clients: map[string]peerpb.PeerClient{}, log: log}
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
	ctx, cancel := context.WithTimeout(ctx, tuning.PeerTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	heard := map[string]string{}
	for node, c := range p.clients {
		wg.Go(func() {
			start := time.Now()
			r, err := c.Heard(ctx, &peerpb.HeardRequest{Node: p.self, Machines: machines})
			if err != nil {
				p.log.Debug("peer silent", "peer", node, "err", err, "took", time.Since(start))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if r.GetFresh() {
				for _, m := range r.GetHeard() {
					heard[m] = node
				}
			}
		})
	}
	wg.Wait()
	return heard
}
