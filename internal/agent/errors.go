package agent

import (
	"fmt"
	"net/http"
)

// CommandStatusError is an answer to a direct command whose HTTP status is none of the protocol's. The command
// counts as unanswered.
type CommandStatusError struct{ Status int }

// Error names the status and those that are expected.
func (e *CommandStatusError) Error() string {
	return fmt.Sprintf("direct command: HTTP status %d, want %d or %d", e.Status, http.StatusOK, http.StatusConflict)
}
