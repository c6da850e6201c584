package config

import "sableusher/internal/tuning"

// Bounds of the platform's settings. They lie far beyond what regions have, and refuse
// mistakes such as a value in another unit; where more rests on a bound, its comment says so.
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
	// cancelAfterLeaseSeconds is how much longer a cancellation has at least than a lease: a
	// task whose agent hears nothing is stopped when its lease ends.
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

// Bounds of the operators' settings, beside those in package tuning.
const (
	maxWeight          = 1     // of weights, shares, rates and probabilities
	maxDiscount        = 0.999 // at 1 the value of an action has no bound
	maxWarmUpRewards   = 1e6
	maxMinMachines     = 10000
	maxHeadroom        = 1000 // machines
	maxIdleHoldSeconds = 86400
	minRefitSeconds    = 0.5
	maxRefitSeconds    = 3600
	maxTransferSeconds = 3600
	maxOffloadedTasks  = tuning.MaxTasksPerJob // as many as one job may have
)
