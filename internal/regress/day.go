package regress

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"sableusher/internal/tuning"
)

// generatedDayPrefix begins the names of days that were drawn for one run only.
const generatedDayPrefix = "fresh-"

// Day is one day of a journal's entry.
type Day struct {
	Name         string         `json:"name"`
	ID           string         `json:"day"` // of what the day holds, its seed included
	Seed         *uint64        `json:"seed"`
	Score        float64        `json:"G"`
	Violations   map[string]int `json:"rules"` // how often each rule was broken
	PlayError    string         `json:"fault"` // why the day could not be played; empty if it could
	Restarts     float64        `json:"restarts"`
	Objectives   []Objective    `json:"aims"`
	CPUTime      CPUTime        `json:"spent"`
	ServedShares []ServedShare  `json:"served"`
}

// ServedShare is the share of a class's or team's work that was served on a day.
type ServedShare struct {
	Group string
	Share float64 // from 0 to 1
}

// UnmarshalJSON reads the journal's triple of group, part of all work and share served.
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

// CPUTime is the processor time, in seconds, that a day took to play, own code and kernel.
// Days recorded before the bench measured it have none.
type CPUTime struct {
	Environment []float64 `json:"world"`
	Processes   []float64 `json:"processes"`
}

// Seconds is all of it.
func (c CPUTime) Seconds() float64 {
	total := 0.0
	for _, seconds := range slices.Concat(c.Environment, c.Processes) {
		total += seconds
	}
	return total
}

// LeastServed is the group that was served least; false on days recorded before the bench measured it.
func (d *Day) LeastServed() (ServedShare, bool) {
	if len(d.ServedShares) == 0 {
		return ServedShare{}, false
	}
	return slices.MinFunc(d.ServedShares, func(a, b ServedShare) int { return cmp.Compare(a.Share, b.Share) }), true
}

// FailureReason says why a day failed whatever its score is; empty if it did not.
func (d *Day) FailureReason() string {
	var reasons []string
	for rule, count := range d.Violations {
		reasons = append(reasons, fmt.Sprintf("rule %s broken %d times", rule, count))
	}
	slices.Sort(reasons)
	if d.PlayError != "" {
		reasons = append(reasons, d.PlayError)
	}
	if seconds := d.CPUTime.Seconds(); seconds > tuning.RegressMaxCPUSeconds {
		reasons = append(reasons, fmt.Sprintf("took %.0f s of processor time to play, %d are allowed here",
			seconds, tuning.RegressMaxCPUSeconds))
	}
	if least, ok := d.LeastServed(); ok && least.Share < tuning.RegressMinServedShare {
		reasons = append(reasons, fmt.Sprintf("only %.2f of %s served", least.Share, least.Group))
	}
	return strings.Join(reasons, "; ")
}

// Generated tells whether a day was drawn for one run only, so that no other has it.
func (d *Day) Generated() bool { return strings.HasPrefix(d.Name, generatedDayPrefix) }
