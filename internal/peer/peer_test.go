package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"

	"sableusher/internal/config"
	"sableusher/internal/peer/peerpb"
)

// told is a witness that has heard of some machines.
type told struct {
	heard  []string
	fresh  bool
	images map[string][]string
}

func (w told) FreshView() bool             { return w.fresh }
func (w told) Images() map[string][]string { return w.images }

func (w told) HeardOf(machines []string) []string {
	return slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return !slices.Contains(w.heard, m) })
}

// serveWitness answers for a node on a port of its own.
func serveWitness(t *testing.T, w Witness) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	peerpb.RegisterPeerServer(srv, &server{witness: w})
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return l.Addr().String()
}

// TestPeersAnswers asks two nodes: one whose view is stale must not vouch for
// machines, images are put together, and a node that does not answer is left out.
func TestPeersAnswers(t *testing.T) {
	set := &config.Settings{Node: "a", Siblings: []config.Sibling{
		{Node: "b", Endpoint: serveWitness(t, told{[]string{"vm-1"}, true, map[string][]string{"i": {"vm-1"}}})},
		{Node: "c", Endpoint: serveWitness(t, told{[]string{"vm-2"}, false, map[string][]string{"i": {"vm-2"}, "j": {"vm-3"}}})},
		{Node: "d", Endpoint: "127.0.0.1:1"},
	}}
	p, err := New(set, told{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	p.patience = time.Minute
	heard := p.Ask(context.Background(), []string{"vm-1", "vm-2", "vm-9"})
	if len(heard) != 1 || heard["vm-1"] != "b" {
		t.Errorf("heard %v", heard)
	}
	images := p.Images(context.Background())
	if len(images) != 2 || !images["i"]["vm-1"] || !images["i"]["vm-2"] || !images["j"]["vm-3"] {
		t.Errorf("images %v", images)
	}
}
