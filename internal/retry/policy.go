// Package retry is the rule of how often the tasks of a class may fail by themselves and start again,
// and after which backoff.
//
// It holds no state: the number of failures stands in the job's records, the limit in its description,
// fixed when the job is accepted.
package retry

import (
	"math"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// Policies are the classes that limit retries, by name. It is not changed once made, and so safe for
// concurrent use.
type Policies map[string]config.Class

// NewPolicies makes the policies of the operators' classes.
func NewPolicies(classes []config.Class) Policies {
	policies := Policies{}
	for _, class := range classes {
		policies[class.Name] = class
	}
	return policies
}

// Enabled reports whether any class limits retries. Where none does, no failure is counted and what a
// submission asks for is not looked at.
func (p Policies) Enabled() bool { return len(p) > 0 }

// MaxRetries gives how many retries each task of a job has: what its submission requests, else what its
// class allows, else nil for no limit. A request for more than the class allows is a LimitError.
func (p Policies) MaxRetries(class string, requested *int) (*int, error) {
	policy, limited := p[class]
	switch {
	case limited && requested != nil && *requested > policy.MaxRetries:
		return nil, &LimitError{Requested: *requested, Allowed: policy.MaxRetries}
	case requested != nil:
		return requested, nil
	case limited:
		return &policy.MaxRetries, nil
	}
	return nil, nil
}

// Backoff is how long a task waits after its failures until it is retried: the initial pause of its
// class, doubled with each further failure up to the longest one. Without a class it is that of tasks
// whose failures are not counted.
func (p Policies) Backoff(class string, failures int) time.Duration {
	initial, longest := tuning.MinJobBackoff, tuning.MaxJobBackoff
	if policy, ok := p[class]; ok {
		initial, longest = config.ToDuration(policy.RetryPauseSeconds), config.ToDuration(policy.MaxRetryPauseSeconds)
	}
	if failures < 1 {
		return 0
	}
	if pause := math.Ldexp(float64(initial), failures-1); pause < float64(longest) {
		return time.Duration(pause)
	}
	return longest
}

// Exhausted reports whether a task with so many failures has no retry left. Without a limit it always has.
func Exhausted(limit *int, failures int) bool { return limit != nil && failures >= *limit }
