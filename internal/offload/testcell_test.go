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

// testWrite is a transaction, with what it means for the tasks of the test.
type testWrite struct {
	kvstore.Transaction
	onApplied func()
}

// testCell is a cell with one node, which is its leader: a key-value store, the cluster state that follows it
// with a delay, the driver under test, and a scheduler that starts and ends tasks by the cluster state.
type testCell struct {
	name      string
	world     *testWorld
	operator  *config.Operator
	store     testStore
	state     *clusterstate.State
	offloader *Offloader
	delayed   []testWrite // sent, not answered, to be executed later
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

// put writes a record without a condition.
func (c *testCell) put(key string, value any) {
	c.mustExecute(kvstore.Transaction{Ops: []wire.Op{kvstore.PutOp(key, value)}})
}

func (c *testCell) mustExecute(transaction kvstore.Transaction) {
	if err := c.store.execute(transaction); err != nil {
		panic(err)
	}
}

// elect writes the leader's record, as an election does.
func (c *testCell) elect() {
	c.put(record.ShardKey(record.LeaderShard), record.Shard{Owner: c.name, FencingToken: c.store.revision + 1})
}

// restart replaces the driver by one that remembers nothing.
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

// Ownership implements Owner: the node leads under the leader's record that it has seen.
func (c *testCell) Ownership(shard int) (membership.Ownership, bool) {
	seen := c.state.Shards[shard]
	return membership.Ownership{FencingToken: seen.FencingToken, ModRevision: seen.ModRevision}, true
}

// MaxTransactionOps implements Committer.
func (c *testCell) MaxTransactionOps() int { return 8 }

// UpcomingMaxRecordBytes implements Committer.
func (c *testCell) UpcomingMaxRecordBytes() int { return 1 << 16 }

// Commit implements Committer for the driver. A planted defect takes conditions out.
func (c *testCell) Commit(_ context.Context, transaction kvstore.Transaction) (uint64, error) {
	ignored := c.world.ignoredConditions
	isIgnored := func(condition wire.Condition) bool {
		return ignored != "" && strings.HasPrefix(condition.Key, ignored)
	}
	transaction.Conditions = slices.DeleteFunc(slices.Clone(transaction.Conditions), isIgnored)
	return c.store.revision, c.submit(testWrite{Transaction: transaction})
}

// submit executes a write now, now without an answer, or later without an answer.
func (c *testCell) submit(write testWrite) error {
	switch {
	case c.world.trouble(&c.world.seen.delayedCommits, 0.05):
		c.delayed = append(c.delayed, write)
		return kvstore.ErrOutcomeUnknown
	case c.world.trouble(&c.world.seen.unansweredCommits, 0.05):
		_ = c.execute(write)
		return kvstore.ErrOutcomeUnknown
	}
	return c.execute(write)
}

// execute executes a write and holds what it changed to the rules.
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

// executeDelayed executes the writes that were delayed.
func (c *testCell) executeDelayed() {
	writes := c.delayed
	c.delayed = nil
	for _, write := range writes {
		_ = c.execute(write)
	}
}

// storedJob decodes the record of a job as it is stored now.
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

// submitJob records a job of one task, as accepted from a user.
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

// runScheduler lets every job that the cluster state knows go on.
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

// writeTask writes the state of a job's task, and starts or ends it.
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
		onApplied: func() { c.world.noteTask(c.name, id, state) },
	})
}

// endJob replaces the record of a job by its end, as the scheduler does.
func (c *testCell) endJob(job *clusterstate.Job, state wire.JobState) {
	change := recordChange{conditions: []wire.Condition{jobCondition(job)}}
	if guest := job.OffloadedFrom; guest != nil {
		outcome := record.GuestOutcome{JobID: job.Spec.ID, Status: state, DoneCount: job.DoneCount}
		change.ops = []wire.Op{
			kvstore.PutOp(record.GuestOutcomeKey(guest.Cell, guest.Number), outcome),
			kvstore.DeleteOp(record.JobKey(job.Spec.ID)),
		}
	} else {
		change.ops = job.FinalizeOps(state, job.DoneCount, time.Now().UnixMilli())
	}
	_ = c.submit(testWrite{Transaction: kvstore.Transaction{Conditions: change.conditions, Ops: change.ops}})
}

// edit rewrites a job's own record, as far as the cluster state knows it.
func (c *testCell) edit(job *clusterstate.Job, edit func(*record.Job)) {
	var change recordChange
	change.addJobRewrite(job, edit)
	_ = c.submit(testWrite{Transaction: kvstore.Transaction{Conditions: change.conditions, Ops: change.ops}})
}

// recallOffloaded records that a job that is offloaded is wanted back.
func recallOffloaded(stored *record.Job) {
	recalled := *stored.OffloadedTo
	recalled.Recalled = true
	stored.OffloadedTo = &recalled
}
