package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// deletedMachines holds the machines whose deletion the cloud has confirmed. A confirmation proves that no task runs
// on the machine any more (safety invariant 4); it is kept until the machine's tasks are released and its record is
// deleted. A tombstone outlives it for tuning.TombstoneRetention, as a delayed heartbeat may come long after
// the deletion.
type deletedMachines struct {
	confirmed  map[string]bool
	tombstones map[string]time.Time // when the deletion was confirmed
}

func newDeletedMachines() deletedMachines {
	return deletedMachines{confirmed: map[string]bool{}, tombstones: map[string]time.Time{}}
}

// confirm notes that the cloud has confirmed a machine's deletion.
func (d *deletedMachines) confirm(name string, now time.Time) {
	d.confirmed[name] = true
	d.tombstones[name] = now
}

// isConfirmed reports whether a machine's deletion is confirmed and its tasks or record may be left.
func (d *deletedMachines) isConfirmed(name string) bool { return d.confirmed[name] }

// hasTombstone reports whether a machine was deleted lately.
func (d *deletedMachines) hasTombstone(name string) bool {
	_, deleted := d.tombstones[name]
	return deleted
}

// forgetConfirmed drops the confirmations of machines of which nothing is left; their tombstones stay.
func (d *deletedMachines) forgetConfirmed(nothingLeft func(name string) bool) {
	maps.DeleteFunc(d.confirmed, func(name string, _ bool) bool { return nothingLeft(name) })
}

// pruneTombstones drops the tombstones that have stood for long enough.
func (d *deletedMachines) pruneTombstones(now time.Time) {
	maps.DeleteFunc(d.tombstones, func(_ string, at time.Time) bool { return now.Sub(at) > tuning.TombstoneRetention })
}
