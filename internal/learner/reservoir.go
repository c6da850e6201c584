// Package learner values the choices of the scheduler: a SARSA learner whose value
// function is the linear readout of an echo state reservoir.
package learner

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"sableusher/internal/tuning"
)

// State is what a choice is made in.
type State struct {
	RunningWorkSeconds float64            // work left of running tasks, in machine seconds
	NextFreeSeconds    float64            // time until a machine is expected to become free
	BacklogSeconds     float64            // work of waiting tasks, in machine seconds
	IdleMachines       float64            // idle machines
	TeamShares         map[string]float64 // of each team in the queue
}

// Action is a waiting job, or a size of the pool.
type Action struct {
	Class, Team   string
	RunSeconds    float64
	Interactive   bool
	IsScaling     bool
	ScaleFraction float64 // of the way from the smallest to the largest size
	Machines      float64 // that size
}

// Widths of the encoding: fixed whatever the number of teams and classes.
const (
	bucketCount = tuning.LearnBuckets
	inputWidth  = 4 + bucketCount + 2*bucketCount + 5
)

func hashBucket(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % bucketCount)
}

// saturate maps amounts of any size into 0 to 1.
func saturate(v, scale float64) float64 {
	if math.IsNaN(v) || v <= 0 {
		return 0
	}
	return 1 - 1/(1+min(v, tuning.MaxAmount)/scale)
}

// encodeInput gives the input of a choice; every entry lies within 0 and 1.
func encodeInput(s *State, a *Action) []float64 {
	u := make([]float64, inputWidth)
	u[0] = saturate(s.RunningWorkSeconds, tuning.LearnWorkScale)
	u[1] = saturate(s.NextFreeSeconds, tuning.LearnTimeScale)
	u[2] = saturate(s.BacklogSeconds, tuning.LearnWorkScale)
	u[3] = saturate(s.IdleMachines, tuning.LearnCountScale)
	at := 4
	for team, share := range s.TeamShares {
		b := at + hashBucket(team)
		u[b] = min(1, u[b]+max(0, min(1, share)))
	}
	at += bucketCount
	if a.IsScaling {
		at += 2 * bucketCount
		u[at+2] = 1
		u[at+3] = max(0, min(1, a.ScaleFraction))
		u[at+4] = saturate(a.Machines, tuning.LearnCountScale)
		return u
	}
	u[at+hashBucket(a.Class)] = 1
	at += bucketCount
	u[at+hashBucket(a.Team)] = 1
	at += bucketCount
	u[at] = saturate(a.RunSeconds, tuning.LearnTimeScale)
	if a.Interactive {
		u[at+1] = 1
	}
	return u
}

type connection struct {
	from   int
	weight float64
}

// reservoir is a fixed random recurrent layer. It is seeded by a constant, so
// that saved readouts fit it after a restart.
type reservoir struct {
	recurrent [][]connection
	input     [][]connection
}

func newReservoir(seed uint64) *reservoir {
	rnd := rand.New(rand.NewPCG(seed, seed))
	n := tuning.ReservoirUnits
	r := &reservoir{recurrent: make([][]connection, n), input: make([][]connection, n)}
	norm := 0.0
	for i := range n {
		row := 0.0
		for j := range n {
			if rnd.Float64() < tuning.ReservoirDensity {
				w := rnd.Float64()
				r.recurrent[i] = append(r.recurrent[i], connection{j, w})
				row += w
			}
		}
		for j := range inputWidth {
			if rnd.Float64() < tuning.InputDensity {
				r.input[i] = append(r.input[i], connection{j, 2*rnd.Float64() - 1})
			}
		}
		norm = max(norm, row)
	}
	// A sigmoid's slope is at most 1/4: with row sums of at most 4 times the
	// contraction, two memories come closer at every step and the start is forgotten.
	for i := range r.recurrent {
		for j := range r.recurrent[i] {
			r.recurrent[i][j].weight *= 4 * tuning.ReservoirContraction / norm
		}
	}
	return r
}

// nextState gives the memory that follows x under an input; x is not changed.
func (r *reservoir) nextState(x, u []float64) []float64 {
	next := make([]float64, len(x))
	for i := range next {
		sum := 0.0
		for _, e := range r.recurrent[i] {
			sum += e.weight * x[e.from]
		}
		for _, e := range r.input[i] {
			sum += tuning.InputScale * e.weight * u[e.from]
		}
		next[i] = 1 / (1 + math.Exp(-sum))
	}
	return next
}
