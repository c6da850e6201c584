package retry

import "fmt"

// LimitError reports that a submission requests more retries than its class allows. Its text is sent to the user.
type LimitError struct {
	Requested int
	Allowed   int
}

// Error returns the text that is sent to the user, with the requested and the allowed number of retries.
func (e *LimitError) Error() string {
	return fmt.Sprintf("repeats: %d, its class allows %d", e.Requested, e.Allowed)
}
