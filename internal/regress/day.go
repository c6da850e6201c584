package regress

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"sableusher/internal/tuning"
)

// generatedDayPrefix is the prefix of the names of days that were generated for a single run.
const generatedDayPrefix = "fresh-"

// Day is the result of one simulated day in a journal entry.
type Day struct {
	Name            string         `json:"name"`
	ID              string         `json:"day"` // identifies the content of the day, including its seed
	Seed            *uint64        `json:"seed"`
	Score           float64        `json:"G"`
	Violations      map[string]int `json:"rules"` // number of violations by rule
	SimulationError string         `json:"fault"` // why the day could not be simulated; empty if it was
	Restarts        float64        `json:"restarts"`
	Objectives      []Objective    `json:"aims"`
	CPUTime         CPUTime        `json:"spent"`
	ServedShares    []ServedShare  `json:"served"`
}

// ServedShare is the share of the work of a class or team that was served on a day.
type ServedShare struct {
	Group string  // class or team
	Share float64 // from 0 to 1
}

// UnmarshalJSON decodes the journal's triple of group, the group's part of all work, and the share served.
func (s *ServedShare) UnmarshalJSON(data []byte) error {
	var partOfAll float64
	triple := []any{&s.Group, &partOfAll, &s.Share}
	if err := json.Unmarshal(data, &triple); err != nil {
		return fmt.Errorf("served share: %w", err)
	}
	if len(triple) != 3 {
		return &FieldCountError{Value: "served share", Count: len(triple), Want: 3}
	}
	return nil
}

// CPUTime is the processor time of a simulated day in seconds. Each list holds user and kernel time. The lists are
// empty for days that were recorded before the bench measured processor time.
type CPUTime struct {
	Environment []float64 `json:"world"`
	Processes   []float64 `json:"processes"`
}

// Seconds returns the total processor time in seconds.
func (c CPUTime) Seconds() float64 {
	total := 0.0
	for _, seconds := range slices.Concat(c.Environment, c.Processes) {
		total += seconds
	}
	return total
}

// LeastServed returns the group with the smallest served share. It returns false for days that were recorded before the
// bench measured served shares.
func (d *Day) LeastServed() (ServedShare, bool) {
	if len(d.ServedShares) == 0 {
		return ServedShare{}, false
	}
	return slices.MinFunc(d.ServedShares, func(a, b ServedShare) int { return cmp.Compare(a.Share, b.Share) }), true
}

// FailureReason returns why a day counts as failed regardless of its score. It returns an empty string if it does not.
func (d *Day) FailureReason() string {
	var reasons []string
	for rule, count := range d.Violations {
		reasons = append(reasons, fmt.Sprintf("rule %s broken %d times", rule, count))
	}
	slices.Sort(reasons)
	if d.SimulationError != "" {
		reasons = append(reasons, d.SimulationError)
	}
	if seconds := d.CPUTime.Seconds(); seconds > tuning.RegressMaxCPUSeconds {
		reasons = append(reasons, fmt.Sprintf("took %.0f s of processor time, more than the limit of %d s",
			seconds, tuning.RegressMaxCPUSeconds))
	}
	if least, ok := d.LeastServed(); ok && least.Share < tuning.RegressMinServedShare {
		reasons = append(reasons, fmt.Sprintf("only %.2f of %s served", least.Share, least.Group))
	}
	return strings.Join(reasons, "; ")
}

// Generated reports whether the day was generated for a single run, so that no other run contains it.
func (d *Day) Generated() bool { return strings.HasPrefix(d.Name, generatedDayPrefix) }
