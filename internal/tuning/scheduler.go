package tuning

import "time"

// Scheduling cycles.
const (
	// CycleMinInterval is the shortest time between two scheduling cycles.
	CycleMinInterval = 80 * time.Millisecond
	// CycleMinIntervalMachines is the fleet up to which that holds; beyond it the gap grows in proportion, so that
	// cycles of a fleet of any size take the same share of a core, and CycleMinIntervalMax bounds it: a service
	// that is to start within seconds waits for one.
	CycleMinIntervalMachines = 600
	CycleMinIntervalMax      = 400 * time.Millisecond
	// CycleIdleInterval is the longest.
	CycleIdleInterval = 500 * time.Millisecond
	// CycleRestFactor is how many times as long as a cycle took the next one waits at least, so that cycles take at
	// most a fifth of the processor.
	CycleRestFactor = 4
	// DemandInterval is the shortest time between two reports of unmet demand and spare capacity; the autoscaler
	// looks at them every AutoscalerInterval.
	DemandInterval = 250 * time.Millisecond
	// ImageHoldersMaxAge is how long the index of images by machine is kept. What is bound there is known from the
	// records at once; this is about what ran before.
	ImageHoldersMaxAge = time.Second
	// GuaranteeInterval is how often it is computed anew which jobs lie within their team's guarantee.
	GuaranteeInterval = 250 * time.Millisecond
	// MinObjectiveUrgentSlack is the slack, at least, from which on an array goes first that can only just be in
	// time for its last objective: its tasks start over some cycles and fetch their image.
	MinObjectiveUrgentSlack = 30 * time.Second
	// ObjectiveInterval is how often it is computed anew which arrays can meet their objectives: a job that comes
	// in between counts as one that can.
	ObjectiveInterval = time.Second
	// OverdueJobAge is how long an array that can't be in time for anything waits before it has a share of the
	// starts: a few times the longest of its objectives as deployments set them.
	OverdueJobAge = 5 * time.Minute
	// FairShareTurnSeconds is how many seconds make a round of turns: the last is for overdue jobs, the others are
	// for classes and teams that are underserved.
	FairShareTurnSeconds = 4
	// FairShareWindow is for how long arrivals are counted for the fair share of classes and teams, a few times the
	// longest objectives; FairShareMaxJobs bounds how many are kept, a few MB.
	FairShareWindow  = 5 * time.Minute
	FairShareMaxJobs = 20_000
	// FairShareMinServed is the share of what arrived below which a class or team is underserved, with some
	// distance to the half that is the least that anybody may be served, if it is also below
	// FairShareMinRelativeServed of what all together were served.
	FairShareMinServed         = 0.65
	FairShareMinRelativeServed = 0.9
	// ServiceShortageHold is for how long after a service found no room the services with the fewest replicas left
	// go first: longer than it takes until capacity that is being freed for one is empty.
	ServiceShortageHold = 5 * time.Second
	// QueueReorderInterval is how often all waiting jobs are ordered anew: estimates of run times, by which
	// deadlines become close, move with each task that completes.
	QueueReorderInterval = 2 * time.Second
	// SweepInterval is the interval at which all machines of a node are looked at; between sweeps only those of
	// which something new is known.
	SweepInterval = time.Second
	// FailedRequestsKept is how many requests that found no capacity a cycle remembers.
	FailedRequestsKept = 64
	// PreemptTasksPerJob is how many tasks of a job one cycle frees capacity for.
	PreemptTasksPerJob = 8
	// PreemptMachinesCompared is how many machines are compared for it.
	PreemptMachinesCompared = 24
	// PreemptMachinesPerCycle bounds the machines on which one cycle frees capacity.
	PreemptMachinesPerCycle = 16
	// BootOverdueFactor is how many nominal boot times a machine may take before others are rented rather than
	// waiting for it.
	BootOverdueFactor = 1.8
	// MinBootOverdue is the least such time.
	MinBootOverdue = 15 * time.Second
	// HomeShardHold is how long a task is left to its home shard before any shard may take it.
	HomeShardHold = 600 * time.Millisecond
	// HomeShardHoldUnderShortage is the same for arrays where capacity is short: in each shard some is released
	// several times a second, and a second writer of a record costs more than the wait.
	HomeShardHoldUnderShortage = 5 * time.Second
	// BindingsPerCycle bounds the tasks bound in one cycle.
	BindingsPerCycle = 96
	// CommonTaskHold is for how long small tasks make room for common ones after the last of those: some minutes,
	// as long as a burst and the quiet after it.
	CommonTaskHold = 5 * time.Minute
	// StoreSaturatedQueueLength is how many changes wait for the key-value store's budget when it counts as the
	// bottleneck: then arrays are placed StoreSaturatedPlacementInterval at a time, so that one write binds many
	// tasks.
	StoreSaturatedQueueLength       = 12
	StoreSaturatedPlacementInterval = 700 * time.Millisecond
	// BootLikelyFactor is how many nominal boot times after its rental another node's machine is taken for up,
	// though its record does not say so yet.
	BootLikelyFactor = 1.3
	// MinJobBackoff and MaxJobBackoff pace the restarts of a task that fails on several machines.
	MinJobBackoff = 2 * time.Second
	MaxJobBackoff = 60 * time.Second
	// MaxClassRetries is the most that a class may allow: beyond it a task that fails for good would take machines
	// for days.
	MaxClassRetries = 1000
	// MaxRetryPauseSeconds is the longest pause between retries, in seconds.
	MaxRetryPauseSeconds = 86400
	// MaxOperatorClasses bounds the classes of the operators' file.
	MaxOperatorClasses = 256
	// RejectedRecordPause is how long a record is left alone that the key-value store refused as malformed, which
	// it does with one over a limit that fell early.
	RejectedRecordPause = 2 * time.Second
	// PreemptMinRemainingRun is the expected run time below which an array's tasks make room by themselves sooner
	// than a stop pays: that costs a save, a start elsewhere, a fetch and the work since the last save.
	PreemptMinRemainingRun = 3 * time.Minute
	// PreemptShardTurn is for how long one shard alone may free capacity for urgent work: longer than a stop, its
	// heartbeat and the change of the records take as a rule.
	PreemptShardTurn = 4 * time.Second
	// ReservationHold is how long capacity freed for a task is kept for it.
	ReservationHold = 12 * time.Second
	// GangFormTimeout is how long a gang may take to be bound whole before it is withdrawn.
	GangFormTimeout = 6 * time.Second
	// GangFormTimeoutPerTask is added to it for each task, as one cycle binds a part of a long gang.
	GangFormTimeoutPerTask = 2 * time.Millisecond
	// GangRecordsPerTxn is how many records of a gang are bound in one transaction: at some 6 KiB each they stay
	// within its size.
	GangRecordsPerTxn = 4
	// TasksPerJobPerCycle is how many of a job's waiting tasks one cycle looks at.
	TasksPerJobPerCycle = 256
	// DefaultDeadline stands for the deadline of jobs without one, after their arrival.
	DefaultDeadline = time.Hour
	// CommitTimeout bounds the wait for one change of records.
	CommitTimeout = 8 * time.Second
	// StopMargin is added to a task's saving time when it is stopped.
	StopMargin = 1 * time.Second
	// WaitReasonLogInterval is how often the log says why a job waits.
	WaitReasonLogInterval = 5 * time.Second
	// UnknownOutcomePause is how long placement waits before it fences a write without an answer.
	UnknownOutcomePause = 200 * time.Millisecond
)
