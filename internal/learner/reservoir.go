package learner

import (
	"math"
	"math/rand/v2"

	"sableusher/internal/tuning"
)

// connection is a weighted connection into a unit.
type connection struct {
	from   int // index of the unit or of the input's entry that it comes from
	weight float64
}

// reservoir is a recurrent layer with fixed random weights (section 4 of the paper). Its seed must not change
// between restarts: the saved weights of a readout belong to one reservoir.
type reservoir struct {
	recurrent [][]connection // connections from units, by target unit
	input     [][]connection // connections from the input, by target unit
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
	// The slope of the sigmoid is at most 1/4. With row sums of at most 4*ReservoirContraction, the
	// largest difference between two states under the same input shrinks by at least that factor in each
	// step, so the influence of the initial state vanishes (echo state property).
	for unit := range r.recurrent {
		for i := range r.recurrent[unit] {
			r.recurrent[unit][i].weight *= 4 * tuning.ReservoirContraction / largestRowSum
		}
	}
	return r
}

// nextState returns the state that follows state for an input. It doesn't modify its arguments.
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
