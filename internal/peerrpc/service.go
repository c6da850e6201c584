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

// AgentRegistry knows which agents a node has heard from.
type AgentRegistry interface {
	// RecentlyHeard gives those of the machines whose agents the node has heard from lately.
	RecentlyHeard(machines []string) []string
	// HasFreshState reports whether the node's cluster state is recent.
	HasFreshState() bool
	// MachinesByImage gives the machines that are believed to hold an image, by its name.
	MachinesByImage() map[string][]string
}

// CellHandler answers another cell's message with one of this cell's.
type CellHandler func(ctx context.Context, message offload.Message) (offload.Message, error)

// service answers the calls of other nodes and other cells.
type service struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedCellsServer
	registry AgentRegistry
	// cellHandler gives the handler that is set; nil if no cells are named here.
	cellHandler func() CellHandler
}

// Exchange answers another cell's message.
func (s *service) Exchange(ctx context.Context, request *peerpb.CellMessage) (*peerpb.CellMessage, error) {
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

// Heard answers which agents this node has heard from; of too many machines the first ones count.
func (s *service) Heard(_ context.Context, request *peerpb.HeardRequest) (*peerpb.HeardReply, error) {
	machines := request.GetMachines()
	if len(machines) > tuning.PeerQueryMaxMachines {
		machines = machines[:tuning.PeerQueryMaxMachines]
	}
	return &peerpb.HeardReply{Heard: s.registry.RecentlyHeard(machines), Fresh: s.registry.HasFreshState()}, nil
}

// Images answers which machines of this node are believed to hold which images.
func (s *service) Images(context.Context, *peerpb.ImagesRequest) (*peerpb.ImagesReply, error) {
	reply := &peerpb.ImagesReply{}
	for name, machines := range s.registry.MachinesByImage() {
		reply.Images = append(reply.Images, &peerpb.Image{Name: name, Machines: machines})
	}
	return reply, nil
}
