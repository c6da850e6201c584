package config

import "sableusher/internal/tuning"

// Bounds of the platform's settings. They lie far beyond the values of real deployments and exist to detect mistakes,
// such as a value in another unit, unless their comment gives a further reason.
const (
	maxNodes       = 1000
	maxTimeBoundMs = 1e6
	maxTeamAmount  = 1e9 // CPUs or GPUs

	minReportSeconds   = 0.05
	maxReportSeconds   = 600
	maxLeaseSeconds    = 3600
	minGangWaitSeconds = 0.1
	maxGangWaitSeconds = 86400
	minGangPeerSeconds = 0.1
	maxGangPeerSeconds = 3600
	maxCancelSeconds   = 86400
	// cancelAfterLeaseSeconds is the least difference between the cancel deadline and the lease duration: a task
	// whose agent receives no command is stopped only when its lease expires.
	cancelAfterLeaseSeconds = 1

	minStoreRPS     = 1
	maxStoreRPS     = 1e7
	maxStoreValueKB = 1 << 20
	minStoreTxnOps  = 4
	maxStoreTxnOps  = 1e6

	minCloudRPS            = 0.01
	maxCloudRPS            = 1e6
	maxCloudListLagSeconds = 3600

	minCPUShare = 0.01
	maxCPUShare = 1024
	minMemoryMB = 32
	maxMemoryMB = 1e7
	minSockets  = 32
	maxSockets  = 1e7
)

// Bounds of the operators' settings; package tuning holds further ones.
const (
	maxWeight          = 1     // for weights, shares, rates and probabilities
	maxDiscount        = 0.999 // with a discount of 1 the values of actions would be unbounded
	maxWarmUpRewards   = 1e6
	maxMinMachines     = 10000
	maxHeadroom        = 1000 // machines
	maxIdleHoldSeconds = 86400
	minRefitSeconds    = 0.5
	maxRefitSeconds    = 3600
	maxTransferSeconds = 3600
	maxOffloadedTasks  = tuning.MaxTasksPerJob
)
