package admission

import "errors"

// Reasons why a job can never run. Their texts are sent to users and printed when graph files are checked.
var (
	ErrUnknownTeam       = errors.New("unknown team")
	ErrOverTeamLimit     = errors.New("more than the team's limit")
	ErrSameZoneAndSpread = errors.New("one zone and spread exclude each other")
	ErrNoMachineType     = errors.New("a task fits no allowed machine type")
)
