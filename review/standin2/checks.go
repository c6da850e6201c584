package main

import (
	"fmt"
	"time"

	"sableusher/internal/wire"
)

// violate records that a rule was broken. The caller holds the mutex.
func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.noteLocked("RULE BROKEN " + text)
}

// broken returns the violations so far.
func (w *world) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// complete records that a task has completed; the tasks of a gang complete together. The caller holds the mutex.
func (w *world) complete(t *workerTask) {
	t.job.done[t.task] = true
	if t.job.spec.Kind == wire.KindGang {
		for i := range t.job.spec.TaskCount {
			t.job.done[fmt.Sprintf("%s/%d", t.job.spec.ID, i)] = true
		}
	}
}

// checkStart checks the rules at the moment at which a task is on its machine. The caller holds the mutex.
func (w *world) checkStart(k *worker, t *workerTask, now time.Time) {
	spec := &t.job.spec
	t.job.started[t.task] = true
	w.noteLocked("start", "task", t.task, "attempt", t.number, "machine", k.name, "zone", k.pool.zone)
	if at := t.job.cancelledAt; !at.IsZero() && now.Sub(at) > w.cancelWithin {
		w.violate("ran_cancelled", "%s starts on %s", t.task, k.name)
	}
	if spec.Zone != "" && spec.Zone != k.pool.zone || k.pool.spot && !spec.AllowSpot {
		w.violate("wrong_place", "%s starts on %s in %s", t.task, k.name, k.pool.zone)
	}
	for _, dependency := range spec.Dependencies {
		if needed := w.jobs[dependency]; needed != nil && len(needed.done) < needed.spec.TaskCount {
			w.violate("too_early", "%s starts before %s is done", t.task, dependency)
		}
	}
	w.checkOthers(k, t)
}

// checkOthers checks a start against all other tasks on machines. The caller holds the mutex.
func (w *world) checkOthers(k *worker, t *workerTask) {
	spec := &t.job.spec
	inZone, cpus, gpus := 1, spec.CPUs, spec.GPUs
	for _, other := range w.tasksOnMachines() {
		if other.task == t {
			continue
		}
		if other.task.job.spec.Team == spec.Team {
			cpus, gpus = cpus+other.task.job.spec.CPUs, gpus+other.task.job.spec.GPUs
		}
		if other.task.job != t.job {
			continue
		}
		if other.task.task == t.task && other.worker != k {
			w.violate("ran_twice", "%s starts on %s while it is on %s", t.task, k.name, other.worker.name)
		}
		if other.worker.pool.zone == k.pool.zone {
			inZone++
		} else if spec.SameZone {
			w.violate("wrong_place", "%s starts in %s, %s is elsewhere", t.task, k.pool.zone, other.task.task)
		}
	}
	if spec.Spread && inZone > (spec.TaskCount+1)/2 {
		w.violate("wrong_place", "%d of %d tasks of %s are in %s", inZone, spec.TaskCount, spec.ID, k.pool.zone)
	}
	w.checkQuota(spec.Team, cpus, gpus)
}

// checkQuota checks what a team's tasks use against its limit. The caller holds the mutex.
func (w *world) checkQuota(team string, cpus, gpus float64) {
	for _, setting := range w.teams {
		overCPUs := setting.CPUsMax > 0 && cpus > setting.CPUsMax+1e-3
		overGPUs := setting.GPUsMax > 0 && gpus > setting.GPUsMax+1e-3
		if setting.Name == team && (overCPUs || overGPUs) {
			w.violate("quota", "team %s uses %v CPUs and %v GPUs", team, cpus, gpus)
		}
	}
}

// tasksOnMachines returns all tasks that are on a machine. The caller holds the mutex.
func (w *world) tasksOnMachines() []memberOf {
	var out []memberOf
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if !k.gone && t.onMachine() {
				out = append(out, memberOf{k, t})
			}
		}
	}
	return out
}

// checkCancelled checks that no task of a cancelled job is left. The caller holds the mutex.
func (w *world) checkCancelled(now time.Time) {
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.job == nil || t.job.cancelledAt.IsZero() || !t.onMachine() || k.gone {
				continue
			}
			if now.Sub(t.job.cancelledAt) > w.cancelWithin {
				w.violate("ran_cancelled", "%s is still on %s", t.task, k.name)
				t.job.cancelledAt = now // once
			}
		}
	}
}
