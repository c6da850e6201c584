package agent

import (
	"fmt"
	"net/http"
)

// CommandStatusError reports an HTTP status that the protocol does not define for a response to a direct command. The
// command counts as unanswered.
type CommandStatusError struct{ Status int }

// Error returns a message with the received status and the expected ones.
func (e *CommandStatusError) Error() string {
	return fmt.Sprintf("direct command: HTTP status %d, want %d or %d", e.Status, http.StatusOK, http.StatusConflict)
}
