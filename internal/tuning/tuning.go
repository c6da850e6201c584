// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. Other packages define no figures of their own.
package tuning

import "time"

// State service: budget and transactions.
const (
	// KVBudgetShare is the fraction of the state service's limits that all nodes
	// together plan to use; the rest covers bursts and clock drift.
	KVBudgetShare = 0.92
	// KVEvenBudgetShare of that is spread evenly over the live nodes, for users and
	// sessions; the rest goes by the parts that each owns.
	KVEvenBudgetShare = 0.35
	// KVUrgentExtraShare is the extra fraction of a node's budget that only urgent
	// requests (sessions, ownership, cancellations) may use.
	KVUrgentExtraShare = 0.15
	// TxnMaxBytes bounds one transaction's encoded size; the service takes 64 KiB
	// measured as JSON, and our CBOR is smaller than its JSON form by up to a third.
	TxnMaxBytes = 36 << 10
	// RecordShareOfValueLimit of the value limit is what one record may take in CBOR,
	// since the limit is measured in the longer JSON form.
	RecordShareOfValueLimit = 0.6
	// TxnConditionsPerOp is how many conditions a transaction may have per operation.
	TxnConditionsPerOp = 4
	// WriteRateCutFactor is what a refusal for too many changes leaves of a node's pace, at
	// most once in PaceHold and not below PaceLeast; PaceBack is what it regains
	// in each PaceHold without one.
	WriteRateCutFactor      = 0.8
	WriteRateRecoveryStep   = 0.05
	WriteRateMinFactor      = 0.3
	WriteRateAdjustInterval = time.Second
	// CommitWorkers is how many transactions a node has in flight. More would
	// only make guards collide.
	CommitWorkers = 3
	// BackgroundTxnMaxWait is how long a lazy change waits behind all others.
	BackgroundTxnMaxWait = 2 * time.Second
	// NormalTxnMaxWait is how long other changes wait behind those of work of high
	// priority. While the budget is the bottleneck they wait some seconds anyway.
	NormalTxnMaxWait = 5 * time.Second
	// CommitQueueLength bounds the items that wait for a transaction.
	CommitQueueLength = 4096
	// KVRequestTimeout is how long a request to the state service may take: usual
	// answers come under 10 ms, rare ones take a few hundred.
	KVRequestTimeout = 1500 * time.Millisecond
	// TxnAnswerLateAfter is how long an answer to a transaction may take, far more than the usual one, before it is
	// looked every AnswerLook whether the view shows what became of it.
	TxnAnswerLateAfter     = 150 * time.Millisecond
	TxnOutcomePollInterval = 50 * time.Millisecond
	// InFlightKeyMaxChanges bounds the changes of one key that are kept while a change of it is on its way.
	InFlightKeyMaxChanges = 32
	// KVRetryPause is the pause after 429 or 503 from the state service.
	KVRetryPause = 150 * time.Millisecond
	// KVResponseMaxBytes bounds one answer of the state service: watches have no limit
	// of their own, so this only stops a runaway.
	KVResponseMaxBytes = 64 << 20
	// ListPageSize is how many rows a listing asks for at a time.
	ListPageSize = 500
	// WatchMaxWait is how long a watch waits for a change.
	WatchMaxWait = 2 * time.Second
	// WatchBudgetShare is the fraction of a node's request budget that watches may use.
	WatchBudgetShare = 0.25
	// ReadBarrierBudgetShare is the fraction of a node's request budget that read barriers may use.
	ReadBarrierBudgetShare = 0.3
	// MaxIdleConnsPerHost is how many kept connections a client holds for one host.
	MaxIdleConnsPerHost = 8
)

