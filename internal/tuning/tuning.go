// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. Other packages define no figures of their own.
package tuning

import "time"

// State service: budget and transactions.
const (
	// StateShare is the fraction of the state service's limits that all nodes
	// together plan to use; the rest covers bursts and clock drift.
	StateShare = 0.92
	// EvenShare of that is spread evenly over the live nodes, for users and
	// sessions; the rest goes by the parts that each owns.
	EvenShare = 0.35
	// UrgentShare is the extra fraction of a node's budget that only urgent
	// requests (sessions, ownership, cancellations) may use.
	UrgentShare = 0.15
	// TxnBytes bounds one transaction's encoded size; the service takes 64 KiB
	// measured as JSON, and our CBOR is smaller than its JSON form by up to a third.
	TxnBytes = 36 << 10
	// ValueFraction of the value limit is what one record may take in CBOR,
	// since the limit is measured in the longer JSON form.
	ValueFraction = 0.6
	// GuardsPerOp is how many conditions a transaction may have per operation.
	GuardsPerOp = 4
	// PaceCut is what a refusal for too many changes leaves of a node's pace, at
	// most once in PaceHold and not below PaceLeast; PaceBack is what it regains
	// in each PaceHold without one.
	PaceCut   = 0.8
	PaceBack  = 0.05
	PaceLeast = 0.3
	PaceHold  = time.Second
	// CommitLanes is how many transactions a node has in flight. More would
	// only make guards collide.
	CommitLanes = 3
	// LazyPatience is how long a lazy change waits behind all others.
	LazyPatience = 2 * time.Second
	// SoonPatience is how long other changes wait behind those of work of high
	// priority. While the budget is the bottleneck they wait some seconds anyway.
	SoonPatience = 5 * time.Second
	// CommitQueue bounds the items that wait for a transaction.
	CommitQueue = 4096
	// StateTimeout is how long a request to the state service may take: usual
	// answers come under 10 ms, rare ones take a few hundred.
	StateTimeout = 1500 * time.Millisecond
	// AnswerLate is how long an answer to a transaction may take, far more than the usual one, before it is
	// looked every AnswerLook whether the view shows what became of it.
	AnswerLate = 150 * time.Millisecond
	AnswerLook = 50 * time.Millisecond
	// SendingNotes bounds the changes of one key that are kept while a change of it is on its way.
	SendingNotes = 32
	// StateRetry is the pause after 429 or 503 from the state service.
	StateRetry = 150 * time.Millisecond
	// StateBody bounds one answer of the state service: watches have no limit
	// of their own, so this only stops a runaway.
	StateBody = 64 << 20
	// PageRows is how many rows a listing asks for at a time.
	PageRows = 500
	// WatchHold is how long a watch waits for a change.
	WatchHold = 2 * time.Second
	// WatchRateShare is the fraction of a node's request budget that watches may use.
	WatchRateShare = 0.25
	// SyncRateShare is the fraction of a node's request budget that read barriers may use.
	SyncRateShare = 0.3
	// IdleConns is how many kept connections a client holds for one host.
	IdleConns = 8
)

