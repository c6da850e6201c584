package tuning

import "time"

// Constants of package learner, and of the learned values that package scheduler uses.
const (
	// ReservoirUnits is the number of units of the reservoir, as in the paper cited in docs/design.md.
	ReservoirUnits = 100
	// ReservoirDensity is the probability of a connection between two units of the reservoir, as in the paper.
	ReservoirDensity = 0.10
	// InputDensity is the probability of a connection from an entry of the input to a unit. The paper gives 15% for
	// the layer next to the reservoir.
	InputDensity = 0.15
	// ReservoirContraction is the largest factor by which the difference between two reservoir states is multiplied
	// in a step. Below 1, the reservoir has the echo state property.
	ReservoirContraction = 0.8
	// InputScale is the factor of the input weights, which are drawn from -1 to 1.
	InputScale = 2.0
	// ReservoirSeed is the seed of the reservoir's random weights. It must not change: a saved readout is valid only
	// for the reservoir that it was trained with.
	ReservoirSeed = 20100612
	// LearnerHashBuckets is the number of buckets into which class names and team names are hashed.
	LearnerHashBuckets = 8
	// LearnerWorkScaleSeconds is the work, in machine seconds, that is encoded as 0.5.
	LearnerWorkScaleSeconds = 600.0
	// LearnerTimeScaleSeconds is the time, in seconds, that is encoded as 0.5.
	LearnerTimeScaleSeconds = 60.0
	// LearnerMachineScale is the number of machines that is encoded as 0.5.
	LearnerMachineScale = 16.0
	// LearnerMaxSamples is the largest number of samples of a refit, several times the readout's number of weights.
	LearnerMaxSamples = 600
	// LearnerMinSamples is the smallest number of samples for which the readout is refitted.
	LearnerMinSamples = 40
	// LearnerMaxPendingDecisions is the largest number of decisions that wait for their reward; the oldest is dropped.
	LearnerMaxPendingDecisions = 4096
	// RidgeWeight is the L2 regularization weight of the ridge regression.
	RidgeWeight = 1.0
	// LearnerCheckpointVersion is the version of the checkpoint's format. Checkpoints of other versions are ignored.
	LearnerCheckpointVersion = 1
	// EstimateMaxClasses is the largest number of classes whose run times are kept.
	EstimateMaxClasses = 48
	// EstimateRunsPerClass is the number of latest run times that are kept for each class.
	EstimateRunsPerClass = 101
	// EstimateMinRuns is the number of recorded runs of a class at which their median replaces the owner's estimate.
	// It is also the number of latest run times of each class that a checkpoint keeps.
	EstimateMinRuns = 5
	// LearnerCheckpointInterval is the interval at which checkpoints are saved. A checkpoint takes about 3 KiB.
	LearnerCheckpointInterval = 30 * time.Second
	// LearnerCandidatesPerCycle is the largest number of jobs that the learner scores in one scheduling cycle.
	LearnerCandidatesPerCycle = 32
	// LearnerValueMaxAge is how long a job's computed value is reused. The state that it depends on changes within
	// seconds, while scheduling cycles are far more frequent.
	LearnerValueMaxAge = 500 * time.Millisecond
	// UtilizationHalfLife is the half-life of finished work and machine time in the utilization reward.
	UtilizationHalfLife = 10 * time.Minute
	// ServiceRewardAfter is the run time after which the start of a service's task is rewarded.
	ServiceRewardAfter = 60 * time.Second
	// DeadlineSlackShare is the slack, as a fraction of the expected run time, below which a job's deadline takes
	// precedence over its learned value.
	DeadlineSlackShare = 0.5
	// MinDeadlineSlack is the lower bound of that slack; it applies to jobs with short run times.
	MinDeadlineSlack = 10 * time.Second
)