// Job records.
const (
	// FixedChunkTasks is how many tasks one record holds: at about 50 bytes a task
	// it stays below the smallest value limit seen (16 KiB as JSON).
	FixedChunkTasks = 128
	// MinValueLimitKB is the smallest value limit that a record of ChunkTasks tasks
	// fits, measured as JSON: about 50 bytes a task and 1 KiB of description.
	MinValueLimitKB = 8
	// MinUpcomingValueLimitKB is the smallest value limit under which records can be split far
	// enough: a description of 600 bytes and LeastWidth tasks of a gang.
	MinUpcomingValueLimitKB = 1
	// MinUpcomingTxnOps is the least number of changes of a transaction to come: one old
	// record is split into ChunkTasks/LeastWidth, and the job's own is written too.
	MinUpcomingTxnOps = 10
	// JSONShareOfValueLimit of a value limit is used where the JSON form is measured: the
	// service may write its numbers and separators a little longer than we do.
	JSONShareOfValueLimit = 0.85
	// MinChunkWidth is the fewest tasks a record is made for.
	MinChunkWidth = 16
	// BoundTaskMaxBytes is what a bound task takes in a record, as JSON: state, attempt,
	// machine, session, charge and number, each longer than is ever seen, and a
	// machine's name of up to TaskName; longer names add what they are longer.
	BoundTaskMaxBytes  = 40
	BoundTaskNameBytes = 20
	// BoundTaskTypicalBytes is what a task of an array takes as a rule: tasks on the same
	// machine stand together. A record in which they do not takes fewer at a time.
	BoundTaskTypicalBytes = 20
	// RetryCountMaxBytes is what a counted failure takes in a record, as JSON: the task's
	// number and the count.
	RetryCountMaxBytes = 12
	// MigrationsPerCycle bounds the old records that one round moves, MoveGap paces them
	// where nothing waits for them, so that acceptance keeps its room.
	MigrationsPerCycle = 4
	MigrationInterval  = 250 * time.Millisecond
	// MaxTasksPerJob is the largest job of the protocol.
	MaxTasksPerJob = 100_000
	// MaxNameBytes bounds names in users' input.
	MaxNameBytes = 128
	// MaxAmount bounds amounts in users' input; anything larger is absurd.
	MaxAmount = 1e9
	// FinalRecordCacheSize is how many finished jobs a node remembers to spare reads.
	FinalRecordCacheSize = 4096
)

// Users' API.
const (
	// RequestBodyMaxBytes is the protocol's bound on a request body, in bytes.
	RequestBodyMaxBytes = 64 << 10
	// SubmitTimeout is how long a submission may wait for its durable record;
	// users give up after 5 s.
	SubmitTimeout = 3500 * time.Millisecond
	// StatusTimeout is how long a poll may wait for its barrier; users wait 2 s.
	StatusTimeout = 1600 * time.Millisecond
	// CancelWaitTimeout is how long a cancellation may wait for the job's tasks to leave
	// their machines; longer ones are asked again. Most leave within a second.
	CancelWaitTimeout = 2 * time.Second
	// MaxWaitingCancels bounds the cancellations that wait so at once, a quarter of the
	// requests being served.
	MaxWaitingCancels = MaxConcurrentRequests / 4
	// CancelPollInterval is how often it is looked whether they have.
	CancelPollInterval = 50 * time.Millisecond
	// RetryAfterSeconds is what a shed request is told, in seconds.
	RetryAfterSeconds = 1
	// HTTPReadTimeout bounds the reading of one request, so that slow clients hold no sockets.
	HTTPReadTimeout = 10 * time.Second
	// HTTPIdleTimeout closes connections that carry nothing.
	HTTPIdleTimeout = 90 * time.Second
	// ListenerSocketShare of the socket limit is what the listener accepts; the rest is for our own connections.
	ListenerSocketShare = 0.8
	// MaxConcurrentRequests bounds the users' requests being served at once.
	MaxConcurrentRequests = 256
	// ReadyMaxStateAge is the age of the state view past which a node calls itself
	// not ready. Longer than an ordinary hiccup, shorter than users' patience.
	ReadyMaxStateAge = 4 * time.Second
)

// Membership.
const (
	// SessionTTL is the life of a node's session without renewal: a crash is
	// noticed after it. Shorter would turn a slow second into a takeover.
	SessionTTL = 3 * time.Second
	// SessionRenewInterval is the interval of renewals, a third of the life.
	SessionRenewInterval = 1 * time.Second
	// FailoverStagger staggers nodes that want the same part, per part already owned.
	FailoverStagger = 250 * time.Millisecond
	// HomeNodeGrace is how long others leave an unowned part to its home node.
	HomeNodeGrace = 1500 * time.Millisecond
	// ShardReturnDelay is how long a home node must be present before its part returns to it.
	ShardReturnDelay = 10 * time.Second
	// MembershipInterval is the interval at which membership is reviewed.
	MembershipInterval = 200 * time.Millisecond
)