// Job records.
const (
	// ChunkTasks is how many tasks one record holds: at about 50 bytes a task
	// it stays below the smallest value limit seen (16 KiB as JSON).
	ChunkTasks = 128
	// LeastValueKB is the smallest value limit that a record of ChunkTasks tasks
	// fits, measured as JSON: about 50 bytes a task and 1 KiB of description.
	LeastValueKB = 8
	// LeastNextKB is the smallest value limit under which records can be split far
	// enough: a description of 600 bytes and LeastWidth tasks of a gang.
	LeastNextKB = 1
	// LeastTxnOps is the least number of changes of a transaction to come: one old
	// record is split into ChunkTasks/LeastWidth, and the job's own is written too.
	LeastTxnOps = 10
	// JSONShare of a value limit is used where the JSON form is measured: the
	// service may write its numbers and separators a little longer than we do.
	JSONShare = 0.85
	// LeastWidth is the fewest tasks a record is made for.
	LeastWidth = 16
	// TaskBytes is what a bound task takes in a record, as JSON: state, attempt,
	// machine, session, charge and number, each longer than is ever seen, and a
	// machine's name of up to TaskName; longer names add what they are longer.
	TaskBytes = 40
	TaskName  = 20
	// LikelyTaskBytes is what a task of an array takes as a rule: tasks on the same
	// machine stand together. A record in which they do not takes fewer at a time.
	LikelyTaskBytes = 20
	// FailureBytes is what a counted failure takes in a record, as JSON: the task's
	// number and the count.
	FailureBytes = 12
	// MoveRound bounds the old records that one round moves, MoveGap paces them
	// where nothing waits for them, so that acceptance keeps its room.
	MoveRound = 4
	MoveGap   = 250 * time.Millisecond
	// MaxTasks is the largest job of the protocol.
	MaxTasks = 100_000
	// MaxNameBytes bounds names in users' input.
	MaxNameBytes = 128
	// MaxAmount bounds amounts in users' input; anything larger is absurd.
	MaxAmount = 1e9
	// FinalsCached is how many finished jobs a node remembers to spare reads.
	FinalsCached = 4096
)

// Users' API.
const (
	// BodyLimit is the protocol's bound on a request body, in bytes.
	BodyLimit = 64 << 10
	// SubmitTimeout is how long a submission may wait for its durable record;
	// users give up after 5 s.
	SubmitTimeout = 3500 * time.Millisecond
	// PollTimeout is how long a poll may wait for its barrier; users wait 2 s.
	PollTimeout = 1600 * time.Millisecond
	// AbortTimeout is how long a cancellation may wait for the job's tasks to leave
	// their machines; longer ones are asked again. Most leave within a second.
	AbortTimeout = 2 * time.Second
	// AbortsWaiting bounds the cancellations that wait so at once, a quarter of the
	// requests being served.
	AbortsWaiting = BusyRequests / 4
	// AbortLook is how often it is looked whether they have.
	AbortLook = 50 * time.Millisecond
	// RetryAfterS is what a shed request is told, in seconds.
	RetryAfterS = 1
	// ReadTimeout bounds the reading of one request, so that slow clients hold no sockets.
	ReadTimeout = 10 * time.Second
	// IdleTimeout closes connections that carry nothing.
	IdleTimeout = 90 * time.Second
	// SocketShare of the socket limit is what the listener accepts; the rest is for our own connections.
	SocketShare = 0.8
	// BusyRequests bounds the users' requests being served at once.
	BusyRequests = 256
	// ReadyStale is the age of the state view past which a node calls itself
	// not ready. Longer than an ordinary hiccup, shorter than users' patience.
	ReadyStale = 4 * time.Second
)

// Membership.
const (
	// SessionTTL is the life of a node's session without renewal: a crash is
	// noticed after it. Shorter would turn a slow second into a takeover.
	SessionTTL = 3 * time.Second
	// SessionRenew is the interval of renewals, a third of the life.
	SessionRenew = 1 * time.Second
	// TakeoverStep staggers nodes that want the same part, per part already owned.
	TakeoverStep = 250 * time.Millisecond
	// HomeGrace is how long others leave an unowned part to its home node.
	HomeGrace = 1500 * time.Millisecond
	// HandBackAfter is how long a home node must be present before its part returns to it.
	HandBackAfter = 10 * time.Second
	// MemberTick is the interval at which membership is reviewed.
	MemberTick = 200 * time.Millisecond
)

