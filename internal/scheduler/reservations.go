package scheduler

import (
	"iter"
	"maps"
	"time"

	"sableusher/internal/record"
)

// reservation reserves a machine for a task while other tasks on the machine are stopped for it.
type reservation struct {
	task      record.TaskRef
	expiresAt time.Time
}

// reservationTable holds at most one reservation per machine, by machine name.
type reservationTable map[string]reservation

// reserve reserves a machine for a task until expiresAt. It replaces an earlier reservation of the machine.
func (t reservationTable) reserve(machine string, task record.TaskRef, expiresAt time.Time) {
	t[machine] = reservation{task: task, expiresAt: expiresAt}
}

// release ends a machine's reservation.
func (t reservationTable) release(machine string) { delete(t, machine) }

// active returns an iterator over the machines whose reservation has not expired, with the task that each is reserved
// for, in no particular order.
func (t reservationTable) active(now time.Time) iter.Seq2[string, record.TaskRef] {
	return func(yield func(string, record.TaskRef) bool) {
		for machine, reservation := range t {
			if !now.After(reservation.expiresAt) && !yield(machine, reservation.task) {
				return
			}
		}
	}
}

// prune drops the reservations that have expired.
func (t reservationTable) prune(now time.Time) {
	maps.DeleteFunc(t, func(_ string, reservation reservation) bool { return now.After(reservation.expiresAt) })
}
