package world

import (
	"time"

	"sableusher/internal/wire"
)

// A job may await others. What became of those is read from their records: a
// live one tells by itself, one that is over by its final record, which the
// resolver reads. Done and cancelled never turn back, so what was once seen
// stands; what was not seen proves nothing.

// await enters a job's awaited jobs into the index.
func (w *World) await(id string, j *Job) {
	for _, a := range j.Spec.Dependencies {
		set := w.waiters[a]
		if set == nil {
			set = map[string]struct{}{}
			w.waiters[a] = set
		}
		set[id] = struct{}{}
	}
	w.reckon(id)
}

// unawait takes a job that is over out of the index, and what only it needed.
func (w *World) unawait(id string, j *Job) {
	for _, a := range j.Spec.Dependencies {
		delete(w.waiters[a], id)
		if len(w.waiters[a]) == 0 {
			delete(w.waiters, a)
			delete(w.over, a)
			delete(w.unread, a)
		}
	}
	delete(w.doomed, id)
}

// tellWaiters looks again at the jobs that await one of which something changed.
func (w *World) tellWaiters(id string) {
	for waiter := range w.waiters[id] {
		w.reckon(waiter)
	}
}

// reckon finds out what became of the jobs that one awaits.
func (w *World) reckon(id string) {
	j := w.Jobs[id]
	if j == nil || !j.Known || j.Doomed {
		return
	}
	w.touchJob(id)
	for _, a := range j.Spec.Dependencies {
		if _, ok := j.met[a]; ok {
			continue
		}
		live := w.Jobs[a]
		final, over := w.over[a]
		switch {
		case over && final.Status == wire.JobDone:
			j.meet(a, final.AtMs)
		case !over && live != nil && live.Complete():
			delete(w.unread, a)
			j.meet(a, time.Now().UnixMilli())
		case over, live != nil && live.Known && (live.Cancelled() || live.Doomed):
			delete(w.unread, a)
			w.doom(id, j)
			return
		case live != nil && live.Known:
			delete(w.unread, a)
		default:
			w.unread[a] = struct{}{}
		}
	}
}

func (j *Job) meet(a string, atMs int64) {
	if j.met == nil {
		j.met = map[string]int64{}
	}
	j.met[a] = atMs
	j.ReadyMs = max(j.ReadyMs, atMs)
}

func (w *World) doom(id string, j *Job) {
	j.Doomed, j.DoomAt = true, time.Now()
	w.doomed[id] = struct{}{}
	w.tellWaiters(id)
}

// Waits tells whether a job that this one needs is not known to be done. It is
// the one guard that every binding passes.
func (j *Job) Waits() bool { return len(j.met) < len(j.Spec.Dependencies) || j.Doomed }

// SinceMs is when the job could have started at the earliest: its submission, or
// the end of the last job that it awaits.
func (j *Job) SinceMs() int64 { return max(j.AtMs, j.ReadyMs) }

// Since is SinceMs as a time.
func (j *Job) Since() time.Time { return time.UnixMilli(j.SinceMs()) }

// Waiters gives the live jobs that await one. Callers hold the lock.
func (w *World) Waiters(id string) map[string]struct{} { return w.waiters[id] }

// Doomed gives the live jobs that fall with one that they need. Callers hold the lock.
func (w *World) Doomed() map[string]struct{} { return w.doomed }

// Undecided tells whether a job may be about to fall with another: a poll must
// not call it waiting. Callers hold the lock.
func (w *World) Undecided(j *Job) bool {
	if j.Doomed {
		return true
	}
	for _, a := range j.Spec.Dependencies {
		if _, met := j.met[a]; !met {
			if _, ok := w.unread[a]; ok {
				return true
			}
		}
	}
	return false
}

// Unread lists the awaited jobs whose final record is to be read.
func (w *World) Unread() []string {
	w.RLock()
	defer w.RUnlock()
	out := make([]string, 0, len(w.unread))
	for id := range w.unread {
		out = append(out, id)
	}
	return out
}

// Over takes in the final record of an awaited job.
func (w *World) Over(id string, rec FinalRecord) {
	w.Begin()
	defer w.Flush()
	if len(w.waiters[id]) > 0 {
		w.over[id] = rec
		delete(w.unread, id)
		w.tellWaiters(id)
	}
}
