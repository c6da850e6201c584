package scheduler

import (
	"time"

	"sableusher/internal/tuning"
)

// migrationSchedule holds which jobs' records are to be migrated to the present layout, and paces the migration of
// those that nothing waits for.
type migrationSchedule struct {
	requested map[string]bool // by the job's ID: a change waits for the migration
	lastPaced time.Time       // when records that nothing waits for were last migrated
}

func newMigrationSchedule() migrationSchedule {
	return migrationSchedule{requested: map[string]bool{}}
}

// request has a job's records migrated in this cycle or the next.
func (s *migrationSchedule) request(jobID string) { s.requested[jobID] = true }

// takeRequest ends a request, whether or not the migration was made: what still needs it asks again.
func (s *migrationSchedule) takeRequest(jobID string) { delete(s.requested, jobID) }

// paceIsDue reports whether records that nothing waits for may be migrated again.
func (s *migrationSchedule) paceIsDue(now time.Time) bool {
	return now.Sub(s.lastPaced) >= tuning.MigrationInterval
}
