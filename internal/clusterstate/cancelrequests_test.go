package clusterstate

import (
	"log/slog"
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestStoppingJobMarksItsMachinesChanged checks that the change feed reports the machines of a job's bound tasks when
// the job is cancelled and when its cancellation is requested, because the tasks have to be stopped there.
func TestStoppingJobMarksItsMachinesChanged(t *testing.T) {
	const machine = "vm-1"
	for name, stop := range map[string]func(*record.Job){
		"cancelled": func(job *record.Job) { job.MarkCancelled(5, true) },
		"requested": func(job *record.Job) { job.RequestCancel(5) },
	} {
		t.Run(name, func(t *testing.T) {
			state := New(testShards, slog.New(slog.DiscardHandler))
			bound := record.Task{State: record.TaskBound, Attempt: 1, Machine: machine}
			job := record.Job{Spec: wire.JobSpec{ID: "run-1", TaskCount: 2}, Tasks: []record.Task{bound}}
			put := func(revision uint64) {
				state.BeginUpdate()
				state.Put(record.JobKey(job.Spec.ID), wire.MustEncode(job), revision)
				state.EndUpdate()
			}
			put(1)
			feed := state.NewChangeFeed()
			clear(feed.machines)
			put(2)
			if len(feed.machines) > 0 {
				t.Errorf("unchanged job marked machines %v as changed", feed.machines)
			}
			stop(&job)
			put(3)
			if _, changed := feed.machines[machine]; !changed || !state.Jobs[job.Spec.ID].Stopping() {
				t.Errorf("stopped job marked only machines %v as changed, or is not stopping", feed.machines)
			}
		})
	}
}
