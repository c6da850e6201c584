package tuning

import "time"

// Learner.
const (
	// ReservoirUnits is the paper's reservoir size.
	ReservoirUnits = 100
	// ReservoirDensity is the paper's share of connections within the reservoir.
	ReservoirDensity = 0.10
	// InputDensity is the share of connections from the input; the paper gives 15% for the layer beside the
	// reservoir.
	InputDensity = 0.15
	// ReservoirContraction bounds how much of a difference of two states survives a step.
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
	// LearnerPendingDecisions bounds the decisions that wait for their reward.
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
	// LearnerCandidatesPerCycle bounds the jobs that one cycle scores.
	LearnerCandidatesPerCycle = 32
	// LearnerValueMaxAge is how long a job's value orders it before it is asked for again: the state it is valued
	// in moves on in seconds, cycles come far more often.
	LearnerValueMaxAge = 500 * time.Millisecond
	// UtilizationHalfLife is the time over which finished work and machine time fade by half.
	UtilizationHalfLife = 10 * time.Minute
	// ServiceRewardAfter is the run time after which a service's start is rewarded.
	ServiceRewardAfter = 60 * time.Second
	// DeadlineSlackShare is the slack, as a share of the expected run time, below which a job's deadline outranks
	// the learned order.
	DeadlineSlackShare = 0.5
	// MinDeadlineSlack is the least such slack.
	MinDeadlineSlack = 10 * time.Second
)
