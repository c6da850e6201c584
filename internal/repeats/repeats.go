// Package repeats is the rule of how often tasks of a class may fail by themselves and
// start again, and after which pause. It keeps nothing: the count stands in the job's
// records, the limit in its description, fixed when the job is accepted.
package repeats

import (
	"fmt"
	"math"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// Rules holds the classes that limit repeats, by name.
type Rules map[string]config.Class

// New makes the rules of the operators' classes.
func New(classes []config.Class) Rules {
	r := Rules{}
	for _, c := range classes {
		r[c.Name] = c
	}
	return r
}

// On tells whether any class limits repeats. Where none does, nothing is counted and
// what a submission asks for is not looked at.
func (r Rules) On() bool { return len(r) > 0 }

// Limit gives how many repeats the tasks of a job may have: what its submission asks for,
// else what its class allows, else nil for any number. why says why it may not have
// what it asks for.
func (r Rules) Limit(class string, asked *int) (limit *int, why string) {
	c, ok := r[class]
	switch {
	case ok && asked != nil && *asked > c.Repeats:
		return nil, fmt.Sprintf("repeats: %d, its class allows %d", *asked, c.Repeats)
	case asked != nil:
		return asked, ""
	case ok:
		return &c.Repeats, ""
	}
	return nil, ""
}

// Pause is how long a task waits after its failures until it is repeated: its class's
// pause, doubled with each further failure up to the longest. Without a class it is that of tasks
// whose failures are not counted.
func (r Rules) Pause(class string, failures int) time.Duration {
	first, most := tuning.JobBackoff, tuning.JobBackoffMax
	if c, ok := r[class]; ok {
		first, most = config.Seconds(c.PauseS), config.Seconds(c.PauseMaxS)
	}
	if failures < 1 {
		return 0
	}
	if pause := math.Ldexp(float64(first), failures-1); pause < float64(most) {
		return time.Duration(pause)
	}
	return most
}

// Spent tells whether a task that has failed so often may not fail once more. Without a
// limit it always may.
func Spent(limit *int, failures int) bool { return limit != nil && failures >= *limit }
