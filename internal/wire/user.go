package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"sableusher/internal/tuning"
)

// JobKind is how the tasks of a job belong together.
type JobKind string

// Kinds of jobs.
const (
	KindArray   JobKind = "batch"
	KindGang    JobKind = "group"
	KindService JobKind = "daemon"
)

// Priority is how important a job's user calls it.
type Priority string

// Priorities, highest first.
const (
	PriorityProduction Priority = "prod"
	PriorityHigh       Priority = "urgent"
	PriorityNormal     Priority = "standard"
	PriorityLow        Priority = "idle"
)

// PriorityCount is the number of priorities.
const PriorityCount = 4

// Rank orders priorities: 0 is the highest. What is no priority has the lowest rank.
func (p Priority) Rank() int {
	switch p {
	case PriorityProduction:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	}
	return PriorityCount - 1
}

// String is the priority as the protocol has it.
func (p Priority) String() string { return string(p) }

// String is the kind as the protocol has it.
func (k JobKind) String() string { return string(k) }

// String is the state as the protocol has it.
func (s JobState) String() string { return string(s) }

// JobState is the state of a job as its user sees it.
type JobState string

// States of a job.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
	// JobFailed: a task has failed more often than its class, or its user, allows. It is
	// told only where operators limit repeats.
	JobFailed JobState = "failed"
)

// JobSpec is a job as its user described it; checked by DecodeSpec.
type JobSpec struct {
	ID                        string   `cbor:"id"`
	Class                     string   `cbor:"lot"`
	Team                      string   `cbor:"crew"`
	Kind                      JobKind  `cbor:"rig"`
	Priority                  Priority `cbor:"precedence"`
	TaskCount                 int      `cbor:"hauls"`
	CPUs                      float64  `cbor:"vcpus"`
	GPUs                      float64  `cbor:"cards"`
	MemoryGB                  float64  `cbor:"memory_gb"`
	Image                     string   `cbor:"tackle"`
	ImageSizeGB               float64  `cbor:"size_gb"`
	MachineTypes              []string `cbor:"hulls,omitempty"`
	Zone                      string   `cbor:"harbor,omitempty"`
	SameZone                  bool     `cbor:"same_place"`
	Spread                    bool     `cbor:"spread"`
	AllowSpot                 bool     `cbor:"standby"`
	RuntimeEstimateSeconds    float64  `cbor:"reckon_s"`
	CheckpointIntervalSeconds float64  `cbor:"landfall_s"`
	CheckpointSaveSeconds     float64  `cbor:"stow_s"`
	DeadlineSeconds           float64  `cbor:"cutoff_s,omitempty"`
	// Dependencies names the jobs that have to be done before any task of this one
	// starts. It is part of LevelPipelines: an older version would lose it.
	Dependencies []string `cbor:"awaits,omitempty"`
	// MaxRetries is how often a task may start again after a failure of its own; nil: without
	// end. It is part of LevelRepeats, fixed when the job is accepted.
	MaxRetries *int `cbor:"repeats,omitempty"`
}

// submission has every field as a pointer, to tell missing from zero.
type submission struct {
	ID                        *string   `cbor:"id"`
	Class                     *string   `cbor:"lot"`
	Team                      *string   `cbor:"crew"`
	Kind                      *string   `cbor:"rig"`
	Priority                  *string   `cbor:"precedence"`
	TaskCount                 *int64    `cbor:"hauls"`
	CPUs                      *float64  `cbor:"vcpus"`
	GPUs                      *float64  `cbor:"cards"`
	MemoryGB                  *float64  `cbor:"memory_gb"`
	Image                     *string   `cbor:"tackle"`
	ImageSizeGB               *float64  `cbor:"size_gb"`
	MachineTypes              *[]string `cbor:"hulls"`
	Zone                      *string   `cbor:"harbor"`
	SameZone                  *bool     `cbor:"same_place"`
	Spread                    *bool     `cbor:"spread"`
	AllowSpot                 *bool     `cbor:"standby"`
	RuntimeEstimateSeconds    *float64  `cbor:"reckon_s"`
	CheckpointIntervalSeconds *float64  `cbor:"landfall_s"`
	CheckpointSaveSeconds     *float64  `cbor:"stow_s"`
	DeadlineSeconds           *float64  `cbor:"cutoff_s"`
	Dependencies              *[]string `cbor:"awaits"`
}

