package peerrpc

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc/peerpb"
	"sableusher/internal/wire"
)

// fakeRegistry is a witness that has heard of some machines.
type fakeRegistry struct {
	recentlyHeard []string
	freshState    bool
	images        map[string][]string
}

func (w fakeRegistry) HasFreshState() bool                  { return w.freshState }
func (w fakeRegistry) MachinesByImage() map[string][]string { return w.images }

func (w fakeRegistry) RecentlyHeard(machines []string) []string {
	return slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return !slices.Contains(w.recentlyHeard, m) })
}

// serveRegistry answers for a node on a port of its own.
func serveRegistry(t *testing.T, registry AgentRegistry) string {
	return serve(t, &server{registry: registry})
}

func serve(t *testing.T, service *server) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	grpcServer := grpc.NewServer()
	peerpb.RegisterPeerServer(grpcServer, service)
	peerpb.RegisterCellsServer(grpcServer, service)
	go func() { _ = grpcServer.Serve(listener) }()
	t.Cleanup(grpcServer.Stop)
	return listener.Addr().String()
}

// TestQueriesCombinePeerAnswers asks two nodes: one whose view is stale must not vouch for
// machines, images are put together, and a node that does not answer is left out.
func TestQueriesCombinePeerAnswers(t *testing.T) {
	set := &config.Settings{Node: "a", Siblings: []config.Sibling{
		{Node: "b", Endpoint: serveRegistry(t, fakeRegistry{[]string{"vm-1"}, true, map[string][]string{"i": {"vm-1"}}})},
		{Node: "c", Endpoint: serveRegistry(t, fakeRegistry{[]string{"vm-2"}, false, map[string][]string{"i": {"vm-2"}, "j": {"vm-3"}}})},
		{Node: "d", Endpoint: "127.0.0.1:1"},
	}}
	p, err := New(set, fakeRegistry{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	p.callTimeout = time.Minute
	heard := p.QueryRecentlyHeard(context.Background(), []string{"vm-1", "vm-2", "vm-9"})
	if len(heard) != 1 || heard["vm-1"] != "b" {
		t.Errorf("heard %v", heard)
	}
	images := p.QueryImages(context.Background())
	if len(images) != 2 || !images["i"]["vm-1"] || !images["i"]["vm-2"] || !images["j"]["vm-3"] {
		t.Errorf("images %v", images)
	}
}

// TestExchangeFindsTheLeader: of a cell's nodes one is away, one does not lead and one names no
// cells; the leader's answer comes through whole, and it is asked first the next time.
func TestExchangeFindsTheCellLeader(t *testing.T) {
	asked := 0
	other := func(context.Context, offload.Message) (offload.Message, error) {
		asked++
		return offload.Message{}, offload.ErrNotLeader
	}
	leader := func(_ context.Context, m offload.Message) (offload.Message, error) {
		return offload.Message{Cell: "b", From: 3, To: m.From, Words: []offload.Word{{Number: m.Asks[0].Number, Status: 2, Final: "done", Done: 4}}}, nil
	}
	nodes := []string{"127.0.0.1:1", serve(t, &server{cellHandler: func() CellHandler { return nil }}), serve(t, &server{cellHandler: func() CellHandler { return other }}),
		serve(t, &server{cellHandler: func() CellHandler { return leader }})}
	p, err := New(&config.Settings{Node: "a-0"}, fakeRegistry{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	p.callTimeout = time.Minute
	to := config.Cell{Name: "b", Nodes: strings.Join(nodes, " ")}
	for range 2 {
		m, err := p.Exchange(context.Background(), to, offload.Message{Cell: "a", From: 2, To: 3, Asks: []offload.Ask{{Number: 7, Spec: wire.JobSpec{ID: "run-1", TaskCount: 4}}}})
		if err != nil || m.Cell != "b" || m.From != 3 || m.To != 2 || len(m.Words) != 1 || m.Words[0].Number != 7 || m.Words[0].Done != 4 {
			t.Fatalf("%+v, %v", m, err)
		}
	}
	if asked != 1 {
		t.Errorf("a node that does not lead was asked %d times", asked)
	}
	if _, err := p.Exchange(context.Background(), config.Cell{Name: "c", Nodes: nodes[0]}, offload.Message{}); err == nil {
		t.Error("a cell without a node answers")
	}
}
