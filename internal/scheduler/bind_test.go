package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/wire"
)

// rejectChunk makes all nodes know that the key-value store has rejected a change of a chunk of a job.
func (f *testCluster) rejectChunk(jobID string, chunk int) {
	rejected := &recordChange{keys: []string{f.cluster.Jobs[jobID].ChunkKey(chunk)}}
	for _, engine := range f.engines {
		engine.changes.reject(rejected, testNow.Add(time.Hour))
	}
}

// TestRejectedRecordHoldsUpItsOwnTasksAlone guards against tasks of all records of a job that wait because the
// key-value store has rejected a change of one of them.
func TestRejectedRecordHoldsUpItsOwnTasksAlone(t *testing.T) {
	const tasks, chunkWidth = 40, 16
	for _, spread := range []bool{false, true} {
		fixture := newTestCluster(t)
		for zone := range 2 {
			fixture.addMachinesInZone(zone, tasks)
		}
		spec := spreadSpec(wire.KindService, wire.PriorityProduction, tasks)
		spec.Spread = spread
		fixture.putSpreadJob(spec, chunkWidth)
		fixture.rejectChunk(spec.ID, 0)
		fixture.scheduleUntilSettled()
		if bound := fixture.cluster.Jobs[spec.ID].BoundCount; bound != tasks-chunkWidth {
			t.Errorf("spread %v: %d tasks bound, want %d", spread, bound, tasks-chunkWidth)
		}
	}
}

// TestGangWaitsForItsRejectedRecord guards against a gang of which some tasks are started and others can't be, because
// the key-value store has rejected a change of one of its records.
func TestGangWaitsForItsRejectedRecord(t *testing.T) {
	const tasks, chunkWidth = 40, 16
	fixture := newTestCluster(t)
	fixture.addMachinesInZone(0, tasks)
	spec := spreadSpec(wire.KindGang, wire.PriorityHigh, tasks)
	spec.Spread = false
	fixture.putSpreadJob(spec, chunkWidth)
	fixture.rejectChunk(spec.ID, 1)
	fixture.scheduleUntilSettled()
	if bound := fixture.cluster.Jobs[spec.ID].BoundCount; bound != 0 {
		t.Errorf("%d of %d tasks bound, want none", bound, tasks)
	}
}
