package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"

	"sableusher/internal/tuning"
)

// Kinds of jobs.
const (
	KindArray   = "batch"
	KindGang    = "group"
	KindService = "daemon"
)

// Priorities, highest first.
const (
	PriorityProduction = "prod"
	PriorityHigh       = "urgent"
	PriorityNormal     = "standard"
	PriorityLow        = "idle"
)

// Ranks is the number of priorities.
const Ranks = 4

// Rank orders priorities: 0 is the highest.
func Rank(priority string) int {
	switch priority {
	case PriorityProduction:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	}
	return 3
}

// States of a job as told to users.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
	// JobFailed: a task has failed more often than its class, or its user, allows. It is
	// told only where operators limit repeats.
	JobFailed = "failed"
)

// Spec is a job as its user described it; checked by DecodeSpec.
type Spec struct {
	ID          string   `cbor:"id"`
	Class       string   `cbor:"lot"`
	Team        string   `cbor:"crew"`
	Kind        string   `cbor:"rig"`
	Priority    string   `cbor:"precedence"`
	Tasks       int      `cbor:"hauls"`
	CPUs        float64  `cbor:"vcpus"`
	GPUs        float64  `cbor:"cards"`
	MemoryGB    float64  `cbor:"memory_gb"`
	Image       string   `cbor:"tackle"`
	ImageGB     float64  `cbor:"size_gb"`
	Types       []string `cbor:"hulls,omitempty"`
	Zone        string   `cbor:"harbor,omitempty"`
	OneZone     bool     `cbor:"same_place"`
	Spread      bool     `cbor:"spread"`
	Spot        bool     `cbor:"standby"`
	EstimateS   float64  `cbor:"reckon_s"`
	CheckpointS float64  `cbor:"landfall_s"`
	SaveS       float64  `cbor:"stow_s"`
	DeadlineS   float64  `cbor:"cutoff_s,omitempty"`
	// Awaits names the jobs that have to be done before any task of this one
	// starts. It is part of LevelPipelines: an older version would lose it.
	Awaits []string `cbor:"awaits,omitempty"`
	// Repeats is how often a task may start again after a failure of its own; nil: without
	// end. It is part of LevelRepeats, fixed when the job is accepted.
	Repeats *int `cbor:"repeats,omitempty"`
}

// submission has every field as a pointer, to tell missing from zero.
type submission struct {
	ID          *string   `cbor:"id"`
	Class       *string   `cbor:"lot"`
	Team        *string   `cbor:"crew"`
	Kind        *string   `cbor:"rig"`
	Priority    *string   `cbor:"precedence"`
	Tasks       *int64    `cbor:"hauls"`
	CPUs        *float64  `cbor:"vcpus"`
	GPUs        *float64  `cbor:"cards"`
	MemoryGB    *float64  `cbor:"memory_gb"`
	Image       *string   `cbor:"tackle"`
	ImageGB     *float64  `cbor:"size_gb"`
	Types       *[]string `cbor:"hulls"`
	Zone        *string   `cbor:"harbor"`
	OneZone     *bool     `cbor:"same_place"`
	Spread      *bool     `cbor:"spread"`
	Spot        *bool     `cbor:"standby"`
	EstimateS   *float64  `cbor:"reckon_s"`
	CheckpointS *float64  `cbor:"landfall_s"`
	SaveS       *float64  `cbor:"stow_s"`
	DeadlineS   *float64  `cbor:"cutoff_s"`
	Awaits      *[]string `cbor:"awaits"`
}

var idForm = regexp.MustCompile(`^run-[0-9]{1,20}$`)

// ValidID tells whether id has the form of job ids.
func ValidID(id string) bool { return idForm.MatchString(id) }