// Workers.
const (
	// LeaseMargin is kept between the last possible lease end and the time by
	// which a cancelled task must be gone.
	LeaseMargin = 4 * time.Second
	// ClockDrift is how far two steady clocks may run apart, as a fraction.
	ClockDrift = 0.0005
	// OrderTimeout is how long a direct command may take.
	OrderTimeout = 3 * time.Second
	// OrdersMax bounds the commands of one answer: a command takes up to 100 bytes
	// as JSON, and a body 64 KiB.
	OrdersMax = 400
	// OrderLanes is how many direct commands a node has in flight. A machine that
	// hangs holds one for OrderTimeout; tens of them must not hold up the others.
	OrderLanes = 96
	// OrderSockets is the share of the socket limit that connections to workers
	// may keep; the workers' own connections are as many as its machines.
	OrderSockets = 0.1
	// KickQueue bounds the machines that wait for a lane.
	KickQueue = 4096
	// StrayAfter is how long a task that no record knows may be reported before
	// it is stopped; reports may be a moment older than records.
	StrayAfter = 5 * time.Second
	// SilentAfter is how long a worker may be silent, in report intervals,
	// before its machine counts as unreachable.
	SilentAfter = 2.2
	// DeadAfter is how long a machine may be silent before it is deleted, in report
	// intervals, where it could not be asked directly.
	DeadAfter = 3.0
	// ProbeAfter is the silence, in report intervals, after which a worker is asked
	// directly: reports come up to a quarter late, one in ten later than this, and a question
	// costs a message. One that does not answer in ProbeTimeout is deleted, unless another
	// node has heard it.
	ProbeAfter = 1.2
	// HeardLately is the time, in report intervals, within which a node that hears a worker has
	// heard it; a little more than the longest between two reports.
	HeardLately = 1.35
	// ProbeTimeout is how long such a question may take: many times a way there and back, a
	// second connection attempt included.
	ProbeTimeout = 1500 * time.Millisecond
	// ProbePause is the pause between two such questions to one worker.
	ProbePause = 700 * time.Millisecond
	// FindNode is how long a worker may take beyond that to find its part's new
	// owner: it tries the nodes one after the other.
	FindNode = 15 * time.Second
	// DeadCap is the largest fraction of a node's machines (at least two) that
	// may be deleted for silence in DeadWindow; DeadCapServing holds for those in a zone of
	// which at least half is heard: a loss of a fifth of a region once took two windows, and
	// the services on it were down for 20 s longer.
	DeadCap        = 0.15
	DeadCapServing = 0.35
	// DeadWindow is the window of DeadCap.
	DeadWindow = 20 * time.Second
	// DeafAfter is how long commands to a machine must have failed, while its reports arrive, before
	// its record says that it is not up: one that was lost is followed by a question within a
	// report, which is answered within OrderTimeout.
	DeafAfter = 2 * OrderTimeout
	// MuteLeaves is the share of a lease ahead of its end from which on tasks leave a machine that reaches no
	// node: they need some seconds to save and to start elsewhere, and shorter spells are waited out. They
	// leave spread over it, in MuteSteps.
	MuteLeaves = 0.45
	MuteSteps  = 16
	// OneWayLife is for how long an empty machine is kept that is deaf or mute: some leases and boot times, as
	// what is in the way often ends.
	OneWayLife = 3 * time.Minute
	// MarkLeases is for how many leases a worker's newest report is kept in mind after it came: the
	// network delivers copies well over a lease late.
	MarkLeases = 8
	// PulseEvery is the interval at which a node notes that it runs; a gap of more than
	// FreezeGap means that it stood still, and that what it believes is to be confirmed.
	PulseEvery = 500 * time.Millisecond
	FreezeGap  = 3 * time.Second
	// CertainToken is what tokens are above once cancellations are told late: more owners
	// than any part has before that, and far below what numbers of messages hold.
	CertainToken = 1 << 40
	// OwnerLost is how long a part's owner must not have answered this node, two
	// rounds of hints, before its workers' leases are renewed here in a cut.
	OwnerLost = 2 * ImagesEvery
	// CutInside is how long machines of a zone that is cut off are left alone where a
	// controller stands in the zone, which renews their leases.
	CutInside = 2 * time.Minute
	// CutMachines is the fewest machines of a zone that tell whether it is cut off:
	// with four, two late reports can't look like it.
	CutMachines = 4
	// CutHeard is the share of a zone's machines heard within one report interval
	// below which it counts as cut off. Nearly all are heard in it as a rule; in the
	// largest losses on record a third of a zone fell silent at once.
	CutHeard = 0.25
	// DoubtHeard is the share below which a zone is doubted: the log and the metric say so
	// before it is certain whether its machines die or its links go.
	DoubtHeard = 0.5
	// ProbationReturns bounds the returns by which a zone's probation doubles: eight times the
	// time that its workers need to find back, minutes, is long enough to see it flap again.
	ProbationReturns = 4
	// ProbationForgive is how long a zone must serve to be forgiven one return.
	ProbationForgive = 30 * time.Minute
	// CutElsewhere is the share of all machines heard meanwhile from which on it is the
	// zones that are cut off, not this node.
	CutElsewhere = 0.2
	// CutOwned is how long a part must be owned, in report intervals, before machines
	// of it that were never heard tell anything: workers look for the new owner first.
	CutOwned = 2.0
	// CutServices is the share of a lease after which machines of a zone that is cut
	// off are given up if services on them can start elsewhere: shorter cuts are
	// waited out. The rest of the lease they go one after the other: at 0.75 all of a zone's
	// replicas started again at once, with its leases.
	CutServices = 0.4
	// CancelShare of a cancellation's time may pass before a silent machine is
	// deleted for it, whatever else speaks for waiting; clocks differ by milliseconds.
	CancelShare = 0.5
	// FenceEvery is the shortest time between two raises of a part's token for launches in doubt.
	FenceEvery = 5 * time.Second
	// MachineErrors is how many tasks of different jobs must fail on a machine before it is replaced.
	MachineErrors = 2
	// BuriedFor is how long a deleted machine's name is kept in mind: reports that a
	// cut has held back come minutes late.
	BuriedFor = 10 * time.Minute
	// RefuseHold keeps a machine that refused a start out of placement.
	RefuseHold = 3 * time.Second
)

