package offload

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	testTeam        = "open"
	testMachine     = "m1"
	testMachineType = "large"
)

// testWrite is a transaction with a callback for when it is applied.
type testWrite struct {
	kvstore.Transaction
	onApplied func()
}

// testCell is a cell with one node, which is its leader. It has a key-value store, a cluster state that lags behind
// the store, the Offloader under test, and a scheduler that starts and ends tasks by the cluster state.
type testCell struct {
	name      string
	world     *testWorld
	operator  *config.Operator
	store     testStore
	state     *clusterstate.State
	offloader *Offloader
	delayed   []testWrite // transactions without a response that are executed later
}

func newTestCell(world *testWorld, name, other string) *testCell {
	cell := &testCell{
		name:  name,
		world: world,
		operator: &config.Operator{
			CellName:          name,
			CellEpoch:         1,
			MaxOffloadedTasks: 100,
			Cells:             []config.Cell{{Name: other, Nodes: "-", TransferSeconds: 1}},
		},
		store: testStore{values: map[string]storedValue{}},
		state: clusterstate.New(1, slog.New(slog.DiscardHandler)),
	}
	machineType := wire.MachineType{
		Name: testMachineType, CPUs: 64, GPUs: 8, MemoryGB: 512,
		ImageCacheGB: 100, ImageFetchGBps: 1, Zones: []string{"z"},
	}
	cell.put(record.SchemaVersionKey, record.SchemaVersion{Version: tuning.SchemaVersionOffload})
	cell.put(record.CatalogKey, wire.Catalog{Types: []wire.MachineType{machineType}})
	cell.put(record.MachineKey(testMachine), record.Machine{Type: testMachineType, Zone: "z", Up: true})
	cell.elect()
	cell.store.refresh(cell.state)
	cell.restart()
	return cell
}

// put writes a record unconditionally.
func (c *testCell) put(key string, value any) {
	c.mustExecute(kvstore.Transaction{Ops: []wire.Op{kvstore.PutOp(key, value)}})
}

func (c *testCell) mustExecute(transaction kvstore.Transaction) {
	if err := c.store.execute(transaction); err != nil {
		panic(err)
	}
}

// elect writes a new leader's record, as an election does.
func (c *testCell) elect() {
	c.put(record.ShardKey(record.LeaderShard), record.Shard{Owner: c.name, FencingToken: c.store.revision + 1})
}

// restart replaces the Offloader by a new one, which loses the in-memory state.
func (c *testCell) restart() {
	c.offloader = New(Config{
		Operator:     c.operator,
		Teams:        []config.Team{{Name: testTeam}},
		ClusterState: c.state,
		Ownership:    c,
		Committer:    c,
		Transport:    c.world,
		Logger:       slog.New(slog.DiscardHandler),
	})
}

// Ownership implements Owner. The node is always leader, under the leader's record that its cluster state has.
func (c *testCell) Ownership(shard int) (membership.Ownership, bool) {
	seen := c.state.Shards[shard]
	return membership.Ownership{FencingToken: seen.FencingToken, ModRevision: seen.ModRevision}, true
}

// MaxTransactionOps implements Committer.
func (c *testCell) MaxTransactionOps() int { return 8 }

// UpcomingMaxRecordBytes implements Committer.
func (c *testCell) UpcomingMaxRecordBytes() int { return 1 << 16 }

// Commit implements Committer for the Offloader. It removes the conditions that the test world's injected defect
// ignores.
func (c *testCell) Commit(_ context.Context, transaction kvstore.Transaction) (uint64, error) {
	ignored := c.world.ignoredConditions
	isIgnored := func(condition wire.Condition) bool {
		return ignored != "" && strings.HasPrefix(condition.Key, ignored)
	}
	transaction.Conditions = slices.DeleteFunc(slices.Clone(transaction.Conditions), isIgnored)
	return c.store.revision, c.submit(testWrite{Transaction: transaction})
}

// submit executes a write. If faults are enabled, it may leave out the response or delay the write without a response.
func (c *testCell) submit(write testWrite) error {
	switch {
	case c.world.injectFault(&c.world.seen.delayedCommits, 0.05):
		c.delayed = append(c.delayed, write)
		return kvstore.ErrOutcomeUnknown
	case c.world.injectFault(&c.world.seen.unansweredCommits, 0.05):
		_ = c.execute(write)
		return kvstore.ErrOutcomeUnknown
	}
	return c.execute(write)
}