// DecodeSpec reads a submission strictly: every fault of form is an error.
func DecodeSpec(b []byte) (*Spec, error) {
	if len(b) == 0 || b[0]>>5 != 5 {
		return nil, errors.New("not a map")
	}
	var in submission
	if err := strict.Unmarshal(b, &in); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	var err error
	fail := func(name, what string) {
		if err == nil {
			err = fmt.Errorf("field %s: %s", name, what)
		}
	}
	text := func(name string, p *string) string {
		if p == nil {
			fail(name, "missing")
			return ""
		}
		if *p == "" || len(*p) > tuning.MaxNameBytes {
			fail(name, "empty or too long")
		}
		return *p
	}
	amount := func(name string, p *float64) float64 {
		if p == nil {
			fail(name, "missing")
			return 0
		}
		if math.IsNaN(*p) || *p < 0 || *p > tuning.MaxAmount {
			fail(name, "out of range")
		}
		return *p
	}
	flag := func(name string, p *bool) bool {
		if p == nil {
			fail(name, "missing")
			return false
		}
		return *p
	}
	oneOf := func(name, v string, allowed ...string) string {
		for _, a := range allowed {
			if v == a {
				return v
			}
		}
		fail(name, "unknown value")
		return v
	}
	s := &Spec{
		ID:          text("id", in.ID),
		Class:       text("lot", in.Class),
		Team:        text("crew", in.Team),
		Kind:        oneOf("rig", text("rig", in.Kind), KindArray, KindGang, KindService),
		Priority:    oneOf("precedence", text("precedence", in.Priority), PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow),
		CPUs:        amount("vcpus", in.CPUs),
		GPUs:        amount("cards", in.GPUs),
		MemoryGB:    amount("memory_gb", in.MemoryGB),
		Image:       text("tackle", in.Image),
		ImageGB:     amount("size_gb", in.ImageGB),
		OneZone:     flag("same_place", in.OneZone),
		Spread:      flag("spread", in.Spread),
		Spot:        flag("standby", in.Spot),
		EstimateS:   amount("reckon_s", in.EstimateS),
		CheckpointS: amount("landfall_s", in.CheckpointS),
		SaveS:       amount("stow_s", in.SaveS),
	}
	if err == nil && !ValidID(s.ID) {
		fail("id", "not of the form of job ids")
	}
	switch {
	case in.Tasks == nil:
		fail("hauls", "missing")
	case *in.Tasks < 1 || *in.Tasks > tuning.MaxTasks:
		fail("hauls", "out of range")
	default:
		s.Tasks = int(*in.Tasks)
	}
	if in.Types != nil {
		if len(*in.Types) == 0 || len(*in.Types) > 64 {
			fail("hulls", "empty or too many")
		}
		for i := range *in.Types {
			s.Types = append(s.Types, text("hulls", &(*in.Types)[i]))
		}
	}
	if in.Zone != nil {
		s.Zone = text("harbor", in.Zone)
	}
	if in.DeadlineS != nil {
		s.DeadlineS = amount("cutoff_s", in.DeadlineS)
	}
	if in.Awaits != nil {
		s.Awaits = *in.Awaits
		seen := map[string]bool{}
		for _, id := range s.Awaits {
			if !ValidID(id) || seen[id] {
				fail("awaits", "not of the form of job ids, or named twice")
			}
			seen[id] = true
		}
	}
	if s.CPUs == 0 && s.GPUs == 0 && s.MemoryGB == 0 {
		fail("vcpus", "a task must take something")
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// DecodeRepeats reads how many repeats a submission asks for; nil if it doesn't. The
// field is looked at only where operators limit repeats: elsewhere it is one of the
// unknown ones, which are passed over.
func DecodeRepeats(b []byte) (*int, error) {
	var in struct {
		Repeats *int64 `cbor:"repeats"`
	}
	if err := strict.Unmarshal(b, &in); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	if in.Repeats == nil {
		return nil, nil
	}
	if *in.Repeats < 0 || *in.Repeats > tuning.MaxRepeats {
		return nil, errors.New("field repeats: out of range")
	}
	n := int(*in.Repeats)
	return &n, nil
}

// Accepted answers a submission or cancellation.
type Accepted struct {
	ID     string `cbor:"id"`
	Status string `cbor:"status"`
}

// Status answers a poll.
type Status struct {
	ID      string `cbor:"id"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Problem explains a refusal.
type Problem struct {
	Error string `cbor:"error"`
}
