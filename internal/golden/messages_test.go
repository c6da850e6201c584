package golden_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"

	"sableusher/internal/federation"
	"sableusher/internal/graph"
	"sableusher/internal/offload"
	"sableusher/internal/wire"
)

// TestWorkerMessages: heartbeats, their answers and commands keep their bytes.
func TestWorkerMessages(t *testing.T) {
	notice, grace := 12.5, 0.0
	checkCBOR(t, "workers.txt", slices.Concat(
		filled[wire.Heartbeat](t, "heartbeat"),
		filled[wire.TaskStatus](t, "task-status"),
		filled[wire.HeartbeatResponse](t, "heartbeat-answer"),
		filled[wire.Command](t, "command"),
		filled[wire.CommandRequest](t, "commands"),
		filled[wire.HeartbeatRedirect](t, "redirect"),
		[]message{
			{"heartbeat/idle", wire.Heartbeat{Machine: "vm-1", Address: "10.0.0.1:80", MachineType: "g8", Zone: "east", Session: 1, Sequence: 2, FencingToken: 3, Tasks: []wire.TaskStatus{}}},
			{"heartbeat/notice", wire.Heartbeat{Machine: "vm-1", Spot: true, Session: 1 << 40, ReclaimNoticeSeconds: &notice, Tasks: []wire.TaskStatus{
				{Task: "run-1/0", Attempt: 1, State: wire.TaskFetchingImage},
				{Task: "run-1/1", Attempt: 1, State: wire.TaskAwaitingGang},
				{Task: "run-1/2", Attempt: 1, State: wire.TaskRunning},
				{Task: "run-1/3", Attempt: 1, State: wire.TaskCheckpointing, CheckpointSaved: true},
				{Task: "run-1/4", Attempt: 9, State: wire.TaskExited, ExitCause: wire.ExitCauseStopped, CheckpointSaved: true},
			}}},
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

// TestStoreMessages: messages of the key-value store keep their bytes.
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
			{"transaction/compare-and-swap", wire.TxnRequest{Conditions: []wire.Condition{{Key: "s/j/run-1", ModRevision: 3}, {Key: "s/t/run-1/0001"}},
				Ops: []wire.Op{{PutKey: "s/j/run-1", Value: value}, {DeleteKey: "s/t/run-1/0001"}}}},
			{"transaction/read-only", wire.TxnRequest{Conditions: []wire.Condition{}}},
			{"transaction-result/done", wire.TxnResponse{FailedKeys: []string{}, Revision: 8}},
		},
	))
}

// TestUserMessages: a job's description and the answers to its user keep their bytes.
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

// submission is a job as a user sends it, every field given.
func submission() map[string]any {
	return map[string]any{"id": "run-000412", "lot": "train", "crew": "vision", "rig": "group", "precedence": "urgent", "hauls": 16,
		"vcpus": 8.0, "cards": 1.0, "memory_gb": 64.0, "tackle": "img-07", "size_gb": 6.2, "hulls": []string{"g8"}, "harbor": "east",
		"same_place": true, "spread": true, "standby": true, "reckon_s": 240.0, "landfall_s": 30.0, "stow_s": 4.0, "cutoff_s": 900.0,
		"awaits": []string{"run-1", "run-2"}, "repeats": 3}
}

// TestSubmissions: a submission is read into the same description, and refused with the same words.
func TestSubmissions(t *testing.T) {
	var out strings.Builder
	try := func(name string, body []byte) {
		spec, err := wire.DecodeSubmission(body)
		if err != nil {
			fmt.Fprintf(&out, "%s: %v\n", name, err)
			return
		}
		fmt.Fprintf(&out, "%s: %x\n", name, wire.MustEncode(spec))
	}
	try("every field", wire.MustEncode(submission()))
	for _, field := range []string{"id", "lot", "crew", "rig", "precedence", "hauls", "vcpus", "cards", "memory_gb", "tackle", "size_gb", "hulls",
		"harbor", "same_place", "spread", "standby", "reckon_s", "landfall_s", "stow_s", "cutoff_s", "awaits", "repeats"} {
		body := submission()
		delete(body, field)
		try("without "+field, wire.MustEncode(body))
		for _, value := range []any{"", "nothing", -1, 1e12, []string{}, []string{"a", "a"}, true} {
			body[field] = value
			try(fmt.Sprintf("%s = %v", field, value), wire.MustEncode(body))
		}
	}
	try("no map", wire.MustEncode(1))
	try("nothing", nil)
	body := submission()
	body["vcpus"], body["cards"], body["memory_gb"] = 0.0, 0.0, 0.0
	try("no amount", wire.MustEncode(body))
	for _, repeats := range []any{nil, 0, 3, -1, 1 << 40, "3"} {
		body["repeats"] = repeats
		asked, err := wire.DecodeMaxRetries(wire.MustEncode(body))
		if asked != nil {
			fmt.Fprintf(&out, "repeats = %v: %d\n", repeats, *asked)
			continue
		}
		fmt.Fprintf(&out, "repeats = %v: none, %v\n", repeats, err)
	}
	checkText(t, "submissions.txt", out.String())
}

