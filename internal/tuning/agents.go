package tuning

import "time"

// Agents, leases, failure detection and zones.
const (
	// LeaseMargin is the minimum time between the latest possible expiry of a lease and the deadline by which a
	// cancelled task must have ended.
	LeaseMargin = 4 * time.Second
	// ClockDriftFraction is the maximum relative drift between two monotonic clocks.
	ClockDriftFraction = 0.0005
	// CommandTimeout is the maximum duration of a direct command, including its response.
	CommandTimeout = 3 * time.Second
	// MaxCommandsPerResponse is the maximum number of commands in one response. A command takes up to 100 bytes, and a
	// response body may have 64 KiB.
	MaxCommandsPerResponse = 400
	// MaxCommandsInFlight is the maximum number of direct commands that a node has in flight. A machine that hangs
	// occupies one of them for CommandTimeout, and tens of such machines must not delay commands to the others.
	MaxCommandsInFlight = 96
	// AgentSocketShare is the share of the socket limit that idle connections to agents may use. The agents
	// themselves open as many connections to the node as it has machines.
	AgentSocketShare = 0.1
	// DispatchQueueLength is the maximum number of machines that wait for a direct command.
	DispatchQueueLength = 4096
	// UnknownTaskGrace is how long an agent may report a task that is not bound to its machine and session, and whose
	// attempt has ended according to the records, before the task is stopped. Heartbeats may be slightly older than
	// records.
	UnknownTaskGrace = 5 * time.Second
	// ForgottenAttemptRetention is how long an attempt is remembered after its agent was told to forget it. If it is
	// reported as not exited within that time, it is stopped at once.
	ForgottenAttemptRetention = 5 * time.Minute
	// MaxSilenceIntervals is the longest time, in heartbeat intervals, between two reports of a reachable machine. A
	// machine that has been silent for longer gets no new tasks.
	MaxSilenceIntervals = 2.2
	// DeadAfterIntervals is the silence, in heartbeat intervals, after which a machine is suspected to be dead even if
	// it could not be probed.
	DeadAfterIntervals = 3.0
	// ProbeAfterIntervals is the silence, in heartbeat intervals, after which an agent is probed with a direct
	// command. Heartbeats arrive up to a quarter of an interval late, and one in ten later than this; a probe costs
	// only one message. A machine that does not answer within ProbeTimeout is suspected to be dead (see
	// failuredetector.Timing). A suspected machine is not deleted if another node has received a report from it.
	ProbeAfterIntervals = 1.2
	// RecentReportIntervals is the time, in heartbeat intervals, for which a node counts as receiving an agent's
	// reports after the last one. It is slightly more than the longest time between two heartbeats.
	RecentReportIntervals = 1.35
	// ProbeTimeout is the maximum duration of a probe. It is many times the round-trip time and allows for a second
	// connection attempt.
	ProbeTimeout = 1500 * time.Millisecond
	// ProbeInterval is the pause between two probes of one agent.
	ProbeInterval = 700 * time.Millisecond
	// AgentFailoverTime is the additional silence allowed to an agent that has to find the new owner of its shard.
	// The agent tries the nodes one after the other.
	AgentFailoverTime = 15 * time.Second
	// ShardTransferMinOwned is how long a node must have owned a shard before it transfers the shard to another node
	// that receives the agents' reports. In this time each agent contacts the owner once and a command to each agent
	// succeeds or fails, so that the owner learns which machines receive nothing. Agents that get no responses move
	// from node to node; if the shard followed them, no owner would keep it long enough to learn that.
	ShardTransferMinOwned = AgentFailoverTime + CommandTimeout + InboundLostAfter
	// DeletionCapShare is the maximum share of a node's machines (at least two machines) that may be deleted in
	// DeletionCapWindow because they are silent. DeletionCapShareServingZone applies instead to machines in a zone
	// that is serving, in which at least half of the machines report: with the lower cap, deletions after the loss of
	// a fifth of the machines took two windows, and its services were down for 20 s longer.
	DeletionCapShare            = 0.15
	DeletionCapShareServingZone = 0.35
	// DeletionCapWindow is the period to which the caps on deletions apply.
	DeletionCapWindow = 20 * time.Second
	// InboundLostAfter is how long commands to a machine must have failed, while its heartbeats arrive, before it is
	// recorded as not up. A single lost command is followed by a probe within a heartbeat interval, which is answered
	// within CommandTimeout.
	InboundLostAfter = 2 * CommandTimeout
	// OutboundLostEvacuationLeaseShare is the share of a lease, before its end, in which tasks are evacuated from a
	// machine whose heartbeats reach no node. Tasks need some seconds to save a checkpoint and to start elsewhere,
	// and shorter failures end before the evacuation begins. The evacuations are spread over this period in
	// OutboundLostEvacuationSteps steps.
	OutboundLostEvacuationLeaseShare = 0.45
	OutboundLostEvacuationSteps      = 16
	// OneWayMachineMaxAge is how long an empty machine is kept that is reachable in only one direction. It covers
	// several leases and boot times, because such failures often end by themselves.
	OneWayMachineMaxAge = 3 * time.Minute
	// HeartbeatRetentionLeases is how long an agent's newest heartbeat is remembered, in lease durations. The network
	// may deliver copies of a heartbeat well over a lease late.
	HeartbeatRetentionLeases = 8
	// PauseCheckInterval is the interval at which a node records that its process is running. A gap of more than
	// PauseThreshold means that the process was suspended, and that its cluster state has to be confirmed.
	PauseCheckInterval = 500 * time.Millisecond
	PauseThreshold     = 3 * time.Second
	// ConfirmedCancelTokenBase is the lower bound of fencing tokens once cancellations are confirmed only after their
	// tasks are released. Earlier tokens are smaller, since no shard has had that many owners, and the value is far
	// below the largest number that a message can carry.
	ConfirmedCancelTokenBase = 1 << 40
	// TokenRangeBase is the lower bound of fencing tokens once each ownership of a shard has a range of them. Earlier
	// tokens are smaller, since no shard has had that many owners.
	TokenRangeBase = 1 << 41
	// TokensPerOwnership is the number of fencing tokens of one ownership of a shard. An agent that is told to forget
	// tasks twice a second uses them up in six days; the shard's token is raised then.
	TokensPerOwnership = 1 << 20
	// MaxHeldForgets is the number of exited tasks on one machine that can't be forgotten under the shard's token
	// before the token is raised. An exited task takes about 100 bytes of a report, which may have 64 KiB.
	MaxHeldForgets = 64
	// OwnerUnreachableAfter is how long a shard's owner must not have answered this node before this node renews the
	// leases of the owner's agents during a partition. It is two intervals of the queries for the peers' images.
	OwnerUnreachableAfter = 2 * RemoteImagesInterval
	// PartitionedZoneControllerGrace is how long the machines of a partitioned zone are kept if a controller runs in
	// the zone and renews their leases. Machines without tasks are kept as long in any partitioned zone.
	PartitionedZoneControllerGrace = 2 * time.Minute
	// PartitionMinMachines is the minimum number of machines in a zone for which the zone can count as partitioned.
	// With four machines, two late heartbeats do not look like a partition.
	PartitionMinMachines = 4
	// PartitionReportingShare is the share of a zone's machines that report within one heartbeat interval below which
	// the zone counts as partitioned. Normally nearly all of them do; the largest known failures made a third of a
	// zone silent at the same time.
	PartitionReportingShare = 0.25
	// ZoneSuspectedReportingShare is the share of reporting machines below which a zone is suspected. The log and the
	// metric show this state, as "doubted", before it is certain whether machines or links have failed.
	ZoneSuspectedReportingShare = 0.5
	// ProbationMaxReturns is the maximum number of returns that count for the probation of a zone or of a cell of
	// the federation. Each one after the first doubles the probation, up to eight times the agents' reconnect time for
	// a zone, and eight times CellProbation for a cell. That is minutes, long enough to observe whether it fails again.
	ProbationMaxReturns = 4
	// ProbationForgiveAfter is how long a zone must serve, or a cell must be joined, until one of its returns does
	// not count for its probation any more.
	ProbationForgiveAfter = 30 * time.Minute
	// NodeConnectedReportingShare is the minimum share of all machines that must report for the node to treat the
	// silent zones, and not itself, as partitioned.
	NodeConnectedReportingShare = 0.2
	// PartitionMinOwnedIntervals is how long a node must have owned a shard, in heartbeat intervals, before machines
	// of the shard that have never reported count as silent. Their agents first have to find the new owner.
	PartitionMinOwnedIntervals = 2.0
	// PartitionServiceLeaseShare is the share of a lease after which machines of a partitioned zone are deleted if
	// their services can start elsewhere, so that shorter partitions cause no restarts. The machines are deleted one
	// by one over the rest of the lease. With 0.75, all replicas of a zone restarted at the same time, when its
	// leases ended.
	PartitionServiceLeaseShare = 0.4
	// CancelDeletionShare is the share of the cancellation deadline after which a silent machine with a cancelled task
	// is deleted, even if there are reasons to wait. It applies if the cancellation may have been confirmed at once; if
	// it is confirmed only after the task is released, the machine is deleted after the whole deadline. The age of a
	// cancellation is the difference between the clocks of two nodes, which agree to within milliseconds.
	CancelDeletionShare = 0.5
	// FenceMinInterval is the minimum time between two increases of a shard's fencing token because of unresolved
	// starts.
	FenceMinInterval = 5 * time.Second
	// MachineMaxFailedJobs is the number of different jobs whose tasks must fail on a machine before it is replaced.
	MachineMaxFailedJobs = 2
	// TombstoneRetention is how long the name of a deleted machine is remembered. Heartbeats that a partition has
	// delayed may arrive minutes late.
	TombstoneRetention = 10 * time.Minute
	// StartRefusalBackoff is how long a machine that refused a start gets no other tasks.
	StartRefusalBackoff = 3 * time.Second
)
