// Package retry is the rule of how often tasks of a class may fail by themselves and
// start again, and after which pause. It keeps nothing: the count stands in the job's
// records, the limit in its description, fixed when the job is accepted.
package retry

import (
	"fmt"
	"math"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// Policies holds the classes that limit repeats, by name.
type Policies map[string]config.Class

// NewPolicies makes the rules of the operators' classes.
func NewPolicies(classes []config.Class) Policies {
	policies := Policies{}
	for _, class := range classes {
		policies[class.Name] = class
	}
	return policies
}

// Enabled tells whether any class limits repeats. Where none does, nothing is counted and
// what a submission asks for is not looked at.
func (p Policies) Enabled() bool { return len(p) > 0 }

// MaxRetries gives how many repeats the tasks of a job may have: what its submission asks for,
// else what its class allows, else nil for any number. why says why it may not have
// what it asks for.
func (p Policies) MaxRetries(class string, requested *int) (limit *int, reason string) {
	policy, ok := p[class]
	switch {
	case ok && requested != nil && *requested > policy.Repeats:
		return nil, fmt.Sprintf("repeats: %d, its class allows %d", *requested, policy.Repeats)
	case requested != nil:
		return requested, ""
	case ok:
		return &policy.Repeats, ""
	}
	return nil, ""
}

// Backoff is how long a task waits after its failures until it is repeated: its class's
// pause, doubled with each further failure up to the longest. Without a class it is that of tasks
// whose failures are not counted.
func (p Policies) Backoff(class string, failures int) time.Duration {
	initial, longest := tuning.JobBackoff, tuning.JobBackoffMax
	if policy, ok := p[class]; ok {
		initial, longest = config.Seconds(policy.PauseS), config.Seconds(policy.PauseMaxS)
	}
	if failures < 1 {
		return 0
	}
	if pause := math.Ldexp(float64(initial), failures-1); pause < float64(longest) {
		return time.Duration(pause)
	}
	return longest
}

// Exhausted tells whether a task that has failed so often may not fail once more. Without a
// limit it always may.
func Exhausted(limit *int, failures int) bool { return limit != nil && failures >= *limit }