// Workers.
const (
	// LeaseMargin is kept between the last possible lease end and the time by
	// which a cancelled task must be gone.
	LeaseMargin = 4 * time.Second
	// ClockDriftFraction is how far two steady clocks may run apart, as a fraction.
	ClockDriftFraction = 0.0005
	// CommandTimeout is how long a direct command may take.
	CommandTimeout = 3 * time.Second
	// MaxCommandsPerAnswer bounds the commands of one answer: a command takes up to 100 bytes
	// as JSON, and a body 64 KiB.
	MaxCommandsPerAnswer = 400
	// MaxCommandsInFlight is how many direct commands a node has in flight. A machine that
	// hangs holds one for OrderTimeout; tens of them must not hold up the others.
	MaxCommandsInFlight = 96
	// AgentSocketShare is the share of the socket limit that connections to workers
	// may keep; the workers' own connections are as many as its machines.
	AgentSocketShare = 0.1
	// DispatchQueueLength bounds the machines that wait for a lane.
	DispatchQueueLength = 4096
	// UnknownTaskGrace is how long a task that no record knows may be reported before
	// it is stopped; reports may be a moment older than records.
	UnknownTaskGrace = 5 * time.Second
	// SuspectAfterIntervals is how long a worker may be silent, in report intervals,
	// before its machine counts as unreachable.
	SuspectAfterIntervals = 2.2
	// DeadAfterIntervals is how long a machine may be silent before it is deleted, in report
	// intervals, where it could not be asked directly.
	DeadAfterIntervals = 3.0
	// ProbeAfterIntervals is the silence, in report intervals, after which a worker is asked
	// directly: reports come up to a quarter late, one in ten later than this, and a question
	// costs a message. One that does not answer in ProbeTimeout is deleted, unless another
	// node has heard it.
	ProbeAfterIntervals = 1.2
	// RecentlyHeardIntervals is the time, in report intervals, within which a node that hears a worker has
	// heard it; a little more than the longest between two reports.
	RecentlyHeardIntervals = 1.35
	// ProbeTimeout is how long such a question may take: many times a way there and back, a
	// second connection attempt included.
	ProbeTimeout = 1500 * time.Millisecond
	// ProbeInterval is the pause between two such questions to one worker.
	ProbeInterval = 700 * time.Millisecond
	// AgentFailoverTime is how long a worker may take beyond that to find its part's new
	// owner: it tries the nodes one after the other.
	AgentFailoverTime = 15 * time.Second
	// DeletionCapShare is the largest fraction of a node's machines (at least two) that
	// may be deleted for silence in DeadWindow; DeadCapServing holds for those in a zone of
	// which at least half is heard: a loss of a fifth of a region once took two windows, and
	// the services on it were down for 20 s longer.
	DeletionCapShare            = 0.15
	DeletionCapShareServingZone = 0.35
	// DeletionCapWindow is the window of DeadCap.
	DeletionCapWindow = 20 * time.Second
	// InboundLostAfter is how long commands to a machine must have failed, while its reports arrive, before
	// its record says that it is not up: one that was lost is followed by a question within a
	// report, which is answered within OrderTimeout.
	InboundLostAfter = 2 * CommandTimeout
	// OutboundLostEvacuationLeaseShare is the share of a lease ahead of its end from which on tasks leave a machine that reaches no
	// node: they need some seconds to save and to start elsewhere, and shorter spells are waited out. They
	// leave spread over it, in MuteSteps.
	OutboundLostEvacuationLeaseShare = 0.45
	OutboundLostEvacuationSteps      = 16
	// OneWayMachineMaxAge is for how long an empty machine is kept that is deaf or mute: some leases and boot times, as
	// what is in the way often ends.
	OneWayMachineMaxAge = 3 * time.Minute
	// HeartbeatMemoryLeases is for how many leases a worker's newest report is kept in mind after it came: the
	// network delivers copies well over a lease late.
	HeartbeatMemoryLeases = 8
	// PauseCheckInterval is the interval at which a node notes that it runs; a gap of more than
	// FreezeGap means that it stood still, and that what it believes is to be confirmed.
	PauseCheckInterval = 500 * time.Millisecond
	PauseThreshold     = 3 * time.Second
	// ConfirmedCancelTokenBase is what tokens are above once cancellations are told late: more owners
	// than any part has before that, and far below what numbers of messages hold.
	ConfirmedCancelTokenBase = 1 << 40
	// OwnerUnreachableAfter is how long a part's owner must not have answered this node, two
	// rounds of hints, before its workers' leases are renewed here in a cut.
	OwnerUnreachableAfter = 2 * RemoteImagesInterval
	// PartitionedZoneControllerGrace is how long machines of a zone that is cut off are left alone where a
	// controller stands in the zone, which renews their leases.
	PartitionedZoneControllerGrace = 2 * time.Minute
	// PartitionMinMachines is the fewest machines of a zone that tell whether it is cut off:
	// with four, two late reports can't look like it.
	PartitionMinMachines = 4
	// PartitionHeardShare is the share of a zone's machines heard within one report interval
	// below which it counts as cut off. Nearly all are heard in it as a rule; in the
	// largest losses on record a third of a zone fell silent at once.
	PartitionHeardShare = 0.25
	// ZoneSuspectedHeardShare is the share below which a zone is doubted: the log and the metric say so
	// before it is certain whether its machines die or its links go.
	ZoneSuspectedHeardShare = 0.5
	// ZoneProbationMaxDoublings bounds the returns by which a zone's probation doubles: eight times the
	// time that its workers need to find back, minutes, is long enough to see it flap again.
	ZoneProbationMaxDoublings = 4
	// ZoneProbationForgiveAfter is how long a zone must serve to be forgiven one return.
	ZoneProbationForgiveAfter = 30 * time.Minute
	// PartitionElsewhereHeardShare is the share of all machines heard meanwhile from which on it is the
	// zones that are cut off, not this node.
	PartitionElsewhereHeardShare = 0.2
	// PartitionMinOwnedIntervals is how long a part must be owned, in report intervals, before machines
	// of it that were never heard tell anything: workers look for the new owner first.
	PartitionMinOwnedIntervals = 2.0
	// PartitionServiceLeaseShare is the share of a lease after which machines of a zone that is cut
	// off are given up if services on them can start elsewhere: shorter cuts are
	// waited out. The rest of the lease they go one after the other: at 0.75 all of a zone's
	// replicas started again at once, with its leases.
	PartitionServiceLeaseShare = 0.4
	// CancelDeletionShare of a cancellation's time may pass before a silent machine is
	// deleted for it, whatever else speaks for waiting; clocks differ by milliseconds.
	CancelDeletionShare = 0.5
	// FenceMinInterval is the shortest time between two raises of a part's token for launches in doubt.
	FenceMinInterval = 5 * time.Second
	// MachineMaxFailedJobs is how many tasks of different jobs must fail on a machine before it is replaced.
	MachineMaxFailedJobs = 2
	// TombstoneRetention is how long a deleted machine's name is kept in mind: reports that a
	// cut has held back come minutes late.
	TombstoneRetention = 10 * time.Minute
	// StartRefusalBackoff keeps a machine that refused a start out of placement.
	StartRefusalBackoff = 3 * time.Second
)

