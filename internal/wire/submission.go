package wire

import (
	"fmt"
	"math"
	"regexp"
	"slices"

	"sableusher/internal/tuning"
)

// CBOR encodes the major type of a value in the upper three bits of its first byte.
const (
	majorTypeShift = 5
	majorTypeMap   = 5
)

// maxMachineTypes is the maximum number of allowed machine types that a submission may list.
const maxMachineTypes = 64

var jobIDPattern = regexp.MustCompile(`^run-[0-9]{1,20}$`)

// submission is a job description as received from a user. Every field is a pointer, to distinguish a
// missing field from a zero value. Decoding errors contain the names of this type and of the types of
// its fields, and are sent to users, so these names must not change.
type submission struct {
	ID           *string   `cbor:"id"`
	Class        *string   `cbor:"lot"`
	Team         *string   `cbor:"crew"`
	Kind         *string   `cbor:"rig"`
	Priority     *string   `cbor:"precedence"`
	TaskCount    *int64    `cbor:"hauls"`
	CPUs         *float64  `cbor:"vcpus"`
	GPUs         *float64  `cbor:"cards"`
	MemoryGB     *float64  `cbor:"memory_gb"`
	Image        *string   `cbor:"tackle"`
	ImageSizeGB  *float64  `cbor:"size_gb"`
	MachineTypes *[]string `cbor:"hulls"`
	Zone         *string   `cbor:"harbor"`
	SameZone     *bool     `cbor:"same_place"`
	Spread       *bool     `cbor:"spread"`
	AllowSpot    *bool     `cbor:"standby"`

	submissionTiming

	Dependencies *[]string `cbor:"awaits"`
}

// submissionTiming holds the fields of a submission that become the JobTiming.
type submissionTiming struct {
	RuntimeEstimateSeconds    *float64 `cbor:"reckon_s"`
	CheckpointIntervalSeconds *float64 `cbor:"landfall_s"`
	CheckpointSaveSeconds     *float64 `cbor:"stow_s"`
	DeadlineSeconds           *float64 `cbor:"cutoff_s"`
}

// IsValidJobID reports whether id is a well-formed job ID: "run-" and 1 to 20 digits.
func IsValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// DecodeSubmission decodes and validates a submission. A missing, malformed or out-of-range field is an error;
// unknown fields are ignored. It does not check whether the job can run.
func DecodeSubmission(body []byte) (*JobSpec, error) {
	if len(body) == 0 || body[0]>>majorTypeShift != majorTypeMap {
		return nil, ErrNotAMap
	}
	var in submission
	if err := strictDecodeMode.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	var check fieldChecker
	spec := check.requiredFields(&in)
	check.optionalFields(&in, spec)
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		check.reject("vcpus", "a task must take something")
	}
	if check.err != nil {
		return nil, check.err
	}
	return spec, nil
}

// fieldChecker converts the fields of a submission and records the first invalid one.
type fieldChecker struct {
	err error // FieldError of the first invalid field; nil if there is none
}

// requiredFields returns a JobSpec with the fields that a submission must have.
func (c *fieldChecker) requiredFields(in *submission) *JobSpec {
	spec := &JobSpec{
		ID:       c.text("id", in.ID),
		Class:    c.text("lot", in.Class),
		Team:     c.text("crew", in.Team),
		Kind:     oneOf(c, "rig", in.Kind, KindArray, KindGang, KindService),
		Priority: oneOf(c, "precedence", in.Priority, PriorityProduction, PriorityHigh, PriorityNormal, PriorityLow),

		CPUs:        c.amount("vcpus", in.CPUs),
		GPUs:        c.amount("cards", in.GPUs),
		MemoryGB:    c.amount("memory_gb", in.MemoryGB),
		Image:       c.text("tackle", in.Image),
		ImageSizeGB: c.amount("size_gb", in.ImageSizeGB),
		SameZone:    c.flag("same_place", in.SameZone),
		Spread:      c.flag("spread", in.Spread),
		AllowSpot:   c.flag("standby", in.AllowSpot),

		JobTiming: JobTiming{
			RuntimeEstimateSeconds:    c.amount("reckon_s", in.RuntimeEstimateSeconds),
			CheckpointIntervalSeconds: c.amount("landfall_s", in.CheckpointIntervalSeconds),
			CheckpointSaveSeconds:     c.amount("stow_s", in.CheckpointSaveSeconds),
		},
	}
	if c.err == nil && !IsValidJobID(spec.ID) {
		c.reject("id", "not of the form of job ids")
	}
	spec.TaskCount = c.taskCount("hauls", in.TaskCount)
	return spec
}