// Forms of records and pipelines.
const (
	// Level is the newest form of records that this version reads and, once all
	// nodes do, writes: 4 is jobs handed over between cells, 3 counted failures, 2 cancellations that are told once no task
	// is left, 1 pipelines and split records, 0 what came before.
	Level = 4
	// LevelPipelines is the first one with jobs that await others.
	LevelPipelines = 1
	// LevelCertain is the first one at which every node tells a cancellation only once
	// no task of the job is left, so that leases may be renewed through a cut.
	LevelCertain = 2
	// LevelRepeats is the first one that counts the failures of tasks in jobs' records.
	LevelRepeats = 3
	// LevelCells is the first one at which a job's record may say that it is with another cell.
	LevelCells = 4
	// OutcomeRetry is the pause before a final record that was not there, or could
	// not be read, is asked for again.
	OutcomeRetry = 300 * time.Millisecond
	// OutcomeLanes is how many final records are read at once.
	OutcomeLanes = 4
	// DoomPatience is how long a job that falls with another is left to the owner
	// of its part before any node may write its end.
	DoomPatience = 3 * time.Second
	// DoomRound bounds the jobs that one round ends so.
	DoomRound = 32
)

// Placement.
const (
	// PlaceGap is the shortest time between two placement rounds.
	PlaceGap = 80 * time.Millisecond
	// PlaceGapMachines is the fleet up to which that holds; beyond it the gap grows in
	// proportion, so that rounds of a fleet of any size take the same share of a core, and
	// PlaceGapMax bounds it: a service that is to start within seconds waits for one.
	PlaceGapMachines = 600
	PlaceGapMax      = 400 * time.Millisecond
	// PlaceIdle is the longest.
	PlaceIdle = 500 * time.Millisecond
	// PlaceRest is how many times as long as a round took the next one waits at
	// least, so that rounds take at most a fifth of the processor.
	PlaceRest = 4
	// DemandEvery is the shortest time between two accounts of demand and spare room;
	// the pool looks at them every PoolTick.
	DemandEvery = 250 * time.Millisecond
	// HoldersLife is how long it is kept which of a node's machines hold which images.
	// What is bound there is known from the records at once; this is about what ran before.
	HoldersLife = time.Second
	// AssuredEvery is how often it is looked up anew which jobs lie within their
	// team's guarantee.
	AssuredEvery = 250 * time.Millisecond
	// LastCall is the slack, at least, from which on an array goes first that can only just be
	// in time for its last aim: its tasks start over some rounds and fetch their image.
	LastCall = 30 * time.Second
	// InTimeEvery is how often it is looked up anew which arrays can be in time: a job that
	// comes in between is taken to be.
	InTimeEvery = time.Second
	// FloorAfter is how long an array that can't be in time for anything waits before it has
	// a share of the starts: a few times the longest of its aims as deployments set them.
	FloorAfter = 5 * time.Minute
	// FloorTurns is how many seconds make a round of turns: the last is theirs, the others are
	// for classes and teams that are owed.
	FloorTurns = 4
	// FloorWindow is for how long arrivals are counted for the floors of classes and teams, a
	// few times the longest aims; FloorJobs bounds how many are kept, a few MB.
	FloorWindow = 5 * time.Minute
	FloorJobs   = 20_000
	// FloorServed is the share of what arrived below which a class or team is owed, with some
	// way to the half that is the least that anybody may be served, if it is also below
	// FloorBehind of what all together were served.
	FloorServed = 0.65
	FloorBehind = 0.9
	// ServicesLack is for how long after a service found no room the fewest replicas left go
	// first: longer than it takes until room that is being freed for one is empty.
	ServicesLack = 5 * time.Second
	// TurnEvery is how often all waiting jobs are put in line anew: estimates of run times,
	// by which deadlines become close, move with each task that completes.
	TurnEvery = 2 * time.Second
	// SweepEvery is the interval at which all machines of a node are looked at;
	// between sweeps only those of which something new is known.
	SweepEvery = time.Second
	// FailedShapes is how many needs without room a round remembers.
	FailedShapes = 64
	// PreemptTasks is how many tasks of a job one round frees room for.
	PreemptTasks = 8
	// PreemptLook is how many machines are compared for it.
	PreemptLook = 24
	// RoundStops bounds the machines on which one round frees room.
	RoundStops = 16
	// BootLate is how many nominal boot times a machine may take before others
	// are rented rather than waiting for it.
	BootLate = 1.8
	// BootLateMin is the least such time.
	BootLateMin = 15 * time.Second
	// DealHold is how long a task is left to the part it was dealt to before any part may take it.
	DealHold = 600 * time.Millisecond
	// DealHoldShort is the same for arrays where room is short: in each part some comes back
	// several times a second, and a second writer of a record costs more than the wait.
	DealHoldShort = 5 * time.Second
	// RoundTasks bounds the tasks bound in one round.
	RoundTasks = 96
	// CommonHold is for how long small tasks make room for common ones after the last of those: some
	// minutes, as long as a burst and the quiet after it.
	CommonHold = 5 * time.Minute
	// PressedItems is how many changes wait for the state service's budget when
	// it counts as the bottleneck: then room is given to arrays PressedGap at a
	// time, so that one write binds many tasks.
	PressedItems = 12
	PressedGap   = 700 * time.Millisecond
	// BootLikely is how many nominal boot times after its rental another node's
	// machine is taken for up, though its record does not say so yet.
	BootLikely = 1.3
	// JobBackoff and JobBackoffMax pace the restarts of a task that fails on several machines.
	JobBackoff    = 2 * time.Second
	JobBackoffMax = 60 * time.Second
	// MaxRepeats is the most that a class may allow: beyond it a task that fails for good
	// would take machines for days.
	MaxRepeats = 1000
	// MaxPauseS is the longest pause between repeats, in seconds.
	MaxPauseS = 86400
	// MaxClasses bounds the classes of the operators' file.
	MaxClasses = 256
	// RefusedPause is how long a record is left alone that the state service refused
	// as malformed, which it does with one over a limit that came early.
	RefusedPause = 2 * time.Second
	// Passing is the expected run time below which an array's tasks make room by themselves
	// sooner than a stop pays: that costs a save, a start elsewhere, a fetch and the work
	// since the last save.
	Passing = 3 * time.Minute
	// PreemptTurn is how long room for urgent work is left to one part to be made: longer than a
	// stop, its report and the change of the records take as a rule.
	PreemptTurn = 4 * time.Second
	// PreemptHold is how long room freed for a task is kept for it.
	PreemptHold = 12 * time.Second
	// GangForm is how long a gang may take to be bound whole before it is withdrawn.
	GangForm = 6 * time.Second
	// GangFormTask is added to it for each task, as one round binds a part of a long gang.
	GangFormTask = 2 * time.Millisecond
	// GangRecords is how many records of a gang are bound in one transaction: at
	// some 6 KiB each they stay within its size.
	GangRecords = 4
	// JobSlice is how many of a job's waiting tasks one round looks at.
	JobSlice = 256
	// NoDeadline stands for the deadline of jobs without one, after their arrival.
	NoDeadline = time.Hour
	// CommitTimeout bounds the wait for one change of records.
	CommitTimeout = 8 * time.Second
	// StopMargin is added to a task's saving time when it is stopped.
	StopMargin = 1 * time.Second
	// WhyEvery is how often the log tells why a job waits.
	WhyEvery = 5 * time.Second
	// UnknownPause is how long placement waits before it fences a write without an answer.
	UnknownPause = 200 * time.Millisecond
)