// Forms of records and pipelines.
const (
	// SchemaVersion is the newest form of records that this version reads and, once all
	// nodes do, writes: 4 is jobs handed over between cells, 3 counted failures, 2 cancellations that are told once no task
	// is left, 1 pipelines and split records, 0 what came before.
	SchemaVersion = 4
	// SchemaVersionDependencies is the first one with jobs that await others.
	SchemaVersionDependencies = 1
	// SchemaVersionConfirmedCancel is the first one at which every node tells a cancellation only once
	// no task of the job is left, so that leases may be renewed through a cut.
	SchemaVersionConfirmedCancel = 2
	// SchemaVersionRetries is the first one that counts the failures of tasks in jobs' records.
	SchemaVersionRetries = 3
	// SchemaVersionOffload is the first one at which a job's record may say that it is with another cell.
	SchemaVersionOffload = 4
	// OutcomeReadRetryPause is the pause before a final record that was not there, or could
	// not be read, is asked for again.
	OutcomeReadRetryPause = 300 * time.Millisecond
	// OutcomeReadConcurrency is how many final records are read at once.
	OutcomeReadConcurrency = 4
	// DependentCancelOwnerGrace is how long a job that falls with another is left to the owner
	// of its part before any node may write its end.
	DependentCancelOwnerGrace = 3 * time.Second
	// DependentCancelsPerCycle bounds the jobs that one round ends so.
	DependentCancelsPerCycle = 32
)

