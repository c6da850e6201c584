package peerrpc

import (
	"context"
	"reflect"
	"strings"
	"testing"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/wire"
)

// TestExchangeFindsTheCellLeader: Exchange returns the unchanged response of a cell's leader if the cell's other nodes
// are unreachable, not the leader, or without a cell handler. The next Exchange calls the leader first.
func TestExchangeFindsTheCellLeader(t *testing.T) {
	request := offload.Message{Cell: "a", FromEpoch: 2, ToEpoch: 3, Requests: []offload.Request{
		{Number: 7, Spec: wire.JobSpec{ID: "run-1", TaskCount: 4}},
	}}
	want := offload.Message{Cell: "b", FromEpoch: 3, ToEpoch: 2, Statuses: []offload.Status{
		{Number: 7, Status: 2, FinalState: wire.JobDone, DoneCount: 4},
	}}
	notLeaderCalls := 0
	var notLeader CellHandler = func(context.Context, offload.Message) (offload.Message, error) {
		notLeaderCalls++
		return offload.Message{}, offload.ErrNotLeader
	}
	leader := func(_ context.Context, message offload.Message) (offload.Message, error) {
		if !reflect.DeepEqual(message, request) {
			t.Errorf("the leader received another message than was sent: %+v", message)
		}
		return want, nil
	}
	nodes := []string{unreachableEndpoint, serveCells(t, nil), serveCells(t, notLeader), serveCells(t, leader)}
	transport := newTestTransport(t, &config.Settings{Node: "a-0"})
	cell := config.Cell{Name: "b", Nodes: strings.Join(nodes, " ")}
	for range 2 {
		response, err := transport.Exchange(t.Context(), cell, request)
		if err != nil || !reflect.DeepEqual(response, want) {
			t.Fatalf("Exchange returned an unexpected response %+v or error %v", response, err)
		}
	}
	if notLeaderCalls != 1 {
		t.Errorf("the node that is not the leader was called %d times, want 1", notLeaderCalls)
	}
	unreachable := config.Cell{Name: "c", Nodes: unreachableEndpoint}
	if _, err := transport.Exchange(t.Context(), unreachable, offload.Message{}); err == nil {
		t.Error("Exchange with a cell whose only node is unreachable succeeded")
	}
}
