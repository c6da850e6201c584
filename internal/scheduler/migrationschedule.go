package scheduler

import (
	"time"

	"sableusher/internal/tuning"
)

// migrationSchedule holds the jobs whose records have to be migrated to the current layout before they can be
// changed, and limits the rate of background migrations, which no change waits for.
type migrationSchedule struct {
	requested      map[string]bool // by ID of a job with a change that waits for the migration
	lastBackground time.Time       // time of the last background migration
}

func newMigrationSchedule() migrationSchedule {
	return migrationSchedule{requested: map[string]bool{}}
}

// request requests the migration of a job's records in this cycle or the next.
func (s *migrationSchedule) request(jobID string) { s.requested[jobID] = true }

// removeRequest removes a request, whether or not the records were migrated. A change that still needs the migration
// requests it again.
func (s *migrationSchedule) removeRequest(jobID string) { delete(s.requested, jobID) }

// backgroundDue reports whether the next background migration is due.
func (s *migrationSchedule) backgroundDue(now time.Time) bool {
	return now.Sub(s.lastBackground) >= tuning.MigrationInterval
}
