package scheduler

import (
	"maps"
	"slices"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// recordKey names one record of a job.
type recordKey struct {
	job         *clusterstate.Job
	recordIndex int
}

// gangAttempt names one attempt of a gang.
type gangAttempt struct {
	job     *clusterstate.Job
	attempt uint64
}

// recordEdit gathers the changes of one record of a job.
type recordEdit struct {
	job         *clusterstate.Job
	recordIndex int
	tasks       map[int]record.Task
	shards      map[int]bool
	bindings    []pendingBinding
	encodedSize int  // what the record takes, as JSON; 0: not measured yet
	failsJob    bool // a task of it has no repeat left: the job fails
}

// usage is what a team's tasks of a part take, those on their way included.
func (c *cycle) usage(shard int, team string) record.Resources {
	return c.cluster.UsageByShard[shard][team].Plus(c.inFlight.byTeam[shard][team])
}

// editRecord opens the record that holds a task; nil while a change of it is on its
// way, or while it has to be moved first.
func (c *cycle) editRecord(job *clusterstate.Job, taskIndex int) *recordEdit {
	recordIndex := job.ChunkOf(taskIndex)
	key := job.ChunkKey(recordIndex)
	if c.changes.rejected(key) || c.changes.inFlight(key) ||
		recordIndex > 0 && c.changes.inFlight(job.ChunkKey(0)) && job.Spec.SameZone || c.needsMigration(job) {
		return nil
	}
	edit := c.recordEdits[recordKey{job, recordIndex}]
	if edit == nil {
		edit = &recordEdit{job: job, recordIndex: recordIndex, tasks: map[int]record.Task{}, shards: map[int]bool{}}
		c.recordEdits[recordKey{job, recordIndex}] = edit
	}
	return edit
}

// needsMigration tells whether a job's records have to be moved before they are written
// again, and asks for it.
func (c *cycle) needsMigration(job *clusterstate.Job) bool {
	if c.cluster.SchemaVersion < tuning.LevelPipelines || !job.NeedsMigration(c.cluster.SizeLimits(c.committer.MaxRecordBytes())) {
		return false
	}
	c.migration.request(job.Spec.ID)
	return true
}

// maxBindingBytes is the most that binding a task to a machine adds to its record, as JSON.
func maxBindingBytes(machine string) int { return len(machine) + tuning.TaskBytes/2 }

// recordFull tells whether a record has no room for so many more bound tasks. Without
// the check a state service with a small limit would refuse the record over and over.
func (c *cycle) recordFull(job *clusterstate.Job, recordIndex, added int, machine string) bool {
	limit := c.committer.MaxRecordBytes()
	if c.cluster.SizeLimits(limit).FixedChunksFit(&job.Spec, job.EncodedBaseSize) {
		return false
	}
	edit := c.recordEdits[recordKey{job, recordIndex}]
	if edit == nil {
		edit = &recordEdit{} // nothing of it has changed in this round
	}
	if edit.encodedSize == 0 {
		edit.encodedSize = job.MaxChunkSize(recordIndex, edit.tasks)
	}
	return edit.encodedSize+added*maxBindingBytes(machine) > limit
}

// taskState is a task's state with this round's changes.
func (c *cycle) taskState(job *clusterstate.Job, taskIndex int) record.Task {
	if edit := c.recordEdits[recordKey{job, job.ChunkOf(taskIndex)}]; edit != nil {
		if task, ok := edit.tasks[taskIndex]; ok {
			return task
		}
	}
	return job.Task(taskIndex)
}

// finalOps gives the ops that turn a job's records into its final one.
func (c *cycle) finalOps(job *clusterstate.Job, status wire.JobState, done int) []wire.Op {
	id := job.Spec.ID
	if guest := job.OffloadedFrom; guest != nil {
		// Its home alone answers its user, and is told from this until it has it.
		guestOutcomeRecord := record.GuestOutcome{JobID: id, Status: status, DoneCount: done}
		ops := []wire.Op{kvstore.PutOp(record.GuestOutcomeKey(guest.Cell, guest.Number), guestOutcomeRecord), kvstore.DeleteOp(record.JobKey(id))}
		return append(ops, c.deleteRecordOps(job, len(ops))...)
	}
	ops := job.FinalizeOps(status, done, c.now.UnixMilli())
	return append(ops, c.deleteRecordOps(job, len(ops))...)
}

// deleteRecordOps removes as many of a job's further records as a transaction with so many
// changes has room for; what stays is swept later.
func (c *cycle) deleteRecordOps(job *clusterstate.Job, opCount int) []wire.Op {
	return job.DeleteFurtherChunks(c.committer.MaxTransactionOps() - opCount)
}

// buildChanges turns the edits into changes.
func (c *cycle) buildChanges() {
	byJob := map[string][]*recordEdit{}
	for _, edit := range c.recordEdits {
		if len(edit.tasks) > 0 {
			byJob[edit.job.Spec.ID] = append(byJob[edit.job.Spec.ID], edit)
		}
	}
	for id, edits := range byJob {
		job := edits[0].job
		if job.Spec.Kind == wire.KindGang && len(edits) > 1 && len(edits) <= c.maxRecordsPerTxn(job) {
			// A gang's tasks are bound together. One too long for a transaction is
			// bound record by record and withdrawn if it does not become whole.
			c.emitChange(id, job, edits)
			continue
		}
		for _, edit := range edits {
			c.emitChange(id, job, []*recordEdit{edit})
		}
	}
}

// maxRecordsPerTxn is how many records of a job one transaction may write, with the job's
// own beside them.
func (c *cycle) maxRecordsPerTxn(job *clusterstate.Job) int {
	if job.ChunkWidth == 0 {
		return min(tuning.GangRecords, c.committer.MaxTransactionOps()-1)
	}
	return min(tuning.TxnBytes/max(c.committer.MaxRecordBytes(), 1), c.committer.MaxTransactionOps()-1)
}

func (c *cycle) emitChange(id string, job *clusterstate.Job, edits []*recordEdit) {
	change := &recordChange{description: "tasks of " + id}
	shards, done, bound, writesJobRecord := map[int]bool{}, job.DoneCount, job.BoundCount, false
	failsJob := slices.ContainsFunc(edits, func(edit *recordEdit) bool { return edit.failsJob })
	if failsJob {
		// Marked as cancelled, so that all that holds for such jobs holds: nothing starts
		// any more, what runs is stopped, what awaits it falls.
		failed := *job
		failed.CancelledAtMs, failed.CancelAfterRelease, failed.Failed = max(c.now.UnixMilli(), 1), true, true
		job = &failed
	}
	conditions := map[string]uint64{}
	for _, edit := range edits {
		for taskIndex, task := range edit.tasks {
			switch old := job.Task(taskIndex); old.State {
			case record.TaskBound:
				bound--
			case record.TaskDone:
				done--
			}
			switch task.State {
			case record.TaskBound:
				bound++
			case record.TaskDone:
				done++
			}
		}
		maps.Copy(shards, edit.shards)
		for _, condition := range job.ChunkConditions(edit.recordIndex) {
			conditions[condition.Key] = condition.ModRevision
		}
		op := job.EncodeChunk(edit.recordIndex, edit.tasks)
		change.transaction.Ops = append(change.transaction.Ops, op)
		change.keys = append(change.keys, op.PutKey)
		change.bindings = append(change.bindings, edit.bindings...)
		writesJobRecord = writesJobRecord || edit.recordIndex == 0
	}
	onlyRecord := len(job.FurtherChunkKeys()) == 0 && job.ChunkCount() == 1
	switch {
	case onlyRecord && done == job.Spec.TaskCount:
		change.transaction.Ops = c.finalOps(job, wire.JobDone, done)
	case onlyRecord && job.Cancelled() && bound == 0:
		change.transaction.Ops = c.finalOps(job, job.CancelledStatus(), done)
	case !writesJobRecord && (failsJob || !onlyRecord && job.Spec.SameZone && len(change.bindings) > 0):
		// The mark stands in the job's own record; and bindings of different records must
		// not choose different zones at once.
		op := job.EncodeChunk(0, nil)
		change.transaction.Ops = append(change.transaction.Ops, op)
		change.keys = append(change.keys, op.PutKey)
	}
	for _, shard := range slices.Sorted(maps.Keys(shards)) {
		if modRevision, owned := c.shards.revisions[shard]; owned {
			change.shards = append(change.shards, shard)
			conditions[record.ShardKey(shard)] = modRevision
		} else {
			// A gang's machine in another node's part, while that node owns it.
			conditions[record.ShardKey(shard)] = c.cluster.Shards[shard].ModRevision
		}
	}
	for _, key := range slices.Sorted(maps.Keys(conditions)) {
		change.transaction.Conditions = append(change.transaction.Conditions, wire.Condition{Key: key, ModRevision: conditions[key]})
	}
	switch {
	case job.Spec.Priority == wire.PriorityProduction:
		change.transaction.Priority = kvstore.PriorityUrgent
	case c.effectiveRank(job) <= wire.PriorityHigh.Rank():
		change.transaction.Priority = kvstore.PriorityHigh
	}
	c.outgoing = append(c.outgoing, change)
}

// updateMachineRecord adds a change of a machine's record, and gives it for its place in the queue.
func (c *cycle) updateMachineRecord(description, name string, shard int, machineRecord record.Machine, modRevision uint64) *kvstore.Transaction {
	key := record.MachineKey(name)
	change := &recordChange{
		description: description, keys: []string{key}, shards: []int{shard}, harmlessWhenLate: true,
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: record.ShardKey(shard), ModRevision: c.shards.revisions[shard]}, {Key: key, ModRevision: modRevision}},
			Ops:        []wire.Op{kvstore.PutOp(key, machineRecord)},
		},
	}
	c.outgoing = append(c.outgoing, change)
	return &change.transaction
}
