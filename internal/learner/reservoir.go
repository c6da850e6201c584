package learner

import (
	"math"
	"math/rand/v2"

	"sableusher/internal/tuning"
)

// connection is a weighted edge into a unit.
type connection struct {
	from   int
	weight float64
}

// reservoir is a fixed random recurrent layer (paper, section 4). It is seeded by a constant, so that a
// readout that was saved fits it after a restart.
type reservoir struct {
	recurrent [][]connection // by unit, from other units
	input     [][]connection // by unit, from the input
}

func newReservoir(seed uint64) *reservoir {
	random := rand.New(rand.NewPCG(seed, seed))
	units := tuning.ReservoirUnits
	r := &reservoir{recurrent: make([][]connection, units), input: make([][]connection, units)}
	largestRowSum := 0.0
	for unit := range units {
		rowSum := 0.0
		for from := range units {
			if random.Float64() < tuning.ReservoirDensity {
				weight := random.Float64()
				r.recurrent[unit] = append(r.recurrent[unit], connection{from, weight})
				rowSum += weight
			}
		}
		for from := range inputWidth {
			if random.Float64() < tuning.InputDensity {
				r.input[unit] = append(r.input[unit], connection{from, 2*random.Float64() - 1})
			}
		}
		largestRowSum = max(largestRowSum, rowSum)
	}
	// A sigmoid's slope is at most 1/4: with row sums of at most 4 times the contraction, two states
	// come closer at every step, so the initial state is forgotten.
	for unit := range r.recurrent {
		for i := range r.recurrent[unit] {
			r.recurrent[unit][i].weight *= 4 * tuning.ReservoirContraction / largestRowSum
		}
	}
	return r
}

// nextState returns the state that follows a state under an input; neither argument is changed.
func (r *reservoir) nextState(state, input []float64) []float64 {
	next := make([]float64, len(state))
	for unit := range next {
		sum := 0.0
		for _, c := range r.recurrent[unit] {
			sum += c.weight * state[c.from]
		}
		for _, c := range r.input[unit] {
			sum += tuning.InputScale * c.weight * input[c.from]
		}
		next[unit] = 1 / (1 + math.Exp(-sum))
	}
	return next
}