// Teams.
const (
	// GrantIdle is how long a part keeps a granted share that its tasks do not
	// use, once other parts may want it.
	GrantIdle = 1 * time.Second
	// GrantSlow is how long it keeps less than a lot of it.
	GrantSlow = 6 * time.Second
	// GrantLot is how much more than it needs a part is granted, as a share of the
	// team's limit over the parts: grants follow use in lots, not task by task.
	GrantLot = 0.25
	// GrantRest is the share of a limit that is to be left ungranted for parts that
	// want more; below it parts give back what they do not use.
	GrantRest = 0.15
)

// Pool.
const (
	// PoolTick is the interval at which the fleet's size is reviewed.
	PoolTick = 500 * time.Millisecond
	// StarveAfter is how long work may wait before room for it is rented whatever
	// the learner prefers.
	StarveAfter = 30 * time.Second
	// ArrivalWindow is the past over which arrivals are watched for the step.
	ArrivalWindow = 3 * time.Minute
	// StepDeviations is how many standard deviations of the arrivals of one boot
	// time the step covers.
	StepDeviations = 1.0
	// RentMax is the most machines one request may ask for.
	RentMax = 50
	// NameBytes is the length that a machine's name is expected to have at least,
	// and RentalBytes what a rental's record takes without names, with the longest
	// type and zone.
	NameBytes   = 12
	RentalBytes = 400
	// RentLanes is how many rental requests are on their way at once.
	RentLanes = 4
	// WholeShare is the share of a machine above which a task needs one of its own.
	WholeShare = 0.5
	// DemandStale is the age past which the placement's demand is not acted on.
	DemandStale = 2 * time.Second
	// RefusedHold is the pause after a type, zone and kind was refused; it doubles with further
	// refusals in a row up to RefusedHoldMax, within which others' returns are noticed.
	RefusedHold    = 6 * time.Second
	RefusedHoldMax = 12 * time.Second
	// ShortHold is how long a kind that gave fewer machines than were asked for is
	// believed to have less than a whole gang needs: some boot times, in which others
	// return what they no longer use.
	ShortHold = time.Minute
	// BootStuck is how many nominal boot times a machine may take before it is replaced.
	BootStuck = 3.5
	// BootStuckMin is the least such wait.
	BootStuckMin = 20 * time.Second
	// ListEvery is the interval of machine listings.
	ListEvery = 5 * time.Second
	// ListMissing is how many lists in a row must lack a machine that has long been there for it
	// to count as gone.
	ListMissing = 3
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CloudShare is the fraction of the cloud's rate that all nodes plan to use.
	CloudShare = 0.85
	// CloudLead is the leader's share of that; the others share the rest. At 0.6 of four calls a
	// second each of four others had one in three seconds, while the leader's were refused.
	CloudLead = 0.45
	// CloudBurst is how many calls a node may make at once after a pause: one that can wait leaves
	// one for what can't. The cloud allows bursts of two seconds' worth.
	CloudBurst = 2
	// CatalogEvery is the interval at which the catalog is read again.
	CatalogEvery = 60 * time.Second
	// ReturnMax is the most machines one return may name.
	ReturnMax = 100
)

