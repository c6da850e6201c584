package learner

import (
	"hash/fnv"
	"math"

	"sableusher/internal/tuning"
)

// State is the state s in which an action is chosen (section 3.1 of the paper).
type State struct {
	RunningWorkSeconds float64            // remaining work of running tasks, in machine seconds
	NextFreeSeconds    float64            // time until a machine is expected to become free
	BacklogSeconds     float64            // work of pending tasks, in machine seconds
	IdleMachines       float64            // number of idle machines
	TeamShares         map[string]float64 // share of each team in the queue, 0 to 1
}

// Action is an action a: the start of a task of a waiting job, or, if IsScaling is set, a number of machines
// to rent.
type Action struct {
	Class, Team   string
	RunSeconds    float64 // expected run time of a task
	Interactive   bool
	IsScaling     bool    // the action is a number of machines; the fields above are ignored
	ScaleFraction float64 // position between the smallest and the largest number of machines, 0 to 1
	Machines      float64 // number of machines after the action
}

// Numbers of entries of the encoding and its parts. Teams and classes are hashed into buckets, so these numbers
// don't depend on how many there are.
const (
	bucketCount  = tuning.LearnerHashBuckets
	stateScalars = 4
	jobScalars   = 2
	scaleScalars = 3
	inputWidth   = stateScalars + bucketCount + 2*bucketCount + jobScalars + scaleScalars
)

func hashBucket(name string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return int(hash.Sum32() % bucketCount)
}

// saturate maps an amount to the range 0 to 1: scale maps to one half; negative amounts and NaN map to 0.
func saturate(amount, scale float64) float64 {
	if math.IsNaN(amount) || amount <= 0 {
		return 0
	}
	return 1 - 1/(1+min(amount, tuning.MaxAmount)/scale)
}

func clamp01(value float64) float64 { return max(0, min(1, value)) }

// encodeInput returns the reservoir's input for an action in a state. Each entry lies between 0 and 1.
// The parts are, in order: the state's scalars, the shares of the teams, the class of the action's job
// and its team (both one-hot), the job's scalars, and the scalars of a number of machines.
func encodeInput(state *State, action *Action) []float64 {
	input := make([]float64, inputWidth)
	input[0] = saturate(state.RunningWorkSeconds, tuning.LearnerWorkScaleSeconds)
	input[1] = saturate(state.NextFreeSeconds, tuning.LearnerTimeScaleSeconds)
	input[2] = saturate(state.BacklogSeconds, tuning.LearnerWorkScaleSeconds)
	input[3] = saturate(state.IdleMachines, tuning.LearnerMachineScale)
	shares := input[stateScalars:][:bucketCount]
	for team, share := range state.TeamShares {
		bucket := hashBucket(team)
		shares[bucket] = min(1, shares[bucket]+clamp01(share))
	}
	actionInput := input[stateScalars+bucketCount:]
	if action.IsScaling {
		encodeScaling(actionInput[2*bucketCount+jobScalars:], action)
	} else {
		encodeJob(actionInput, action)
	}
	return input
}

func encodeJob(input []float64, action *Action) {
	class, team, scalars := input[:bucketCount], input[bucketCount:2*bucketCount], input[2*bucketCount:]
	class[hashBucket(action.Class)] = 1
	team[hashBucket(action.Team)] = 1
	scalars[0] = saturate(action.RunSeconds, tuning.LearnerTimeScaleSeconds)
	if action.Interactive {
		scalars[1] = 1
	}
}

func encodeScaling(input []float64, action *Action) {
	input[0] = 1
	input[1] = clamp01(action.ScaleFraction)
	input[2] = saturate(action.Machines, tuning.LearnerMachineScale)
}