// Placement.
const (
	// CycleMinInterval is the shortest time between two placement rounds.
	CycleMinInterval = 80 * time.Millisecond
	// CycleMinIntervalMachines is the fleet up to which that holds; beyond it the gap grows in
	// proportion, so that rounds of a fleet of any size take the same share of a core, and
	// PlaceGapMax bounds it: a service that is to start within seconds waits for one.
	CycleMinIntervalMachines = 600
	CycleMinIntervalMax      = 400 * time.Millisecond
	// CycleIdleInterval is the longest.
	CycleIdleInterval = 500 * time.Millisecond
	// CycleRestFactor is how many times as long as a round took the next one waits at
	// least, so that rounds take at most a fifth of the processor.
	CycleRestFactor = 4
	// DemandInterval is the shortest time between two accounts of demand and spare room;
	// the pool looks at them every PoolTick.
	DemandInterval = 250 * time.Millisecond
	// ImageHoldersMaxAge is how long it is kept which of a node's machines hold which images.
	// What is bound there is known from the records at once; this is about what ran before.
	ImageHoldersMaxAge = time.Second
	// GuaranteeInterval is how often it is looked up anew which jobs lie within their
	// team's guarantee.
	GuaranteeInterval = 250 * time.Millisecond
	// MinObjectiveUrgentSlack is the slack, at least, from which on an array goes first that can only just be
	// in time for its last aim: its tasks start over some rounds and fetch their image.
	MinObjectiveUrgentSlack = 30 * time.Second
	// ObjectiveInterval is how often it is looked up anew which arrays can be in time: a job that
	// comes in between is taken to be.
	ObjectiveInterval = time.Second
	// OverdueJobAge is how long an array that can't be in time for anything waits before it has
	// a share of the starts: a few times the longest of its aims as deployments set them.
	OverdueJobAge = 5 * time.Minute
	// FairShareTurnSeconds is how many seconds make a round of turns: the last is theirs, the others are
	// for classes and teams that are owed.
	FairShareTurnSeconds = 4
	// FairShareWindow is for how long arrivals are counted for the floors of classes and teams, a
	// few times the longest aims; FloorJobs bounds how many are kept, a few MB.
	FairShareWindow  = 5 * time.Minute
	FairShareMaxJobs = 20_000
	// FairShareMinServed is the share of what arrived below which a class or team is owed, with some
	// way to the half that is the least that anybody may be served, if it is also below
	// FloorBehind of what all together were served.
	FairShareMinServed         = 0.65
	FairShareMinRelativeServed = 0.9
	// ServiceShortageHold is for how long after a service found no room the fewest replicas left go
	// first: longer than it takes until room that is being freed for one is empty.
	ServiceShortageHold = 5 * time.Second
	// QueueReorderInterval is how often all waiting jobs are put in line anew: estimates of run times,
	// by which deadlines become close, move with each task that completes.
	QueueReorderInterval = 2 * time.Second
	// SweepInterval is the interval at which all machines of a node are looked at;
	// between sweeps only those of which something new is known.
	SweepInterval = time.Second
	// FailedRequestsKept is how many needs without room a round remembers.
	FailedRequestsKept = 64
	// PreemptTasksPerJob is how many tasks of a job one round frees room for.
	PreemptTasksPerJob = 8
	// PreemptMachinesCompared is how many machines are compared for it.
	PreemptMachinesCompared = 24
	// PreemptMachinesPerCycle bounds the machines on which one round frees room.
	PreemptMachinesPerCycle = 16
	// BootOverdueFactor is how many nominal boot times a machine may take before others
	// are rented rather than waiting for it.
	BootOverdueFactor = 1.8
	// MinBootOverdue is the least such time.
	MinBootOverdue = 15 * time.Second
	// HomeShardHold is how long a task is left to the part it was dealt to before any part may take it.
	HomeShardHold = 600 * time.Millisecond
	// HomeShardHoldUnderShortage is the same for arrays where room is short: in each part some comes back
	// several times a second, and a second writer of a record costs more than the wait.
	HomeShardHoldUnderShortage = 5 * time.Second
	// BindingsPerCycle bounds the tasks bound in one round.
	BindingsPerCycle = 96
	// CommonTaskHold is for how long small tasks make room for common ones after the last of those: some
	// minutes, as long as a burst and the quiet after it.
	CommonTaskHold = 5 * time.Minute
	// StoreSaturatedQueueLength is how many changes wait for the state service's budget when
	// it counts as the bottleneck: then room is given to arrays PressedGap at a
	// time, so that one write binds many tasks.
	StoreSaturatedQueueLength       = 12
	StoreSaturatedPlacementInterval = 700 * time.Millisecond
	// BootLikelyFactor is how many nominal boot times after its rental another node's
	// machine is taken for up, though its record does not say so yet.
	BootLikelyFactor = 1.3
	// MinJobBackoff and JobBackoffMax pace the restarts of a task that fails on several machines.
	MinJobBackoff = 2 * time.Second
	MaxJobBackoff = 60 * time.Second
	// MaxClassRetries is the most that a class may allow: beyond it a task that fails for good
	// would take machines for days.
	MaxClassRetries = 1000
	// MaxRetryPauseSeconds is the longest pause between repeats, in seconds.
	MaxRetryPauseSeconds = 86400
	// MaxOperatorClasses bounds the classes of the operators' file.
	MaxOperatorClasses = 256
	// RejectedRecordPause is how long a record is left alone that the state service refused
	// as malformed, which it does with one over a limit that came early.
	RejectedRecordPause = 2 * time.Second
	// PreemptMinRemainingRun is the expected run time below which an array's tasks make room by themselves
	// sooner than a stop pays: that costs a save, a start elsewhere, a fetch and the work
	// since the last save.
	PreemptMinRemainingRun = 3 * time.Minute
	// PreemptShardTurn is how long room for urgent work is left to one part to be made: longer than a
	// stop, its report and the change of the records take as a rule.
	PreemptShardTurn = 4 * time.Second
	// ReservationHold is how long room freed for a task is kept for it.
	ReservationHold = 12 * time.Second
	// GangFormTimeout is how long a gang may take to be bound whole before it is withdrawn.
	GangFormTimeout = 6 * time.Second
	// GangFormTimeoutPerTask is added to it for each task, as one round binds a part of a long gang.
	GangFormTimeoutPerTask = 2 * time.Millisecond
	// GangRecordsPerTxn is how many records of a gang are bound in one transaction: at
	// some 6 KiB each they stay within its size.
	GangRecordsPerTxn = 4
	// TasksPerJobPerCycle is how many of a job's waiting tasks one round looks at.
	TasksPerJobPerCycle = 256
	// DefaultDeadline stands for the deadline of jobs without one, after their arrival.
	DefaultDeadline = time.Hour
	// CommitTimeout bounds the wait for one change of records.
	CommitTimeout = 8 * time.Second
	// StopMargin is added to a task's saving time when it is stopped.
	StopMargin = 1 * time.Second
	// WaitReasonLogInterval is how often the log tells why a job waits.
	WaitReasonLogInterval = 5 * time.Second
	// UnknownOutcomePause is how long placement waits before it fences a write without an answer.
	UnknownOutcomePause = 200 * time.Millisecond
)

