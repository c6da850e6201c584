package offload

import (
	"context"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// recordChange is a transaction under construction: operations on records, and the conditions of the transaction.
type recordChange struct {
	conditions []wire.Condition
	ops        []wire.Op
}

// add adds an operation and its condition.
func (c *recordChange) add(condition wire.Condition, op wire.Op) {
	c.conditions, c.ops = append(c.conditions, condition), append(c.ops, op)
}

// addJobRewrite adds a write of a job's own record as changed by edit, on condition that it has not changed since.
func (c *recordChange) addJobRewrite(job *clusterstate.Job, edit func(*record.Job)) {
	edited := *job
	edit(&edited.Job)
	c.add(jobCondition(job), edited.EncodeChunk(0, nil))
}

// addReturn adds a write that returns the right to start an offloaded job to this cell.
func (c *recordChange) addReturn(job *clusterstate.Job) {
	c.addJobRewrite(job, func(stored *record.Job) { stored.OffloadedTo = nil })
}

// jobCondition returns the condition that a job's own record has not changed since it was read.
func jobCondition(job *clusterstate.Job) wire.Condition {
	return wire.Condition{Key: record.JobKey(job.Spec.ID), ModRevision: job.ModRevision}
}

// newChange returns a change that concerns another cell. It has the conditions that this node is still the leader
// and that the cell's record has not changed. isLeader reports whether this node is the leader now. Callers hold the
// lock of the cluster state.
func (o *Offloader) newChange(cell string) (change recordChange, isLeader bool) {
	ownership, isLeader := o.ownership.Ownership(record.LeaderShard)
	change.conditions = []wire.Condition{
		{Key: record.ShardKey(record.LeaderShard), ModRevision: ownership.ModRevision},
		{Key: record.CellKey(cell)},
	}
	if known := o.clusterState.Cells[cell]; known != nil {
		change.conditions[1].ModRevision = known.ModRevision
	}
	return change, isLeader
}

// commit commits a change. It waits for at most tuning.CommitTimeout.
func (o *Offloader) commit(ctx context.Context, change recordChange) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	_, err := o.committer.Commit(ctx, kvstore.Transaction{
		Conditions: change.conditions,
		Ops:        change.ops,
		Priority:   kvstore.PriorityHigh,
	})
	return err
}

// cellRecord returns the record of another cell, or the zero record if there is none. Callers hold the lock of the
// cluster state.
func (o *Offloader) cellRecord(cell string) record.Cell {
	if known := o.clusterState.Cells[cell]; known != nil {
		return known.Cell
	}
	return record.Cell{}
}

// inventoryReceived reports whether the inventory of a cell was received under this cell's present epoch.
func (o *Offloader) inventoryReceived(stored record.Cell) bool {
	return stored.OwnEpoch == o.operator.CellEpoch && stored.InventoryReceived
}

// underOwnEpoch returns a cell's record updated to this cell's present epoch: an inventory that was received under
// an earlier epoch is marked as not received.
func (o *Offloader) underOwnEpoch(stored record.Cell) record.Cell {
	if stored.OwnEpoch != o.operator.CellEpoch {
		stored.OwnEpoch, stored.InventoryReceived = o.operator.CellEpoch, false
	}
	return stored
}

// chooseLayout chooses how the tasks of a new job are distributed over records. Callers hold the lock of the cluster
// state.
func (o *Offloader) chooseLayout(job *record.Job) error {
	limits := o.clusterState.SizeLimits(o.committer.UpcomingMaxRecordBytes())
	return job.ChooseLayout(o.clusterState.SchemaVersion, limits)
}