// TestWords: the words of the protocol that stand for kinds, states, causes and commands are the same.
func TestWords(t *testing.T) {
	var messages []message
	for _, word := range []struct {
		name  string
		value any
	}{
		{"kind/array", wire.KindArray}, {"kind/gang", wire.KindGang}, {"kind/service", wire.KindService},
		{"priority/0", wire.PriorityProduction}, {"priority/1", wire.PriorityHigh}, {"priority/2", wire.PriorityNormal}, {"priority/3", wire.PriorityLow},
		{"job/pending", wire.JobPending}, {"job/running", wire.JobRunning}, {"job/done", wire.JobDone},
		{"job/cancelled", wire.JobCancelled}, {"job/failed", wire.JobFailed},
		{"task/fetching", wire.TaskFetchingImage}, {"task/waiting", wire.TaskAwaitingGang}, {"task/running", wire.TaskRunning},
		{"task/saving", wire.TaskCheckpointing}, {"task/exited", wire.TaskExited},
		{"cause/done", wire.ExitCauseDone}, {"cause/stopped", wire.ExitCauseStopped}, {"cause/peers", wire.ExitCauseGangMemberLost}, {"cause/alone", wire.ExitCauseGangIncomplete},
		{"cause/error", wire.ExitCauseError}, {"cause/no-room", wire.ExitCauseNoCapacity}, {"cause/busy", wire.ExitCauseAlreadyRunning}, {"cause/unknown", wire.ExitCauseUnknownTask},
		{"command/start", wire.CommandStart}, {"command/stop", wire.CommandStop}, {"command/forget", wire.CommandForget},
		{"machine/booting", wire.MachineBooting}, {"machine/running", wire.MachineRunning}, {"machine/failed", wire.MachineFailed},
		{"content-type", wire.ContentType},
		{"transfer/absent", federation.Absent}, {"transfer/held", federation.Held}, {"transfer/over", federation.Over},
		{"standing/unknown", federation.Unknown}, {"standing/joined", federation.Joined}, {"standing/doubted", federation.Doubted}, {"standing/lost", federation.Lost},
		{"standing/draining", federation.Draining}, {"standing/returning", federation.Returning}, {"standing/left", federation.Left},
	} {
		messages = append(messages, message{word.name, word.value})
	}
	checkCBOR(t, "words.txt", messages)
	if reflect.TypeOf(wire.PriorityCount).Kind() != reflect.Int || wire.PriorityCount != 4 {
		t.Errorf("%d priorities", wire.PriorityCount)
	}
}

// TestReply: an answer has the same status, type and body.
func TestReply(t *testing.T) {
	var out strings.Builder
	for _, value := range []any{nil, wire.ErrorResponse{Message: "no such job"}, func() {}} {
		w := httptest.NewRecorder()
		wire.WriteResponse(w, 404, value)
		fmt.Fprintf(&out, "%d %q %x\n", w.Code, w.Header().Get("Content-Type"), w.Body.Bytes())
	}
	checkText(t, "replies.txt", out.String())
}

// TestCloudMessages: messages of the cloud keep their bytes.
func TestCloudMessages(t *testing.T) {
	checkCBOR(t, "cloud.txt", slices.Concat(
		filled[wire.Catalog](t, "catalog"),
		filled[wire.RentalRequest](t, "rental"),
		filled[wire.MachineNames](t, "machines"),
		filled[wire.CloudMachine](t, "listed-machine"),
		filled[wire.MachinePage](t, "list"),
	))
}

// TestCellMessages: messages between cells keep their bytes.
func TestCellMessages(t *testing.T) {
	checkCBOR(t, "cells.txt", slices.Concat(
		filled[offload.Message](t, "message"),
		filled[offload.Ask](t, "question"),
		filled[offload.Word](t, "answer"),
		filled[offload.Inventory](t, "inventory"),
		filled[federation.Digest](t, "digest"),
		filled[federation.Room](t, "free-machines"),
		[]message{
			{"message/question", offload.Message{Cell: "a", From: 1, To: 2, Asks: []offload.Ask{{Number: 4, AtMs: 1_700_000_000_000, Spec: arraySpec(2)}}, Have: []uint64{3}}},
			{"message/answer", offload.Message{Cell: "b", From: 2, To: 1, Words: []offload.Word{{Number: 3, Status: int(federation.Over), Final: wire.JobDone, Done: 2}}}},
		},
	))
}

// TestGraphFaults: faults of graph files are printed with the same JSON and text.
func TestGraphFaults(t *testing.T) {
	fault := graph.Fault{File: "nightly.yaml", Line: 3, Column: 5, Path: "/tasks/3/image", What: "missing"}
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