// Teams.
const (
	// GrantIdleHold is how long a part keeps a granted share that its tasks do not
	// use, once other parts may want it.
	GrantIdleHold = 1 * time.Second
	// GrantSmallRestHold is how long it keeps less than a lot of it.
	GrantSmallRestHold = 6 * time.Second
	// GrantLotShare is how much more than it needs a part is granted, as a share of the
	// team's limit over the parts: grants follow use in lots, not task by task.
	GrantLotShare = 0.25
	// GrantReserveShare is the share of a limit that is to be left ungranted for parts that
	// want more; below it parts give back what they do not use.
	GrantReserveShare = 0.15
)

// Pool.
const (
	// AutoscalerInterval is the interval at which the fleet's size is reviewed.
	AutoscalerInterval = 500 * time.Millisecond
	// ScaleOutOverrideAfter is how long work may wait before room for it is rented whatever
	// the learner prefers.
	ScaleOutOverrideAfter = 30 * time.Second
	// ArrivalWindow is the past over which arrivals are watched for the step.
	ArrivalWindow = 3 * time.Minute
	// HeadroomDeviations is how many standard deviations of the arrivals of one boot
	// time the step covers.
	HeadroomDeviations = 1.0
	// RentalMaxMachines is the most machines one request may ask for.
	RentalMaxMachines = 50
	// MachineNameMinBytes is the length that a machine's name is expected to have at least,
	// and RentalBytes what a rental's record takes without names, with the longest
	// type and zone.
	MachineNameMinBytes   = 12
	RentalRecordBaseBytes = 400
	// RentalConcurrency is how many rental requests are on their way at once.
	RentalConcurrency = 4
	// WholeMachineShare is the share of a machine above which a task needs one of its own.
	WholeMachineShare = 0.5
	// DemandMaxAge is the age past which the placement's demand is not acted on.
	DemandMaxAge = 2 * time.Second
	// RentalRefusalBackoff is the pause after a type, zone and kind was refused; it doubles with further
	// refusals in a row up to RefusedHoldMax, within which others' returns are noticed.
	RentalRefusalBackoff    = 6 * time.Second
	RentalRefusalBackoffMax = 12 * time.Second
	// InsufficientCapacityHold is how long a kind that gave fewer machines than were asked for is
	// believed to have less than a whole gang needs: some boot times, in which others
	// return what they no longer use.
	InsufficientCapacityHold = time.Minute
	// BootStuckFactor is how many nominal boot times a machine may take before it is replaced.
	BootStuckFactor = 3.5
	// MinBootStuck is the least such wait.
	MinBootStuck = 20 * time.Second
	// CloudListInterval is the interval of machine listings.
	CloudListInterval = 5 * time.Second
	// CloudListMissesForDeleted is how many lists in a row must lack a machine that has long been there for it
	// to count as gone.
	CloudListMissesForDeleted = 3
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CloudBudgetShare is the fraction of the cloud's rate that all nodes plan to use.
	CloudBudgetShare = 0.85
	// CloudLeaderShare is the leader's share of that; the others share the rest. At 0.6 of four calls a
	// second each of four others had one in three seconds, while the leader's were refused.
	CloudLeaderShare = 0.45
	// CloudCallBurst is how many calls a node may make at once after a pause: one that can wait leaves
	// one for what can't. The cloud allows bursts of two seconds' worth.
	CloudCallBurst = 2
	// CatalogInterval is the interval at which the catalog is read again.
	CatalogInterval = 60 * time.Second
	// ReturnMaxMachines is the most machines one return may name.
	ReturnMaxMachines = 100
)

