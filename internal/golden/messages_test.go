package golden_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"sableusher/internal/federation"
	"sableusher/internal/graph"
	"sableusher/internal/offload"
	"sableusher/internal/wire"
)

// TestAgentMessages checks that heartbeats, their responses and commands keep their encoding.
func TestAgentMessages(t *testing.T) {
	notice, grace := 12.5, 0.0
	checkCBOR(t, "agents.txt", slices.Concat(
		filled[wire.Heartbeat](t, "heartbeat"),
		filled[wire.TaskStatus](t, "task-status"),
		filled[wire.HeartbeatResponse](t, "heartbeat-answer"),
		filled[wire.Command](t, "command"),
		filled[wire.CommandRequest](t, "commands"),
		filled[wire.HeartbeatRedirect](t, "redirect"),
		[]message{
			{"heartbeat/idle", wire.Heartbeat{
				Machine: "vm-1", Address: "10.0.0.1:80", MachineType: "g8", Zone: "east",
				Session: 1, Sequence: 2, FencingToken: 3, Tasks: []wire.TaskStatus{},
			}},
			{"heartbeat/notice", wire.Heartbeat{
				Machine: "vm-1", Spot: true, Session: 1 << 40, ReclaimNoticeSeconds: &notice,
				Tasks: []wire.TaskStatus{
					{Task: "run-1/0", Attempt: 1, State: wire.TaskFetchingImage},
					{Task: "run-1/1", Attempt: 1, State: wire.TaskAwaitingGang},
					{Task: "run-1/2", Attempt: 1, State: wire.TaskRunning},
					{Task: "run-1/3", Attempt: 1, State: wire.TaskCheckpointing, CheckpointSaved: true},
					{
						Task: "run-1/4", Attempt: 9, State: wire.TaskExited,
						ExitCause: wire.ExitCauseStopped, CheckpointSaved: true,
					},
				},
			}},
			{"heartbeat-answer/none", wire.HeartbeatResponse{FencingToken: 5, Commands: []wire.Command{}}},
			{"commands/all", wire.CommandRequest{FencingToken: 5, Session: 6, Commands: []wire.Command{
				{Kind: wire.CommandStart, Task: "run-1/0", Attempt: 1},
				{Kind: wire.CommandStop, Task: "run-1/1", Attempt: 2, GraceSeconds: &grace},
				{Kind: wire.CommandForget, Task: "run-1/2", Attempt: 3},
			}}},
			{"redirect/other", wire.HeartbeatRedirect{ControllerAddress: "10.0.0.2:8080"}},
		},
	))
}

// TestStoreMessages checks that requests to the key-value store and its responses keep their encoding.
func TestStoreMessages(t *testing.T) {
	value := wire.MustEncode("v")
	checkCBOR(t, "store.txt", slices.Concat(
		filled[wire.KeyValue](t, "row"),
		filled[wire.RangeResponse](t, "rows"),
		filled[wire.Condition](t, "condition"),
		filled[wire.Op](t, "change"),
		filled[wire.TxnRequest](t, "transaction"),
		filled[wire.TxnResponse](t, "transaction-result"),
		filled[wire.Event](t, "event"),
		filled[wire.WatchResponse](t, "watch-answer"),
		filled[wire.LeaseRequest](t, "lease-request"),
		filled[wire.LeaseResponse](t, "lease-result"),
		[]message{
			{"change/set", wire.Op{PutKey: "s/j/run-1", Value: value}},
			{"change/set-with-lease", wire.Op{PutKey: "s/n/n0", Value: value, LeaseID: 4}},
			{"change/delete", wire.Op{DeleteKey: "s/j/run-1"}},
			{"transaction/compare-and-swap", wire.TxnRequest{
				Conditions: []wire.Condition{{Key: "s/j/run-1", ModRevision: 3}, {Key: "s/t/run-1/0001"}},
				Ops:        []wire.Op{{PutKey: "s/j/run-1", Value: value}, {DeleteKey: "s/t/run-1/0001"}},
			}},
			{"transaction/read-only", wire.TxnRequest{Conditions: []wire.Condition{}}},
			{"transaction-result/done", wire.TxnResponse{FailedKeys: []string{}, Revision: 8}},
		},
	))
}

// TestUserMessages checks that job descriptions and the responses to users keep their encoding.
func TestUserMessages(t *testing.T) {
	checkCBOR(t, "users.txt", slices.Concat(
		filled[wire.JobSpec](t, "description"),
		filled[wire.JobResponse](t, "accepted"),
		filled[wire.JobStatus](t, "status"),
		filled[wire.ErrorResponse](t, "problem"),
		[]message{
			{"description/first-version", arraySpec(16)},
			{"accepted/pending", wire.JobResponse{ID: "run-000412", State: wire.JobPending}},
			{"status/running", wire.JobStatus{ID: "run-000412", State: wire.JobRunning, TasksDone: 3, TasksRunning: 4}},
		},
	))
}

// TestHTTPResponses checks that an HTTP response keeps its status, content type and body.
func TestHTTPResponses(t *testing.T) {
	var out strings.Builder
	for _, value := range []any{nil, wire.ErrorResponse{Message: "no such job"}, func() {}} {
		w := httptest.NewRecorder()
		wire.WriteResponse(w, 404, value)
		fmt.Fprintf(&out, "%d %q %x\n", w.Code, w.Header().Get("Content-Type"), w.Body.Bytes())
	}
	checkText(t, "replies.txt", out.String())
}

// TestCloudMessages checks that requests to the cloud and its responses keep their encoding.
func TestCloudMessages(t *testing.T) {
	checkCBOR(t, "cloud.txt", slices.Concat(
		filled[wire.Catalog](t, "catalog"),
		filled[wire.RentalRequest](t, "rental"),
		filled[wire.MachineNames](t, "machines"),
		filled[wire.CloudMachine](t, "listed-machine"),
		filled[wire.MachinePage](t, "list"),
	))
}

// TestCellMessages checks that messages between cells keep their encoding.
func TestCellMessages(t *testing.T) {
	checkCBOR(t, "cells.txt", slices.Concat(
		filled[offload.Message](t, "message"),
		filled[offload.Request](t, "question"),
		filled[offload.Status](t, "answer"),
		filled[offload.Inventory](t, "inventory"),
		filled[federation.Digest](t, "digest"),
		filled[federation.FreeCapacity](t, "free-machines"),
		[]message{
			{"message/question", offload.Message{
				Cell: "a", FromEpoch: 1, ToEpoch: 2,
				Requests:       []offload.Request{{Number: 4, SubmittedAtMs: submittedMs, Spec: arraySpec(2)}},
				EndedTransfers: []uint64{3},
			}},
			{"message/answer", offload.Message{
				Cell: "b", FromEpoch: 2, ToEpoch: 1,
				Statuses: []offload.Status{
					{Number: 3, Status: int(federation.HostEnded), FinalState: wire.JobDone, DoneCount: 2},
				},
			}},
		},
	))
}

// TestGraphFaults checks that faults of graph files, and graphs, keep their JSON and text.
func TestGraphFaults(t *testing.T) {
	fault := graph.Fault{File: "nightly.yaml", Line: 3, Column: 5, Path: "/tasks/3/image", Message: "missing"}
	encoded, err := json.Marshal(fault)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n%s\n", encoded, fault)
	for _, m := range filled[graph.Graph](t, "graph") {
		if encoded, err = json.Marshal(m.value); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s %s\n", m.name, encoded)
	}
	checkText(t, "graphs.txt", out.String())
}