// Regression runs.
const (
	// RegressFall is the largest difference of a day's figure, in points, that
	// counts as noise.
	RegressFall = 0.03
	// RegressSpent is the processor time, in seconds, that a day may take to play: the bench
	// counts one of over 400 s for nothing, and machines differ by a quarter.
	RegressSpent = 300
	// RegressServed is the least share of a class or team that must be served on a day.
	RegressServed = 0.5
	// RegressHunt is how many days a full run hunts for broken rules on each site.
	RegressHunt = 4
	// KnownRedMost is how many tests may be known to fail at once: a longer list would be a habit.
	KnownRedMost = 3
)

// RegressSeeds are the further seeds on which a fall is repeated.
var RegressSeeds = [...]uint64{1, 2}

// Process.
const (
	// MemoryShare of the memory limit is given to Go's heap limit; the rest is stacks, code and the C library.
	MemoryShare = 0.7
	// GCPercent lets the heap grow to this much above what is live before it is
	// collected; the live heap is a small part of the memory limit, which still holds.
	GCPercent = 300
	// StopGrace is how long orderly cancellation may take.
	StopGrace = 2 * time.Second
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
	// LearnBuckets is the width classes and teams are hashed into.
	LearnBuckets = 8
	// LearnWorkScale is the work, in machine seconds, that encodes as one half.
	LearnWorkScale = 600.0
	// LearnTimeScale is the time, in seconds, that encodes as one half.
	LearnTimeScale = 60.0
	// LearnCountScale is the number of machines that encodes as one half.
	LearnCountScale = 16.0
	// LearnSamples bounds the samples of a refit: several times the readout's width.
	LearnSamples = 600
	// LearnMinSamples is the fewest samples worth a refit.
	LearnMinSamples = 40
	// OpenDecisions bounds the decisions that wait for their payoff.
	OpenDecisions = 4096
	// Ridge is the weight of the regression's regularisation.
	Ridge = 1.0
	// LearnForm numbers the saved form; others are ignored.
	LearnForm = 1
	// LearnClasses bounds the classes whose run times are kept.
	LearnClasses = 48
	// LearnRuns is how many run times of a class are kept.
	LearnRuns = 101
	// LearnEnough is how many runs make a median.
	LearnEnough = 5
	// LearnSave is the interval of saving; the saved form takes about 3 KiB.
	LearnSave = 30 * time.Second
	// LearnCandidates bounds the jobs that one round values.
	LearnCandidates = 32
	// ValueLife is how long a job's value orders it before it is asked for again:
	// the state it is valued in moves on in seconds, rounds come far more often.
	ValueLife = 500 * time.Millisecond
	// UtilizationFade is the time over which finished work and paid time fade by half.
	UtilizationFade = 10 * time.Minute
	// ServicePayoff is the run time after which a service's start is paid.
	ServicePayoff = 60 * time.Second
	// DeadlineGuard is the slack, as a share of the expected run time, below
	// which a job's deadline outranks the learned order.
	DeadlineGuard = 0.5
	// DeadlineGuardMin is the least such slack.
	DeadlineGuardMin = 10 * time.Second
)