// Regression runs.
const (
	// RegressNoise is the largest difference of a day's figure, in points, that
	// counts as noise.
	RegressNoise = 0.03
	// RegressMaxCPUSeconds is the processor time, in seconds, that a day may take to play: the bench
	// counts one of over 400 s for nothing, and machines differ by a quarter.
	RegressMaxCPUSeconds = 300
	// RegressMinServedShare is the least share of a class or team that must be served on a day.
	RegressMinServedShare = 0.5
	// RegressHuntDays is how many days a full run hunts for broken rules on each site.
	RegressHuntDays = 4
	// KnownFailuresMax is how many tests may be known to fail at once: a longer list would be a habit.
	KnownFailuresMax = 3
)

// RegressSeeds are the further seeds on which a fall is repeated.
var RegressSeeds = [...]uint64{1, 2}

// Process.
const (
	// GoHeapMemoryShare of the memory limit is given to Go's heap limit; the rest is stacks, code and the C library.
	GoHeapMemoryShare = 0.7
	// GCPercent lets the heap grow to this much above what is live before it is
	// collected; the live heap is a small part of the memory limit, which still holds.
	GCPercent = 300
	// ShutdownGrace is how long orderly cancellation may take.
	ShutdownGrace = 2 * time.Second
)

// Learner.
const (
	// ReservoirUnits is the paper's reservoir size.
	ReservoirUnits = 100
	// ReservoirDensity is the paper's share of connections within the reservoir.
	ReservoirDensity = 0.10
	// InputDensity is the share of connections from the input; the paper gives
	// 15% for the layer beside the reservoir.
	InputDensity = 0.15
	// ReservoirContraction bounds how much of a difference of memories survives a step.
	ReservoirContraction = 0.8
	// InputScale sets how strongly an input of 0 to 1 drives a unit.
	InputScale = 2.0
	// ReservoirSeed fixes the random weights, so that saved readouts fit.
	ReservoirSeed = 20100612
	// LearnerHashBuckets is the width classes and teams are hashed into.
	LearnerHashBuckets = 8
	// LearnerWorkScaleSeconds is the work, in machine seconds, that encodes as one half.
	LearnerWorkScaleSeconds = 600.0
	// LearnerTimeScaleSeconds is the time, in seconds, that encodes as one half.
	LearnerTimeScaleSeconds = 60.0
	// LearnerMachineScale is the number of machines that encodes as one half.
	LearnerMachineScale = 16.0
	// LearnerMaxSamples bounds the samples of a refit: several times the readout's width.
	LearnerMaxSamples = 600
	// LearnerMinSamples is the fewest samples worth a refit.
	LearnerMinSamples = 40
	// LearnerPendingDecisions bounds the decisions that wait for their payoff.
	LearnerPendingDecisions = 4096
	// RidgeWeight is the weight of the regression's regularisation.
	RidgeWeight = 1.0
	// LearnerCheckpointVersion numbers the saved form; others are ignored.
	LearnerCheckpointVersion = 1
	// EstimateMaxClasses bounds the classes whose run times are kept.
	EstimateMaxClasses = 48
	// EstimateRunsPerClass is how many run times of a class are kept.
	EstimateRunsPerClass = 101
	// EstimateMinRuns is how many runs make a median.
	EstimateMinRuns = 5
	// LearnerCheckpointInterval is the interval of saving; the saved form takes about 3 KiB.
	LearnerCheckpointInterval = 30 * time.Second
	// LearnerCandidatesPerCycle bounds the jobs that one round values.
	LearnerCandidatesPerCycle = 32
	// LearnerValueMaxAge is how long a job's value orders it before it is asked for again:
	// the state it is valued in moves on in seconds, rounds come far more often.
	LearnerValueMaxAge = 500 * time.Millisecond
	// UtilizationHalfLife is the time over which finished work and paid time fade by half.
	UtilizationHalfLife = 10 * time.Minute
	// ServiceRewardAfter is the run time after which a service's start is paid.
	ServiceRewardAfter = 60 * time.Second
	// DeadlineSlackShare is the slack, as a share of the expected run time, below
	// which a job's deadline outranks the learned order.
	DeadlineSlackShare = 0.5
	// MinDeadlineSlack is the least such slack.
	MinDeadlineSlack = 10 * time.Second
)

