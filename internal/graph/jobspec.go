package graph

import (
	"fmt"
	"math"

	"sableusher/internal/admission"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// probeJobID is the placeholder id with which a job is validated before its own id is set.
const probeJobID = "run-0"

// specBuilder builds the native job of one instance of a task.
type specBuilder struct {
	faults    *faultCollector
	path      string // path of the task in the file
	args      *TaskArgs
	variables map[string]any // template variables
	rules     *Rules

	requestedRetries *int // set by render; nil if the task does not set retries
}

// build returns the job without its id and dependencies. It adds a fault for each reason for
// which the job's submission would be rejected.
func (b *specBuilder) build() wire.JobSpec {
	faultsBefore := len(b.faults.faults)
	spec := b.render()
	if len(b.faults.faults) == faultsBefore {
		b.check(&spec)
	}
	return spec
}

// render renders the task's arguments to a job description.
func (b *specBuilder) render() wire.JobSpec {
	args := b.args
	spec := wire.JobSpec{
		Class:       b.requiredText("class", args.Class),
		Team:        b.requiredText("team", args.Team),
		Image:       b.requiredText("image", args.Image),
		Zone:        b.text("zone", args.Zone),
		Kind:        jobKind(args.Kind),
		Priority:    jobPriority(args.Priority),
		TaskCount:   1,
		CPUs:        b.amount("cpus", args.CPUs),
		GPUs:        b.amount("gpus", args.GPUs),
		MemoryGB:    b.amount("memory_gb", args.MemoryGB),
		ImageSizeGB: b.amount("image_gb", args.ImageSizeGB),
		SameZone:    b.flag("one_zone", args.SameZone),
		Spread:      b.flag("spread", args.Spread),
		AllowSpot:   b.flag("spot", args.AllowSpot),
		JobTiming: wire.JobTiming{
			RuntimeEstimateSeconds:    b.amount("estimate_s", args.RuntimeEstimateSeconds),
			CheckpointIntervalSeconds: b.amount("checkpoint_s", args.CheckpointIntervalSeconds),
			CheckpointSaveSeconds:     b.amount("save_s", args.CheckpointSaveSeconds),
			DeadlineSeconds:           b.amount("deadline_s", args.DeadlineSeconds),
		},
	}
	for i, machineType := range args.MachineTypes {
		field := fmt.Sprintf("types/%d", i)
		spec.MachineTypes = append(spec.MachineTypes, b.requiredText(field, machineType))
	}
	if args.TaskCount != nil {
		spec.TaskCount = b.wholeNumber("count", args.TaskCount, 1, tuning.MaxTasksPerJob)
	}
	if args.Retries != nil {
		requested := b.wholeNumber("retries", args.Retries, 0, tuning.MaxClassRetries)
		b.requestedRetries = &requested
	}
	return spec
}

// check validates a job like a submission. It also sets the job's maximum number of retries
// from the requested number and the retry policy of the job's class.
func (b *specBuilder) check(spec *wire.JobSpec) {
	probe := *spec
	probe.ID = probeJobID
	if _, err := wire.DecodeSubmission(wire.MustEncode(probe)); err != nil {
		b.faults.add(b.path, "as a job: %v", err)
		return
	}
	limit, err := b.rules.RetryPolicies.MaxRetries(spec.Class, b.requestedRetries)
	if err != nil {
		b.faults.add(b.path+"/retries", "%v", err)
	}
	spec.MaxRetries = limit
	if b.rules.Teams == nil {
		return
	}
	if err := admission.Validate(spec, b.rules.Teams, b.rules.MachineTypes); err != nil {
		b.faults.add(b.path, "%v", err)
	}
}

// addFault adds a fault of a field of the task.
func (b *specBuilder) addFault(field, format string, args ...any) {
	b.faults.add(b.path+"/"+field, format, args...)
}

// requiredText renders a string like text, and adds a fault if it is empty.
func (b *specBuilder) requiredText(field, value string) string {
	if value == "" {
		b.addFault(field, "%s is missing, here and in default_args", field)
	}
	return b.text(field, value)
}

// text renders a string, which may be a template. It adds a fault if a template renders to an empty string.
func (b *specBuilder) text(field, value string) string {
	if !isTemplate(value) {
		return value
	}
	text, err := render(value, b.variables)
	if err != nil {
		b.addFault(field, "%v", err)
	} else if text == "" {
		b.addFault(field, "the template gives nothing")
	}
	return text
}

// amount renders a number and checks that it is from 0 to tuning.MaxAmount.
func (b *specBuilder) amount(field string, value any) float64 {
	amount, err := renderNumber(value, b.variables)
	if err != nil {
		b.addFault(field, "%v", err)
	} else if amount < 0 || amount > tuning.MaxAmount || math.IsNaN(amount) {
		b.addFault(field, "%v is not from 0 to %v", amount, float64(tuning.MaxAmount))
	}
	return amount
}

// wholeNumber renders a number and checks that it is an integer from low to high.
func (b *specBuilder) wholeNumber(field string, value any, low, high float64) int {
	number := b.amount(field, value)
	if number != math.Trunc(number) || number < low || number > high {
		b.addFault(field, "%v is no whole number from %v to %v", number, low, high)
	}
	return int(number)
}

// flag renders a boolean.
func (b *specBuilder) flag(field string, value any) bool {
	flag, err := renderBool(value, b.variables)
	if err != nil {
		b.addFault(field, "%v", err)
	}
	return flag
}

// jobKind returns the native job kind for a name. The schema allows no other names.
func jobKind(name string) wire.JobKind {
	switch name {
	case "", "array":
		return wire.KindArray
	case "gang":
		return wire.KindGang
	}
	return ""
}

// jobPriority returns the native priority for a name. The schema allows no other names.
func jobPriority(name string) wire.Priority {
	switch name {
	case "", "normal":
		return wire.PriorityNormal
	case "high":
		return wire.PriorityHigh
	case "low":
		return wire.PriorityLow
	}
	return ""
}
