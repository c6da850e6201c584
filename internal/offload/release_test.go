package offload

import (
	"testing"
	"testing/synctest"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// guestTransfer is the number of the transfer of the test's guest job.
const guestTransfer = 1

// releaseGuest lets a draining cell release a job of another cell that is stored in two records. bound is the state of
// its second task in the store, which the cluster state does not show. It reports whether the job was released.
func releaseGuest(t *testing.T, bound bool) (released bool) {
	t.Helper()
	world := newTestWorld(1, "", &events{})
	cell, home := world.cells[0], world.cells[1].name
	guest := record.Job{
		Spec: wire.JobSpec{
			ID: "run-000001", Team: testTeam, Kind: wire.KindArray, Priority: wire.PriorityNormal,
			TaskCount: 2, CPUs: 1,
		},
		SubmittedAtMs: 1,
		ChunkWidth:    1,
		OffloadedFrom: &record.Transfer{Cell: home, Number: guestTransfer, Epoch: cell.operator.CellEpoch},
	}
	cell.put(record.JobKey(guest.Spec.ID), guest)
	cell.put(record.CellKey(home), record.Cell{LastReceivedTransfer: guestTransfer})
	cell.store.refresh(cell.state)
	if bound {
		task := record.Task{Index: 1, State: record.TaskBound, Attempt: 1, Machine: testMachine, Session: 1}
		op := guest.EncodeTasks(1, []record.Task{task})
		cell.put(op.PutKey, op.Value)
	}
	cell.operator.CellDraining = true
	message := Message{Cell: home, Requests: []Request{{Number: guestTransfer, Spec: guest.Spec, SubmittedAtMs: 1}}}
	err := cell.offloader.applyRequests(t.Context(), &message)
	_, kept := cell.store.values[record.JobKey(guest.Spec.ID)]
	if kept == (err == nil) {
		t.Errorf("job kept: %v, error %v", kept, err)
	}
	return !kept
}

// TestReleaseOfSeveralRecordsSeesAllBindings: a task in a further record of a guest job may have been bound just before
// its release, and the two changes write different records. Guards against a job that runs here and is started again by
// its home.
func TestReleaseOfSeveralRecordsSeesAllBindings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if releaseGuest(t, true) {
			t.Error("released although a task is bound")
		}
		if !releaseGuest(t, false) {
			t.Error("not released although no task is bound")
		}
	})
}
