package main

import (
	"time"

	"sableusher/internal/wire"
)

// memberOf is a task with its worker.
type memberOf struct {
	worker *worker
	task   *workerTask
}

// members returns the tasks of a gang's attempt that are on machines which don't hang. The caller holds the mutex.
func (w *world) members(j *job, number uint64) []memberOf {
	var out []memberOf
	for _, member := range w.tasksOnMachines() {
		if member.task.job == j && member.task.number == number && !member.worker.hung {
			out = append(out, member)
		}
	}
	return out
}

// advanceGang starts a gang once all its tasks wait, and ends a wait that takes too long. The caller holds the mutex.
func (w *world) advanceGang(k *worker, t *workerTask, now time.Time) {
	if now.After(t.until) {
		k.exit(t, wire.ExitCauseGangIncomplete)
		return
	}
	members := w.members(t.job, t.number)
	if len(members) < t.job.spec.TaskCount {
		return
	}
	for _, member := range members {
		if member.task.state == wire.TaskAwaitingGang {
			member.task.run(now)
			member.worker.changed = true
		}
	}
}

// advanceGangs ends the tasks of running gangs that have lost a task. The caller holds the mutex.
func (w *world) advanceGangs(now time.Time) {
	for _, j := range w.jobs {
		if j.spec.Kind != wire.KindGang {
			continue
		}
		for _, k := range w.workers {
			for _, t := range k.tasks {
				isRunning := t.job == j && t.state == wire.TaskRunning && now.Sub(t.started) > w.gangPeer
				if isRunning && len(w.members(j, t.number)) < j.spec.TaskCount && !j.done[t.task] {
					k.exit(t, wire.ExitCauseGangMemberLost)
				}
			}
		}
	}
}
