package binpack

import (
	"maps"

	"sableusher/internal/wire"
)

// ZoneConstraint says in which zones further tasks of one record of a job may be placed.
type ZoneConstraint struct {
	// TasksByZone counts the tasks that are placed.
	TasksByZone map[string]int
	// PinnedZone is the only zone that is allowed; empty if there is no such restriction.
	PinnedZone string
	// MaxPerZone is the largest number of tasks in one zone.
	MaxPerZone int
	// PlacementKnown is false while it is not known where some task is: no zone is allowed then.
	PlacementKnown bool
}

// Allows reports whether a further task may be placed in a zone.
func (c *ZoneConstraint) Allows(zone string) bool {
	return c.PlacementKnown &&
		(c.PinnedZone == "" || c.PinnedZone == zone) &&
		c.TasksByZone[zone] < c.MaxPerZone
}

// Clone returns an independent copy.
func (c *ZoneConstraint) Clone() ZoneConstraint {
	clone := *c
	clone.TasksByZone = maps.Clone(c.TasksByZone)
	return clone
}

// addTasks counts tasks that have been placed in a zone.
func (c *ZoneConstraint) addTasks(spec *wire.JobSpec, zone string, count int) {
	c.TasksByZone[zone] += count
	if spec.SameZone {
		c.PinnedZone = zone
	}
}
