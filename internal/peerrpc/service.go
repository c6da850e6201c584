package peerrpc

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sableusher/internal/offload"
	"sableusher/internal/peerrpc/peerpb"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// AgentRegistry holds which agents have sent heartbeats to a node, and which images their machines hold.
type AgentRegistry interface {
	// RecentlyReporting returns those of the machines whose agents have sent the node a heartbeat recently.
	RecentlyReporting(machines []string) []string
	// HasFreshState reports whether the node's cluster state is recent.
	HasFreshState() bool
	// MachinesByImage returns the machines that are likely to hold an image, by the image's name.
	MachinesByImage() map[string][]string
}

// CellHandler handles a message of another cell and returns this cell's response.
type CellHandler func(ctx context.Context, message offload.Message) (offload.Message, error)

// service implements the gRPC services that other nodes and other cells call.
type service struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedCellsServer
	registry AgentRegistry
	// cellHandler returns the current handler of cells' messages; nil if the settings name no other cells.
	cellHandler func() CellHandler
}

// Exchange passes another cell's message to the cell handler and returns its response.
func (s *service) Exchange(ctx context.Context, request *peerpb.CellMessage) (*peerpb.CellMessage, error) {
	handler := s.cellHandler()
	if handler == nil {
		return nil, status.Error(codes.Unavailable, "no cells are named here")
	}
	var message offload.Message
	if err := wire.Decode(request.GetBody(), &message); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "unreadable: %v", err)
	}
	response, err := handler(ctx, message)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	body, err := wire.Encode(response)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.CellMessage{Cell: response.Cell, Body: body}, nil
}

// Heard returns which of the machines' agents have sent this node a heartbeat recently. Machines beyond
// tuning.PeerQueryMaxMachines are ignored.
func (s *service) Heard(_ context.Context, request *peerpb.HeardRequest) (*peerpb.HeardReply, error) {
	machines := request.GetMachines()
	if len(machines) > tuning.PeerQueryMaxMachines {
		machines = machines[:tuning.PeerQueryMaxMachines]
	}
	return &peerpb.HeardReply{Heard: s.registry.RecentlyReporting(machines), Fresh: s.registry.HasFreshState()}, nil
}

// Images returns the images that this node's machines are likely to hold, each with its machines.
func (s *service) Images(context.Context, *peerpb.ImagesRequest) (*peerpb.ImagesReply, error) {
	response := &peerpb.ImagesReply{}
	for name, machines := range s.registry.MachinesByImage() {
		response.Images = append(response.Images, &peerpb.Image{Name: name, Machines: machines})
	}
	return response, nil
}
