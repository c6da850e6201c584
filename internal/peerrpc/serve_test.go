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

// unreachableEndpoint is an endpoint without a listener.
const unreachableEndpoint = "127.0.0.1:1"

// fakeRegistry is an AgentRegistry with fixed contents.
type fakeRegistry struct {
	machinesWithHeartbeats []string
	hasFreshState          bool
	machinesByImage        map[string][]string
}

func (r fakeRegistry) HasFreshState() bool                  { return r.hasFreshState }
func (r fakeRegistry) MachinesByImage() map[string][]string { return r.machinesByImage }

func (r fakeRegistry) RecentlyReporting(machines []string) []string {
	lacksHeartbeat := func(machine string) bool { return !slices.Contains(r.machinesWithHeartbeats, machine) }
	return slices.DeleteFunc(slices.Clone(machines), lacksHeartbeat)
}

// serve serves peerService on a local port for the duration of the test and returns the endpoint.
func serve(t *testing.T, peerService *service) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	grpcServer := grpc.NewServer()
	peerpb.RegisterPeerServer(grpcServer, peerService)
	peerpb.RegisterCellsServer(grpcServer, peerService)
	go func() { _ = grpcServer.Serve(listener) }()
	t.Cleanup(grpcServer.Stop)
	return listener.Addr().String()
}

// serveCells serves other cells' messages with handler on a local port and returns the endpoint.
func serveCells(t *testing.T, handler CellHandler) string {
	t.Helper()
	return serve(t, &service{cellHandler: func() CellHandler { return handler }})
}

// newTestTransport returns a transport whose call timeout is long enough for a busy machine.
func newTestTransport(t *testing.T, settings *config.Settings) *Transport {
	t.Helper()
	transport, err := New(settings, fakeRegistry{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	transport.callTimeout = time.Minute
	return transport
}
