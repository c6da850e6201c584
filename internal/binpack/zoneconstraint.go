package binpack

import (
	"maps"

	"sableusher/internal/wire"
)

// ZoneConstraint restricts the zones in which further tasks of one chunk of a job may be placed.
type ZoneConstraint struct {
	// TasksByZone is the number of tasks already placed in each zone.
	TasksByZone map[string]int
	// PinnedZone is the only allowed zone; empty if there is no such restriction.
	PinnedZone string
	// MaxPerZone is the maximum number of tasks in any one zone.
	MaxPerZone int
	// PlacementKnown is false while the zone of any placed task is unknown. No zone is allowed then.
	PlacementKnown bool
}

// Allows reports whether one more task may be placed in a zone.
func (c *ZoneConstraint) Allows(zone string) bool {
	return c.PlacementKnown &&
		(c.PinnedZone == "" || c.PinnedZone == zone) &&
		c.TasksByZone[zone] < c.MaxPerZone
}

// Clone returns a copy that shares no state with c.
func (c *ZoneConstraint) Clone() ZoneConstraint {
	clone := *c
	clone.TasksByZone = maps.Clone(c.TasksByZone)
	return clone
}

// addTasks records that count tasks were placed in a zone, and pins the zone if all tasks of the job
// must be in one zone.
func (c *ZoneConstraint) addTasks(spec *wire.JobSpec, zone string, count int) {
	c.TasksByZone[zone] += count
	if spec.SameZone {
		c.PinnedZone = zone
	}
}
