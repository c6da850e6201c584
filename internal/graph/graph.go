package graph

import "time"

// Graph is a graph as its file describes it.
type Graph struct {
	ID            string         `json:"dag_id"`
	Description   string         `json:"description"`
	Tags          []string       `json:"tags"`
	Schedule      *string        `json:"schedule"` // cron expression or preset; nil or empty for none
	Timezone      string         `json:"timezone"` // IANA name; empty for UTC
	StartDate     string         `json:"start_date"`
	EndDate       string         `json:"end_date"`
	Catchup       bool           `json:"catchup"`
	MaxActiveRuns int            `json:"max_active_runs"`
	DefaultArgs   TaskArgs       `json:"default_args"`
	Params        map[string]any `json:"params"` // parameters of a run and their defaults
	Groups        []Group        `json:"task_groups"`
	Tasks         []Task         `json:"tasks"`

	source source
}

// Group is a named set of tasks. Tasks and other groups can depend on the set as a whole.
type Group struct {
	ID       string   `json:"group_id"`
	Upstream []string `json:"upstream_task_ids"`
}

// Task is one task of a graph.
type Task struct {
	ID       string   `json:"task_id"`
	Upstream []string `json:"upstream_task_ids"` // ids of tasks and groups
	GroupID  string   `json:"task_group"`
	// Expand is a list with one item for each instance of the task, or a map with the name of a parameter that is
	// such a list. It is nil if the task is not mapped.
	Expand any `json:"expand"`
	TaskArgs
}

// TaskArgs describes the job of a task. A field of type any holds a number, a boolean or a template that renders to
// one. Strings may be templates too, except for the values of TriggerRule, Kind and Priority.
type TaskArgs struct {
	Owner             string      `json:"owner"` // has no effect
	Retries           any         `json:"retries"`
	RetryDelaySeconds *float64    `json:"retry_delay"` // has no effect: the class sets the delay
	TriggerRule       TriggerRule `json:"trigger_rule"`
	Class             string      `json:"class"`
	Team              string      `json:"team"`
	Kind              string      `json:"kind"`
	Priority          string      `json:"priority"`
	TaskCount         any         `json:"count"`
	ResourceArgs
	PlacementArgs
	TimingArgs
}

// ResourceArgs describes the resources and the image that each native task of a job requires.
type ResourceArgs struct {
	CPUs        any    `json:"cpus"`
	GPUs        any    `json:"gpus"`
	MemoryGB    any    `json:"memory_gb"`
	Image       string `json:"image"`
	ImageSizeGB any    `json:"image_gb"`
}

// PlacementArgs restricts where a job's tasks may run.
type PlacementArgs struct {
	MachineTypes []string `json:"types"`
	Zone         string   `json:"zone"`
	SameZone     any      `json:"one_zone"`
	Spread       any      `json:"spread"`
	AllowSpot    any      `json:"spot"`
}

// TimingArgs describes the expected runtime, the checkpoints and the deadline of a job's tasks.
type TimingArgs struct {
	RuntimeEstimateSeconds    any `json:"estimate_s"`
	CheckpointIntervalSeconds any `json:"checkpoint_s"`
	CheckpointSaveSeconds     any `json:"save_s"`
	DeadlineSeconds           any `json:"deadline_s"`
}

// TriggerRule is the condition on the outcomes of a task's upstream tasks under which the task may start.
type TriggerRule string

// The trigger rules.
const (
	// TriggerAllSuccess is the default, and the condition that dependencies of native jobs impose.
	TriggerAllSuccess TriggerRule = "all_success"
	TriggerAllDone    TriggerRule = "all_done"
	TriggerOneSuccess TriggerRule = "one_success"
	TriggerOneFailed  TriggerRule = "one_failed"
	TriggerNoneFailed TriggerRule = "none_failed"
	TriggerAlways     TriggerRule = "always"
)

// ParseDate parses a date, or a time as in RFC 3339 with or without an offset. A text without an offset is in the
// given time zone. ParseDate returns a DateError if the text has none of the supported layouts.
func ParseDate(text string, zone *time.Location) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, "2006-01-02T15:04:05", "2006-01-02 15:04:05", time.DateOnly} {
		if parsed, err := time.ParseInLocation(layout, text, zone); err == nil {
			return parsed, nil
		}
	}
	return time.Time{}, &DateError{Text: text}
}

// Location returns the graph's time zone. It returns an error if the zone is unknown.
func (g *Graph) Location() (*time.Location, error) {
	if g.Timezone == "" {
		return time.UTC, nil
	}
	return time.LoadLocation(g.Timezone)
}
