package tuning

import "time"

// Agents.
const (
	// LeaseMargin is kept between the last possible lease end and the time by which a cancelled task must be gone.
	LeaseMargin = 4 * time.Second
	// ClockDriftFraction is how far two steady clocks may run apart, as a fraction.
	ClockDriftFraction = 0.0005
	// CommandTimeout is how long a direct command may take.
	CommandTimeout = 3 * time.Second
	// MaxCommandsPerAnswer bounds the commands of one answer: a command takes up to 100 bytes as JSON, and a body
	// 64 KiB.
	MaxCommandsPerAnswer = 400
	// MaxCommandsInFlight is how many direct commands a node has in flight. A machine that hangs holds one for
	// CommandTimeout; tens of them must not hold up the others.
	MaxCommandsInFlight = 96
	// AgentSocketShare is the share of the socket limit that connections to agents may keep; the agents' own
	// connections are as many as its machines.
	AgentSocketShare = 0.1
	// DispatchQueueLength bounds the machines that wait for a direct command.
	DispatchQueueLength = 4096
	// UnknownTaskGrace is how long a task that no record knows may be reported before it is stopped; heartbeats may
	// be a moment older than records.
	UnknownTaskGrace = 5 * time.Second
	// SuspectAfterIntervals is how long an agent may be silent, in heartbeat intervals, before its machine counts
	// as unreachable.
	SuspectAfterIntervals = 2.2
	// DeadAfterIntervals is how long a machine may be silent before it is deleted, in heartbeat intervals, where it
	// could not be probed.
	DeadAfterIntervals = 3.0
	// ProbeAfterIntervals is the silence, in heartbeat intervals, after which an agent is asked directly:
	// heartbeats come up to a quarter late, one in ten later than this, and a probe costs a message. One that does
	// not answer in ProbeTimeout is deleted, unless another node has heard from it.
	ProbeAfterIntervals = 1.2
	// RecentReportIntervals is the time, in heartbeat intervals, within which a node that hears an agent has heard
	// it; a little more than the longest between two heartbeats.
	RecentReportIntervals = 1.35
	// ProbeTimeout is how long such a probe may take: many times a way there and back, a second connection attempt
	// included.
	ProbeTimeout = 1500 * time.Millisecond
	// ProbeInterval is the pause between two such probes of one agent.
	ProbeInterval = 700 * time.Millisecond
	// AgentFailoverTime is how long an agent may take beyond that to find its shard's new owner: it tries the nodes
	// one after the other.
	AgentFailoverTime = 15 * time.Second
	// ShardTransferMinOwned is how long a node must have owned a shard before it transfers it to one that hears its
	// agents. In that time each agent comes round to the owner once, a command to each has failed or not, and it is
	// certain which machines hear nothing: agents without answers go from node to node, and a shard that followed
	// them would have no owner for long enough to learn that.
	ShardTransferMinOwned = AgentFailoverTime + CommandTimeout + InboundLostAfter
	// DeletionCapShare is the largest fraction of a node's machines (at least two) that may be deleted for silence
	// in DeletionCapWindow; DeletionCapShareServingZone holds for those in a zone of which at least half is heard:
	// a loss of a fifth of a region once took two windows, and the services on it were down for 20 s longer.
	DeletionCapShare            = 0.15
	DeletionCapShareServingZone = 0.35
	// DeletionCapWindow is the window of DeletionCapShare.
	DeletionCapWindow = 20 * time.Second
	// InboundLostAfter is how long commands to a machine must have failed, while its heartbeats arrive, before its
	// record says that it is not up: one that was lost is followed by a probe within a heartbeat interval, which is
	// answered within CommandTimeout.
	InboundLostAfter = 2 * CommandTimeout
	// OutboundLostEvacuationLeaseShare is the share of a lease ahead of its end from which on tasks leave a machine
	// whose heartbeats reach no node: they need some seconds to save and to start elsewhere, and shorter spells are
	// waited out. They leave spread over it, in OutboundLostEvacuationSteps.
	OutboundLostEvacuationLeaseShare = 0.45
	OutboundLostEvacuationSteps      = 16
	// OneWayMachineMaxAge is for how long an empty machine is kept that is reached one way only: some leases and
	// boot times, as what is in the way often ends.
	OneWayMachineMaxAge = 3 * time.Minute
	// HeartbeatMemoryLeases is for how many leases an agent's newest heartbeat is remembered: the network delivers
	// copies well over a lease late.
	HeartbeatMemoryLeases = 8
	// PauseCheckInterval is the interval at which a node notes that it runs; a gap of more than PauseThreshold
	// means that it stood still, and that what it believes is to be confirmed.
	PauseCheckInterval = 500 * time.Millisecond
	PauseThreshold     = 3 * time.Second
	// ConfirmedCancelTokenBase is what fencing tokens are above once cancellations are confirmed only after
	// release: more owners than any shard has before that, and far below what a message's number holds.
	ConfirmedCancelTokenBase = 1 << 40
	// OwnerUnreachableAfter is how long a shard's owner must not have answered this node, two cycles of hints,
	// before its agents' leases are renewed here during a partition.
	OwnerUnreachableAfter = 2 * RemoteImagesInterval
	// PartitionedZoneControllerGrace is how long machines of a partitioned zone are left alone where a controller
	// stands in the zone, which renews their leases.
	PartitionedZoneControllerGrace = 2 * time.Minute
	// PartitionMinMachines is the fewest machines of a zone that tell whether it is partitioned: with four, two
	// late heartbeats can't look like it.
	PartitionMinMachines = 4
	// PartitionHeardShare is the share of a zone's machines heard within one heartbeat interval below which it
	// counts as partitioned. Nearly all are heard in it as a rule; in the largest losses on record a third of a
	// zone fell silent at once.
	PartitionHeardShare = 0.25
	// ZoneSuspectedHeardShare is the share below which a zone is in doubt: the log and the metric say so before it
	// is certain whether its machines die or its links go.
	ZoneSuspectedHeardShare = 0.5
	// ZoneProbationMaxDoublings bounds the returns by which a zone's probation doubles: eight times the time that
	// its agents need to find back, minutes, is long enough to see it flap again.
	ZoneProbationMaxDoublings = 4
	// ZoneProbationForgiveAfter is how long a zone must serve to be forgiven one return.
	ZoneProbationForgiveAfter = 30 * time.Minute
	// NodeConnectedReportingShare is the share of all machines heard meanwhile from which on it is the zones that
	// are partitioned, not this node.
	NodeConnectedReportingShare = 0.2
	// PartitionMinOwnedIntervals is how long a shard must be owned, in heartbeat intervals, before machines of it
	// that were never heard tell anything: agents look for the new owner first.
	PartitionMinOwnedIntervals = 2.0
	// PartitionServiceLeaseShare is the share of a lease after which machines of a partitioned zone are given up if
	// services on them can start elsewhere: shorter partitions are waited out. The rest of the lease they go one
	// after the other: at 0.75 all of a zone's replicas started again at once, with its leases.
	PartitionServiceLeaseShare = 0.4
	// CancelDeletionShare of a cancellation's time may pass before a silent machine is deleted for it, whatever
	// else speaks for waiting; clocks differ by milliseconds.
	CancelDeletionShare = 0.5
	// FenceMinInterval is the shortest time between two raises of a shard's fencing token for unresolved starts.
	FenceMinInterval = 5 * time.Second
	// MachineMaxFailedJobs is how many tasks of different jobs must fail on a machine before it is replaced.
	MachineMaxFailedJobs = 2
	// TombstoneRetention is how long a deleted machine's name is remembered: heartbeats that a partition has held
	// back come minutes late.
	TombstoneRetention = 10 * time.Minute
	// StartRefusalBackoff keeps a machine that refused a start out of placement.
	StartRefusalBackoff = 3 * time.Second
)
