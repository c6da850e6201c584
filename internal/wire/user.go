package wire

// JobKind defines how the tasks of a job depend on each other.
type JobKind string

// Kinds of jobs.
const (
	KindArray   JobKind = "batch"  // independent tasks, started in any order
	KindGang    JobKind = "group"  // tasks that start and run together, or not at all
	KindService JobKind = "daemon" // replicas that run until the job is cancelled
)

// String returns the kind's name in the protocol.
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

// Rank returns the position of the priority in the order of urgency: 0 for the highest, PriorityCount-1 for the lowest
// and for an unknown one.
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

// String returns the priority's name in the protocol.
func (p Priority) String() string { return string(p) }

// JobState is the state of a job that is reported to its user.
type JobState string

// States of a job. JobFailed means that a task of the job failed more often than the class of the job, or its user,
// allows. It occurs only if operators limit retries.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
	JobFailed    JobState = "failed"
)

// String returns the state's name in the protocol.
func (s JobState) String() string { return string(s) }

// IsFinal reports whether the state is final: a job never leaves it.
func (s JobState) IsFinal() bool {
	return s == JobDone || s == JobCancelled || s == JobFailed
}

// JobSpec is the description of a job by its user, validated by DecodeSubmission. It is stored in the job's record
// unchanged except for MaxRetries, which package api sets when it accepts the job, so every new field requires a
// new schema version. CPUs, GPUs and MemoryGB are the resources of each task.
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
	MachineTypes []string `cbor:"hulls,omitempty"`  // allowed machine types; empty means any
	Zone         string   `cbor:"harbor,omitempty"` // only allowed zone; empty means any
	SameZone     bool     `cbor:"same_place"`       // all tasks must be in one zone
	Spread       bool     `cbor:"spread"`           // tasks must be in more than one zone
	AllowSpot    bool     `cbor:"standby"`

	JobTiming

	// Dependencies are the IDs of the jobs that must be done before any task of this one starts. The field exists
	// from tuning.SchemaVersionDependencies on; a node with an older version would drop it.
	Dependencies []string `cbor:"awaits,omitempty"`
	// MaxRetries is how often a task may be restarted after it failed by itself; nil means without limit. It is
	// fixed when the job is accepted. The field exists from tuning.SchemaVersionRetries on.
	MaxRetries *int `cbor:"repeats,omitempty"`
}

// JobTiming is the part of a JobSpec that describes its timing. Its fields are encoded as fields of the JobSpec.
type JobTiming struct {
	RuntimeEstimateSeconds    float64 `cbor:"reckon_s"`           // expected run time of each task
	CheckpointIntervalSeconds float64 `cbor:"landfall_s"`         // 0 means no checkpoints
	CheckpointSaveSeconds     float64 `cbor:"stow_s"`             // time that a task needs to save a checkpoint
	DeadlineSeconds           float64 `cbor:"cutoff_s,omitempty"` // counted from submission; 0 means none
}

// JobResponse is the response to a submission or a cancellation.
type JobResponse struct {
	ID    string   `cbor:"id"`
	State JobState `cbor:"status"`
}

// JobStatus is the response to a query of a job's status.
type JobStatus struct {
	ID           string   `cbor:"id"`
	State        JobState `cbor:"status"`
	TasksDone    int      `cbor:"done"`
	TasksRunning int      `cbor:"running"`
}

// ErrorResponse tells a client why its request was rejected.
type ErrorResponse struct {
	Message string `cbor:"error"`
}
