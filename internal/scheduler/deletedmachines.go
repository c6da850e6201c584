package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// deletedMachines holds the machines whose deletion the cloud has confirmed. A confirmation proves that no task runs
// on the machine any more (safety invariant 4). It is kept until the machine's tasks are released and its record is
// deleted. A tombstone is kept for tuning.TombstoneRetention even after that, because a delayed heartbeat may arrive
// long after the deletion.
type deletedMachines struct {
	confirmed  map[string]bool
	tombstones map[string]time.Time // time at which the deletion was confirmed
}

func newDeletedMachines() deletedMachines {
	return deletedMachines{confirmed: map[string]bool{}, tombstones: map[string]time.Time{}}
}

// confirm records that the cloud has confirmed a machine's deletion.
func (d *deletedMachines) confirm(name string, now time.Time) {
	d.confirmed[name] = true
	d.tombstones[name] = now
}

// isConfirmed reports whether a machine's deletion is confirmed and the confirmation is still kept.
func (d *deletedMachines) isConfirmed(name string) bool { return d.confirmed[name] }

// hasTombstone reports whether a machine was deleted recently.
func (d *deletedMachines) hasTombstone(name string) bool {
	_, deleted := d.tombstones[name]
	return deleted
}

// forgetConfirmed drops the confirmations of the machines that have neither a record nor bound tasks any more, as
// reported by nothingLeft. It keeps their tombstones.
func (d *deletedMachines) forgetConfirmed(nothingLeft func(name string) bool) {
	maps.DeleteFunc(d.confirmed, func(name string, _ bool) bool { return nothingLeft(name) })
}

// pruneTombstones drops the tombstones that are older than tuning.TombstoneRetention.
func (d *deletedMachines) pruneTombstones(now time.Time) {
	maps.DeleteFunc(d.tombstones, func(_ string, at time.Time) bool { return now.Sub(at) > tuning.TombstoneRetention })
}
