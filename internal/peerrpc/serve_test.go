package peerrpc

import (
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"

	"sableusher/internal/config"
	"sableusher/internal/peerrpc/peerpb"
)

// unreachableEndpoint is one that nobody listens at.
const unreachableEndpoint = "127.0.0.1:1"

// fakeRegistry is a node that has heard from some agents.
type fakeRegistry struct {
	recentlyHeard   []string
	hasFreshState   bool
	machinesByImage map[string][]string
}

func (r fakeRegistry) HasFreshState() bool                  { return r.hasFreshState }
func (r fakeRegistry) MachinesByImage() map[string][]string { return r.machinesByImage }

func (r fakeRegistry) RecentlyHeard(machines []string) []string {
	notHeard := func(machine string) bool { return !slices.Contains(r.recentlyHeard, machine) }
	return slices.DeleteFunc(slices.Clone(machines), notHeard)
}

// serve answers calls at an endpoint of its own, which it gives.
func serve(t *testing.T, calls *service) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	grpcServer := grpc.NewServer()
	peerpb.RegisterPeerServer(grpcServer, calls)
	peerpb.RegisterCellsServer(grpcServer, calls)
	go func() { _ = grpcServer.Serve(listener) }()
	t.Cleanup(grpcServer.Stop)
	return listener.Addr().String()
}

// serveCells answers other cells with a handler, at an endpoint of its own.
func serveCells(t *testing.T, handler CellHandler) string {
	t.Helper()
	return serve(t, &service{cellHandler: func() CellHandler { return handler }})
}

// newTestTransport makes a transport whose calls have time enough on a busy machine.
func newTestTransport(t *testing.T, settings *config.Settings) *Transport {
	t.Helper()
	transport, err := New(settings, fakeRegistry{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	transport.callTimeout = time.Minute
	return transport
}
