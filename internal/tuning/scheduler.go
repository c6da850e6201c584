package tuning

import "time"

// Scheduling cycles.
const (
	// CycleMinInterval is the minimum pause between two scheduling cycles for a fleet of up to
	// CycleMinIntervalMachines machines.
	CycleMinInterval = 80 * time.Millisecond
	// CycleMinIntervalMachines is the number of machines above which the minimum interval grows in proportion to the
	// fleet, so that the cycles of a fleet of any size take the same share of a core. CycleMinIntervalMax bounds that
	// growth, because a service that has to start within seconds waits for a cycle.
	CycleMinIntervalMachines = 600
	CycleMinIntervalMax      = 400 * time.Millisecond
	// CycleIdleInterval is the time after which a scheduling cycle runs even if nothing has changed.
	CycleIdleInterval = 500 * time.Millisecond
	// CyclePauseFactor is the minimum pause after a scheduling cycle, as a multiple of the cycle's duration: cycles
	// take at most a fifth of the processor.
	CyclePauseFactor = 4
	// DemandInterval is the minimum time between two updates of the unmet demand and the spare capacity. The
	// autoscaler reads them every AutoscalerInterval.
	DemandInterval = 250 * time.Millisecond
	// ImageHoldersMaxAge is the maximum age of the index of the images on this node's machines. It matters only for
	// the images of earlier tasks: the images of bound tasks are always taken from the current records.
	ImageHoldersMaxAge = time.Second
	// GuaranteeInterval is the interval at which the jobs within their team's guarantee are determined again.
	GuaranteeInterval = 250 * time.Millisecond
	// MinLastObjectiveSlack is the lower bound of the slack below which an array that can still meet its last
	// objective goes before arrays of all sizes. Its tasks need that time, because they start over several cycles and
	// fetch their image.
	MinLastObjectiveSlack = 30 * time.Second
	// ObjectiveInterval is the interval at which the objectives that waiting arrays can meet are assessed. An array
	// that arrives between two assessments is assumed to meet its objectives.
	ObjectiveInterval = time.Second
	// OverdueJobAge is the time for which an array that can meet none of its objectives waits before some of the
	// starts are reserved for it: a few times the longest objective that deployments set.
	OverdueJobAge = 5 * time.Minute
	// FairShareRoundSeconds is the number of one-second time slots in a fair-share round. The last slot of a round
	// is for overdue arrays, the others are for underserved classes and teams.
	FairShareRoundSeconds = 4
	// FairShareWindow is the time for which arrivals count towards the fair share of classes and teams: a few times
	// the longest objective. FairShareMaxJobs bounds the number of arrivals that are kept, which take a few MB.
	FairShareWindow  = 5 * time.Minute
	FairShareMaxJobs = 20_000
	// FairShareMinServed is the served share of the arrived tasks below which a class or team counts as underserved,
	// if its share is also below FairShareMinRelativeServed times the share of all classes and teams together. At least
	// one half of the tasks of every class and team has to be served; FairShareMinServed is above that by a margin.
	FairShareMinServed         = 0.65
	FairShareMinRelativeServed = 0.9
	// ServiceShortageWindow is the time after a service found no capacity during which services with the fewest
	// running replicas go first. It is longer than freeing capacity for a service takes.
	ServiceShortageWindow = 5 * time.Second
	// QueueReorderInterval is the interval at which the keys of all waiting jobs are computed again: run time
	// estimates, which decide when a deadline is near, change with each task that completes.
	QueueReorderInterval = 2 * time.Second
	// SweepInterval is the interval at which a node examines all of its machines. Between sweeps it examines only
	// machines with changes.
	SweepInterval = time.Second
	// FailedRequestsKept is the maximum number of requests without capacity that a cycle remembers.
	FailedRequestsKept = 64
	// PreemptTasksPerJob is the maximum number of a job's tasks for which one cycle frees capacity.
	PreemptTasksPerJob = 8
	// PreemptMachinesCompared is the maximum number of machines that are compared to find the cheapest preemption for
	// a task.
	PreemptMachinesCompared = 24
	// PreemptMachinesPerCycle is the maximum number of machines on which one cycle frees capacity.
	PreemptMachinesPerCycle = 16
	// BootOverdueFactor is the time, as a multiple of the nominal boot time, after which the autoscaler no longer
	// counts on a machine that has not come up and rents others instead.
	BootOverdueFactor = 1.8
	// MinBootOverdue is the lower bound of the time given by BootOverdueFactor.
	MinBootOverdue = 15 * time.Second
	// HomeShardGracePeriod is the time for which only the owner of a task's home shard may place the task. After
	// that the owner of one further shard at a time may place it too, and that shard changes once per grace period.
	HomeShardGracePeriod = 600 * time.Millisecond
	// HomeShardGracePeriodUnderShortage replaces HomeShardGracePeriod for arrays while capacity is short. Each
	// shard then has capacity released several times a second, and a second writer of a job's record costs more than
	// the wait.
	HomeShardGracePeriodUnderShortage = 5 * time.Second
	// BindingsPerCycle is the maximum number of tasks bound in one cycle. A gang with more tasks is bound only if the
	// cycle has bound nothing before it.
	BindingsPerCycle = 96
	// CommonTaskRetention is the time for which the size of a common task is kept after work of that size has ended:
	// some minutes, which cover a burst and the quiet period after it.
	CommonTaskRetention = 5 * time.Minute
	// StoreSaturatedQueueLength is the number of changes waiting for the key-value store's request budget from which
	// on the store counts as saturated. Arrays and services of normal and low priority are then bound only in one cycle
	// per StoreSaturatedPlacementInterval, so that one write binds many tasks, and records are not migrated in the
	// background. Gangs and jobs of high and production priority are not held back.
	StoreSaturatedQueueLength       = 12
	StoreSaturatedPlacementInterval = 700 * time.Millisecond
	// BootLikelyFactor is the time after a machine's rental, as a multiple of the nominal boot time, from which on
	// another node's machine is assumed to be up although its record does not say so yet.
	BootLikelyFactor = 1.3
	// MinJobBackoff and MaxJobBackoff bound the backoff of a job, which starts when one of its tasks fails and doubles
	// with each failure. Failures that the retry policy of the job's class limits have the bounds of the class instead.
	MinJobBackoff = 2 * time.Second
	MaxJobBackoff = 60 * time.Second
	// MaxClassRetries is the maximum number of retries that a class may allow: with more, a task that always fails
	// would occupy machines for days.
	MaxClassRetries = 1000
	// MaxRetryBackoffSeconds is the maximum backoff between two retries, in seconds.
	MaxRetryBackoffSeconds = 86400
	// MaxOperatorClasses is the maximum number of classes in the operators' file.
	MaxOperatorClasses = 256
	// RejectedRecordBackoff is the time for which a record is not changed again after the key-value store rejected a
	// change of it as malformed. The store also rejects a change that exceeds a limit that was lowered before the
	// announced time.
	RejectedRecordBackoff = 2 * time.Second
	// PreemptMinRemainingRun is the expected run time below which an array's tasks are not preempted for a job of the
	// same priority that reclaims its team's guarantee, unless that job was guaranteed on arrival. Such tasks end
	// sooner than a preemption pays off, which costs a checkpoint, a start elsewhere, an image fetch and the work since
	// the last checkpoint.
	PreemptMinRemainingRun = 3 * time.Minute
	// PreemptShardInterval is the time for which only one shard frees capacity for a task of high priority before the
	// next shard is tried. It is longer than a stop, the heartbeat that reports it and the record change usually take.
	PreemptShardInterval = 4 * time.Second
	// ReservationTimeout is the time for which capacity freed for a task stays reserved for it.
	ReservationTimeout = 12 * time.Second
	// GangFormTimeout is the time within which all tasks of a gang must be bound; otherwise the attempt is stopped.
	GangFormTimeout = 6 * time.Second
	// GangFormTimeoutPerTask is added to GangFormTimeout for each task of the gang, because one cycle binds only a part
	// of a large gang.
	GangFormTimeoutPerTask = 2 * time.Millisecond
	// GangRecordsPerTxn is the maximum number of a gang's records that one transaction changes. With about 6 KiB per
	// record, it stays below the size limit of a transaction.
	GangRecordsPerTxn = 4
	// TasksPerJobPerCycle is the maximum number of a job's pending tasks that one search for capacity tries to bind. A
	// cycle may search several times for the same job.
	TasksPerJobPerCycle = 256
	// DefaultDeadline is the deadline of jobs that have none, counted from when the job could first start.
	DefaultDeadline = time.Hour
	// CommitTimeout bounds the wait for the outcome of a record change.
	CommitTimeout = 8 * time.Second
	// StopMargin is added to a task's checkpoint save time to get the grace period of its stop.
	StopMargin = 1 * time.Second
	// WaitReasonLogInterval is the minimum time between two log lines about why the same job waits.
	WaitReasonLogInterval = 5 * time.Second
	// FenceRetryInterval is the pause between two attempts to fence a shard, which is done when the outcome of a
	// write is unknown.
	FenceRetryInterval = 200 * time.Millisecond
)
