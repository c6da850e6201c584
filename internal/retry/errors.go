package retry

import "fmt"

// LimitError says that a submission asks for more retries than its class allows. Its text is sent to the user.
type LimitError struct {
	Requested int
	Allowed   int
}

// Error gives both numbers.
func (e *LimitError) Error() string {
	return fmt.Sprintf("repeats: %d, its class allows %d", e.Requested, e.Allowed)
}