// Cells.
const (
	// MaxCells bounds the other cells of the operators' file, MaxCellName their names, in bytes.
	MaxCells         = 64
	MaxCellNameBytes = 32
	// CellExchangeInterval is the interval at which a leader speaks with each other cell, CellTimeout how
	// long that may take, CellAsks how many transfers one message is about: some 50 KiB.
	CellExchangeInterval    = time.Second
	CellExchangeTimeout     = 3 * time.Second
	CellTransfersPerMessage = 48
	// OffloadsPerReview bounds the jobs that one look gives away, SpillAfter is how long a job stays first:
	// most start within it.
	OffloadsPerReview = 16
	OffloadMinWait    = 3 * time.Second
	// DigestImageHolderDivisor is the reciprocal of the share of machines that must hold an image for it to
	// count as held in a cell.
	DigestImageHolderDivisor = 4
	// CellSuspectedAfter is for how long a cell may not be heard before nothing new is given to it: a few
	// digests, and longer than a leader takes to be replaced.
	CellSuspectedAfter = 10 * time.Second
	// CellLostAfter is for how long it may not be heard before what was about to be given to it goes
	// elsewhere: all controllers may have been restarted meanwhile.
	CellLostAfter = time.Minute
	// CellProbation is how long a cell that returned is watched first.
	CellProbation = 30 * time.Second
	// DigestMaxAge is how old a digest may be to be chosen by.
	DigestMaxAge = 6 * time.Second
	// DigestMaxShapes bounds the shapes of room that a digest tells, of which each takes some 60 bytes.
	DigestMaxShapes = 24
	// OffloadGainShare is how much sooner a job must be expected to start elsewhere, all costs counted,
	// to be given away: a part of its wait here, and never less than SpillLeast.
	OffloadGainShare = 0.25
	MinOffloadGain   = 5 * time.Second
	// OffloadInFlightShare bounds the tasks that are offered to one cell and not yet answered, as a share of
	// the room that its digest tells.
	OffloadInFlightShare = 0.5
)

// Peers.
const (
	// PeerTimeout bounds a question to another node: it is a hint, not worth waiting for.
	PeerTimeout = 800 * time.Millisecond
	// PeerQueryMaxMachines bounds the machines in one question.
	PeerQueryMaxMachines = 1000
	// PeerMessageMaxBytes bounds a message, in bytes.
	PeerMessageMaxBytes = 512 << 10
	// RemoteImagesInterval is the interval at which the others' images are asked for: some
	// 30 KiB an answer at hundreds of machines.
	RemoteImagesInterval = 3 * time.Second
	// PeerMaxStreams bounds the questions served at once.
	PeerMaxStreams = 32
	// PeerQueryInterval is the shortest time between two questions.
	PeerQueryInterval = 1500 * time.Millisecond
	// HandOffHold is how long a part stays away from a home that gave it up for
	// want of its workers' reports.
	HandOffHold = 40 * time.Second
)

// ScaleOutFractions are the sizes the learner chooses among, from the least to the
// most that the guards allow.
var ScaleOutFractions = [...]float64{0, 0.25, 0.5, 0.75, 1}

// Graphs.
const (
	// GraphFileMaxBytes and GraphValues bound a graph's file: ten thousand tasks take about 2 MB,
	// and aliases may not make more of it than that.
	GraphFileMaxBytes = 4 << 20
	GraphMaxValues    = 1 << 20
	// GraphMaxDepth is how many values of a file may stand within each other.
	GraphMaxDepth = 64
	// GraphMaxTasks is the most tasks that a run may have, mapped ones counted each.
	GraphMaxTasks = 20_000
	// GraphMaxDependencies is the most jobs that one of a graph may await: their ids, of 24 bytes
	// each, stand in its record.
	GraphMaxDependencies = 48
	// GraphTextMaxBytes is the longest text that a template may give, in bytes.
	GraphTextMaxBytes = 4096
)