// optionalFields adds the fields that a submission may omit to spec.
func (c *fieldChecker) optionalFields(in *submission, spec *JobSpec) {
	if in.MachineTypes != nil {
		spec.MachineTypes = c.machineTypes("hulls", *in.MachineTypes)
	}
	if in.Zone != nil {
		spec.Zone = c.text("harbor", in.Zone)
	}
	if in.DeadlineSeconds != nil {
		spec.DeadlineSeconds = c.amount("cutoff_s", in.DeadlineSeconds)
	}
	if in.Dependencies != nil {
		spec.Dependencies = c.jobIDs("awaits", *in.Dependencies)
	}
}

// reject records a problem with a field, unless one was recorded before.
func (c *fieldChecker) reject(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Problem: problem}
	}
}

// text returns a text that must not be empty nor longer than tuning.MaxNameBytes.
func (c *fieldChecker) text(field string, value *string) string {
	if value == nil {
		c.reject(field, "missing")
		return ""
	}
	if *value == "" || len(*value) > tuning.MaxNameBytes {
		c.reject(field, "empty or too long")
	}
	return *value
}

// amount returns a number that must be between 0 and tuning.MaxAmount.
func (c *fieldChecker) amount(field string, value *float64) float64 {
	if value == nil {
		c.reject(field, "missing")
		return 0
	}
	if math.IsNaN(*value) || *value < 0 || *value > tuning.MaxAmount {
		c.reject(field, "out of range")
	}
	return *value
}

func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.reject(field, "missing")
		return false
	}
	return *value
}

func (c *fieldChecker) taskCount(field string, value *int64) int {
	if value == nil {
		c.reject(field, "missing")
		return 0
	}
	if *value < 1 || *value > tuning.MaxTasksPerJob {
		c.reject(field, "out of range")
		return 0
	}
	return int(*value)
}

func (c *fieldChecker) machineTypes(field string, names []string) []string {
	if len(names) == 0 || len(names) > maxMachineTypes {
		c.reject(field, "empty or too many")
	}
	var types []string
	for i := range names {
		types = append(types, c.text(field, &names[i]))
	}
	return types
}

func (c *fieldChecker) jobIDs(field string, ids []string) []string {
	seen := map[string]bool{}
	for _, id := range ids {
		if !IsValidJobID(id) || seen[id] {
			c.reject(field, "not of the form of job ids, or named twice")
		}
		seen[id] = true
	}
	return ids
}

// oneOf converts a text to type T and rejects it unless it is one of the allowed values.
func oneOf[T ~string](c *fieldChecker, field string, value *string, allowed ...T) T {
	text := T(c.text(field, value))
	if !slices.Contains(allowed, text) {
		c.reject(field, "unknown value")
	}
	return text
}

// DecodeMaxRetries returns the maximum number of retries that a submission requests, or nil if it has
// no such field. It is called only if operators limit retries; otherwise the field is ignored like any
// unknown field.
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
	if *in.Repeats < 0 || *in.Repeats > tuning.MaxClassRetries {
		return nil, &FieldError{Field: "repeats", Problem: "out of range"}
	}
	retries := int(*in.Repeats)
	return &retries, nil
}
