package wire

// JobKind is how the tasks of a job belong together.
type JobKind string

// Kinds of jobs.
const (
	KindArray   JobKind = "batch"  // independent tasks, started in any order
	KindGang    JobKind = "group"  // tasks that start and run together or not at all
	KindService JobKind = "daemon" // replicas that run until the job is cancelled
)

// String gives the kind as the protocol names it.
func (k JobKind) String() string { return string(k) }

// Priority is the urgency that a user gives a job.
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

// Rank orders priorities: 0 is the highest. An unknown priority has the lowest rank.
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

// String gives the priority as the protocol names it.
func (p Priority) String() string { return string(p) }

// JobState is the state of a job as its user sees it.
type JobState string

// States of a job. JobFailed is the end of a job with a task that has failed more often than its
// class, or its user, allows; it occurs only where operators limit retries.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
	JobFailed    JobState = "failed"
)

// String gives the state as the protocol names it.
func (s JobState) String() string { return string(s) }

// IsFinal reports whether a job in this state never leaves it.
func (s JobState) IsFinal() bool {
	return s == JobDone || s == JobCancelled || s == JobFailed
}

// JobSpec is a job as its user described it, checked by DecodeSubmission. It is stored as it is in
// the job's record, so a new field belongs to a schema version. Resources are for each task.
type JobSpec struct {
	ID           string   `cbor:"id"`
	Class        string   `cbor:"lot"`
	Team         string   `cbor:"crew"`
	Kind         JobKind  `cbor:"rig"`
	Priority     Priority `cbor:"precedence"`
	TaskCount    int      `cbor:"hauls"`
	CPUs         float64  `cbor:"vcpus"`
	GPUs         float64  `cbor:"cards"`
	MemoryGB     float64  `cbor:"memory_gb"`
	Image        string   `cbor:"tackle"`
	ImageSizeGB  float64  `cbor:"size_gb"`
	MachineTypes []string `cbor:"hulls,omitempty"`  // the allowed ones; none: any
	Zone         string   `cbor:"harbor,omitempty"` // the only one allowed; empty: any
	SameZone     bool     `cbor:"same_place"`       // all tasks in one zone
	Spread       bool     `cbor:"spread"`           // tasks in more than one zone
	AllowSpot    bool     `cbor:"standby"`

	JobTiming

	// Dependencies names the jobs that must be done before any task of this one starts. From
	// tuning.SchemaVersionDependencies on: an older version would lose it.
	Dependencies []string `cbor:"awaits,omitempty"`
	// MaxRetries is how often a task may start again after a failure of its own; nil: without
	// limit. It is fixed when the job is accepted, from tuning.SchemaVersionRetries on.
	MaxRetries *int `cbor:"repeats,omitempty"`
}

// JobTiming is what a user says of the time that a job takes. It is encoded as part of its JobSpec.
type JobTiming struct {
	RuntimeEstimateSeconds    float64 `cbor:"reckon_s"`           // of each task
	CheckpointIntervalSeconds float64 `cbor:"landfall_s"`         // 0: no checkpoints
	CheckpointSaveSeconds     float64 `cbor:"stow_s"`             // how long a task takes to save its progress
	DeadlineSeconds           float64 `cbor:"cutoff_s,omitempty"` // after submission; 0: none
}

// JobResponse answers a submission or a cancellation.
type JobResponse struct {
	ID    string   `cbor:"id"`
	State JobState `cbor:"status"`
}

// JobStatus answers a question about a job.
type JobStatus struct {
	ID           string   `cbor:"id"`
	State        JobState `cbor:"status"`
	TasksDone    int      `cbor:"done"`
	TasksRunning int      `cbor:"running"`
}

// ErrorResponse explains to a client why its request was refused.
type ErrorResponse struct {
	Message string `cbor:"error"`
}
