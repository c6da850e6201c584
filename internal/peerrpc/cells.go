package peerrpc

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/grpc"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc/peerpb"
	"sableusher/internal/wire"
)

// Exchange sends a message to another cell's leader and returns the response. Which node of that cell is the leader is
// not known: the node that responded last is tried first, then the others in the order of the settings. If no node
// responds, Exchange returns the joined errors of all nodes.
func (t *Transport) Exchange(
	ctx context.Context, cell config.Cell, message offload.Message,
) (offload.Message, error) {
	body, err := wire.Encode(message)
	if err != nil {
		return offload.Message{}, err
	}
	request := &peerpb.CellMessage{Cell: message.Cell, Body: body}
	var errs []error
	for _, node := range t.nodesByPreference(cell) {
		response, err := t.exchangeWith(ctx, node, request)
		if err == nil {
			t.recordRespondingNode(cell.Name, node)
			return response, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", node, err))
	}
	return offload.Message{}, errors.Join(errs...)
}

// nodesByPreference returns the endpoints of a cell's nodes, with the node that responded last in front.
func (t *Transport) nodesByPreference(cell config.Cell) []string {
	t.mu.Lock()
	last := t.lastRespondingNode[cell.Name]
	t.mu.Unlock()
	rank := func(node string) int {
		if node == last {
			return 0
		}
		return 1
	}
	nodes := strings.Fields(cell.Nodes)
	slices.SortStableFunc(nodes, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return nodes
}

func (t *Transport) recordRespondingNode(cellName, node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRespondingNode[cellName] = node
}

func (t *Transport) exchangeWith(
	ctx context.Context, node string, request *peerpb.CellMessage,
) (offload.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	connection, err := t.cellConnection(node)
	if err != nil {
		return offload.Message{}, err
	}
	response, err := peerpb.NewCellsClient(connection).Exchange(ctx, request)
	if err != nil {
		return offload.Message{}, err
	}
	var message offload.Message
	if err := wire.Decode(response.GetBody(), &message); err != nil {
		return offload.Message{}, err
	}
	return message, nil
}

// cellConnection returns the connection to a node of another cell, which it creates on first use.
func (t *Transport) cellConnection(node string) (*grpc.ClientConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if connection := t.cellConnections[node]; connection != nil {
		return connection, nil
	}
	connection, err := dial(node)
	if err != nil {
		return nil, err
	}
	t.cellConnections[node] = connection
	t.connections = append(t.connections, connection)
	return connection, nil
}