// Cells.
const (
	// MaxCells bounds the other cells of the operators' file, MaxCellName their names, in bytes.
	MaxCells    = 64
	MaxCellName = 32
	// CellExchange is the interval at which a leader speaks with each other cell, CellTimeout how
	// long that may take, CellAsks how many transfers one message is about: some 50 KiB.
	CellExchange = time.Second
	CellTimeout  = 3 * time.Second
	CellAsks     = 48
	// CellGifts bounds the jobs that one look gives away, SpillAfter is how long a job stays first:
	// most start within it.
	CellGifts  = 16
	SpillAfter = 3 * time.Second
	// DigestHeld is the reciprocal of the share of machines that must hold an image for it to
	// count as held in a cell.
	DigestHeld = 4
	// CellDoubt is for how long a cell may not be heard before nothing new is given to it: a few
	// digests, and longer than a leader takes to be replaced.
	CellDoubt = 10 * time.Second
	// CellLost is for how long it may not be heard before what was about to be given to it goes
	// elsewhere: all controllers may have been restarted meanwhile.
	CellLost = time.Minute
	// CellProbation is how long a cell that returned is watched first.
	CellProbation = 30 * time.Second
	// DigestLife is how old a digest may be to be chosen by.
	DigestLife = 6 * time.Second
	// DigestShapes bounds the shapes of room that a digest tells, of which each takes some 60 bytes.
	DigestShapes = 24
	// SpillMargin is how much sooner a job must be expected to start elsewhere, all costs counted,
	// to be given away: a part of its wait here, and never less than SpillLeast.
	SpillMargin = 0.25
	SpillLeast  = 5 * time.Second
	// SpillFlight bounds the tasks that are offered to one cell and not yet answered, as a share of
	// the room that its digest tells.
	SpillFlight = 0.5
)