// execute executes a write and checks the written records.
func (c *testCell) execute(write testWrite) error {
	before := map[string]record.Job{}
	for _, op := range write.Ops {
		key := op.PutKey + op.DeleteKey
		if job, ok := c.storedJob(key); ok {
			before[key] = job
		}
	}
	if err := c.store.execute(write.Transaction); err != nil {
		return err
	}
	if write.onApplied != nil {
		write.onApplied()
	}
	for _, op := range write.Ops {
		if op.PutKey != "" {
			c.world.checkWritten(c, op.PutKey, before)
		}
	}
	return nil
}

// executeDelayed executes the delayed writes.
func (c *testCell) executeDelayed() {
	writes := c.delayed
	c.delayed = nil
	for _, write := range writes {
		_ = c.execute(write)
	}
}

// storedJob returns the stored record of a job. It returns false if the key does not exist or is not of a job.
func (c *testCell) storedJob(key string) (record.Job, bool) {
	stored, ok := c.store.values[key]
	if !ok || !strings.HasPrefix(key, record.JobPrefix) {
		return record.Job{}, false
	}
	job, err := record.DecodeJob(stored.value)
	if err != nil {
		panic(err)
	}
	return job, true
}

// submitJob writes the record of a job with one task, as for a submission by a user.
func (c *testCell) submitJob(id string) {
	job := record.Job{
		Spec: wire.JobSpec{
			ID: id, Class: "c", Team: testTeam, Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1,
			CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 5},
		},
		SubmittedAtMs: time.Now().UnixMilli(),
	}
	if err := job.ChooseLayout(c.state.SchemaVersion, c.state.SizeLimits(c.UpcomingMaxRecordBytes())); err != nil {
		panic(err)
	}
	c.put(record.JobKey(id), job)
}

// runScheduler advances every job in the cluster state by at most one step. startLocally is the probability that a job
// of this cell starts; jobs from the other cell start with a probability of 0.2.
func (c *testCell) runScheduler(random *rand.Rand, startLocally float64) {
	for _, id := range c.world.jobIDs {
		job := c.state.Jobs[id]
		if job == nil || !job.HasRecord {
			continue
		}
		startProbability := startLocally
		if job.OffloadedFrom != nil {
			startProbability = 0.2
		}
		switch {
		case job.Complete():
			c.endJob(job, wire.JobDone)
		case job.Cancelled() && job.FullyReleased():
			c.endJob(job, job.CancelledStatus())
		case job.BoundCount > 0 && job.Cancelled():
			c.writeTask(job, record.TaskPending)
		case job.BoundCount > 0 && random.Float64() < 0.2:
			c.writeTask(job, record.TaskDone)
		case job.BoundCount == 0 && job.CanStart() && random.Float64() < startProbability:
			c.writeTask(job, record.TaskBound)
		}
	}
}

// writeTask writes the state of a job's task, and records the start or end of the task once the write is applied.
func (c *testCell) writeTask(job *clusterstate.Job, state record.TaskState) {
	task := job.Task(0)
	task.State = state
	if state == record.TaskBound {
		task.Attempt, task.Machine = task.Attempt+1, testMachine
	}
	id := job.Spec.ID
	_ = c.submit(testWrite{
		Transaction: kvstore.Transaction{
			Conditions: job.ChunkConditions(0),
			Ops:        []wire.Op{job.EncodeChunk(0, map[int]record.Task{0: task})},
		},
		onApplied: func() { c.world.recordTaskState(c.name, id, state) },
	})
}

// endJob replaces the record of a job by its final record or its outcome, as the scheduler does.
func (c *testCell) endJob(job *clusterstate.Job, state wire.JobState) {
	change := recordChange{conditions: []wire.Condition{jobCondition(job)}}
	if transfer := job.OffloadedFrom; transfer != nil {
		outcome := record.TransferOutcome{JobID: job.Spec.ID, Status: state, DoneCount: job.DoneCount}
		change.ops = []wire.Op{
			kvstore.PutOp(record.TransferOutcomeKey(transfer.Cell, transfer.Number), outcome),
			kvstore.DeleteOp(record.JobKey(job.Spec.ID)),
		}
	} else {
		change.ops = job.FinalizeOps(state, job.DoneCount, time.Now().UnixMilli())
	}
	_ = c.submit(testWrite{Transaction: kvstore.Transaction{Conditions: change.conditions, Ops: change.ops}})
}

// edit writes a job's own record as changed by edit, on condition that the cluster state has its current version.
func (c *testCell) edit(job *clusterstate.Job, edit func(*record.Job)) {
	var change recordChange
	change.addJobRewrite(job, edit)
	_ = c.submit(testWrite{Transaction: kvstore.Transaction{Conditions: change.conditions, Ops: change.ops}})
}

// recallOffloaded marks an offloaded job as recalled.
func recallOffloaded(stored *record.Job) {
	recalled := *stored.OffloadedTo
	recalled.Recalled = true
	stored.OffloadedTo = &recalled
}
