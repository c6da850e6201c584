// Package retry defines how often the tasks of a job class are retried after failures of their own, and
// with which backoff.
//
// The package holds no state. The number of failures is stored in the job's records. The limit is part of
// the job's description and is fixed when the job is accepted.
package retry

import (
	"math"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// Policies maps the names of the job classes that limit retries to their settings. It must not be modified
// after NewPolicies returns, and is then safe for concurrent use.
type Policies map[string]config.Class

// NewPolicies returns the policies of the classes that the operators configured.
func NewPolicies(classes []config.Class) Policies {
	policies := Policies{}
	for _, class := range classes {
		policies[class.Name] = class
	}
	return policies
}

// Enabled reports whether any class limits retries. If none does, failures are not counted and the number
// of retries that a submission requests is ignored.
func (p Policies) Enabled() bool { return len(p) > 0 }

// MaxRetries returns the maximum number of retries of each task of a job: the number that the submission
// requests, or else the maximum of its class. It returns nil, for no limit, if neither is given. It returns
// a *LimitError if the submission requests more than its class allows.
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

// Backoff returns how long a task that has failed the given number of times waits until it is retried. The
// backoff after the first failure is the initial one of the class; it doubles with each further failure, up
// to the maximum of the class. If the class does not limit retries, tuning.MinJobBackoff and
// tuning.MaxJobBackoff apply, as for tasks whose failures are not counted.
func (p Policies) Backoff(class string, failures int) time.Duration {
	initial, maximum := tuning.MinJobBackoff, tuning.MaxJobBackoff
	if policy, ok := p[class]; ok {
		initial, maximum = config.ToDuration(policy.RetryBackoffSeconds),
			config.ToDuration(policy.MaxRetryBackoffSeconds)
	}
	if failures < 1 {
		return 0
	}
	if backoff := math.Ldexp(float64(initial), failures-1); backoff < float64(maximum) {
		return time.Duration(backoff)
	}
	return maximum
}

// Exhausted reports whether a task that has failed the given number of times has no retry left. A nil limit
// means that the number of retries is not limited.
func Exhausted(limit *int, failures int) bool { return limit != nil && failures >= *limit }