// Peers.
const (
	// PeerTimeout bounds a question to another node: it is a hint, not worth waiting for.
	PeerTimeout = 800 * time.Millisecond
	// PeerMachines bounds the machines in one question.
	PeerMachines = 1000
	// PeerMessage bounds a message, in bytes.
	PeerMessage = 512 << 10
	// ImagesEvery is the interval at which the others' images are asked for: some
	// 30 KiB an answer at hundreds of machines.
	ImagesEvery = 3 * time.Second
	// PeerStreams bounds the questions served at once.
	PeerStreams = 32
	// AskEvery is the shortest time between two questions.
	AskEvery = 1500 * time.Millisecond
	// GivenHold is how long a part stays away from a home that gave it up for
	// want of its workers' reports.
	GivenHold = 40 * time.Second
)

// SizeFractions are the sizes the learner chooses among, from the least to the
// most that the guards allow.
var SizeFractions = [...]float64{0, 0.25, 0.5, 0.75, 1}

// Graphs.
const (
	// GraphBytes and GraphValues bound a graph's file: ten thousand tasks take about 2 MB,
	// and aliases may not make more of it than that.
	GraphBytes  = 4 << 20
	GraphValues = 1 << 20
	// GraphDepth is how many values of a file may stand within each other.
	GraphDepth = 64
	// GraphTasks is the most tasks that a run may have, mapped ones counted each.
	GraphTasks = 20_000
	// GraphAwaits is the most jobs that one of a graph may await: their ids, of 24 bytes
	// each, stand in its record.
	GraphAwaits = 48
	// GraphText is the longest text that a template may give, in bytes.
	GraphText = 4096
)