var jobIDPattern = regexp.MustCompile(`^run-[0-9]{1,20}$`)

// IsValidJobID tells whether id has the form of job ids.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// DecodeSubmission reads a submission strictly: every fault of form is an error.
func DecodeSubmission(body []byte) (*JobSpec, error) {
	if len(body) == 0 || body[0]>>5 != 5 {
		return nil, errors.New("not a map")
	}
	var in submission
	if err := strictDecodeMode.Unmarshal(body, &in); err != nil {
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
	spec := &JobSpec{
		ID:                        text("id", in.ID),
		Class:                     text("lot", in.Class),
		Team:                      text("crew", in.Team),
		Kind:                      oneOf(fail, "rig", text("rig", in.Kind), KindArray, KindGang, KindService),
		Priority:                  oneOf(fail, "precedence", text("precedence", in.Priority), PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow),
		CPUs:                      amount("vcpus", in.CPUs),
		GPUs:                      amount("cards", in.GPUs),
		MemoryGB:                  amount("memory_gb", in.MemoryGB),
		Image:                     text("tackle", in.Image),
		ImageSizeGB:               amount("size_gb", in.ImageSizeGB),
		SameZone:                  flag("same_place", in.SameZone),
		Spread:                    flag("spread", in.Spread),
		AllowSpot:                 flag("standby", in.AllowSpot),
		RuntimeEstimateSeconds:    amount("reckon_s", in.RuntimeEstimateSeconds),
		CheckpointIntervalSeconds: amount("landfall_s", in.CheckpointIntervalSeconds),
		CheckpointSaveSeconds:     amount("stow_s", in.CheckpointSaveSeconds),
	}
	if err == nil && !IsValidJobID(spec.ID) {
		fail("id", "not of the form of job ids")
	}
	switch {
	case in.TaskCount == nil:
		fail("hauls", "missing")
	case *in.TaskCount < 1 || *in.TaskCount > tuning.MaxTasks:
		fail("hauls", "out of range")
	default:
		spec.TaskCount = int(*in.TaskCount)
	}
	if in.MachineTypes != nil {
		if len(*in.MachineTypes) == 0 || len(*in.MachineTypes) > 64 {
			fail("hulls", "empty or too many")
		}
		for i := range *in.MachineTypes {
			spec.MachineTypes = append(spec.MachineTypes, text("hulls", &(*in.MachineTypes)[i]))
		}
	}
	if in.Zone != nil {
		spec.Zone = text("harbor", in.Zone)
	}
	if in.DeadlineSeconds != nil {
		spec.DeadlineSeconds = amount("cutoff_s", in.DeadlineSeconds)
	}
	if in.Dependencies != nil {
		spec.Dependencies = *in.Dependencies
		seen := map[string]bool{}
		for _, id := range spec.Dependencies {
			if !IsValidJobID(id) || seen[id] {
				fail("awaits", "not of the form of job ids, or named twice")
			}
			seen[id] = true
		}
	}
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		fail("vcpus", "a task must take something")
	}
	if err != nil {
		return nil, err
	}
	return spec, nil
}

// oneOf gives text as one of the values that are allowed.
func oneOf[T ~string](fail func(name, what string), name, text string, allowed ...T) T {
	if !slices.Contains(allowed, T(text)) {
		fail(name, "unknown value")
	}
	return T(text)
}

// DecodeMaxRetries reads how many repeats a submission asks for; nil if it doesn't. The
// field is looked at only where operators limit repeats: elsewhere it is one of the
// unknown ones, which are passed over.
func DecodeMaxRetries(body []byte) (*int, error) {
	var in struct {
		Repeats *int64 `cbor:"repeats"`
	}
	if err := strictDecodeMode.Unmarshal(body, &in); err != nil {
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

// JobResponse answers a submission or cancellation.
type JobResponse struct {
	ID    string   `cbor:"id"`
	State JobState `cbor:"status"`
}

// JobStatus answers a poll.
type JobStatus struct {
	ID           string   `cbor:"id"`
	State        JobState `cbor:"status"`
	TasksDone    int      `cbor:"done"`
	TasksRunning int      `cbor:"running"`
}

// ErrorResponse explains a refusal.
type ErrorResponse struct {
	Message string `cbor:"error"`
}
