package learner

import (
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"sableusher/internal/tuning"
)

// Estimates learns how long the tasks of a class run. Only runs that began
// afresh and completed are told to it: failures, refusals, resumed and
// cancelled tasks would shrink the median, so that long jobs look short.
type Estimates struct {
	mu     sync.Mutex
	runs   map[string][]float64
	ratios map[string][]float64
	// The medians of both, which are asked for far more often than they change.
	run, ratio map[string]float64
}

// NewEstimates knows nothing yet.
func NewEstimates() *Estimates {
	return &Estimates{runs: map[string][]float64{}, ratios: map[string][]float64{}, run: map[string]float64{}, ratio: map[string]float64{}}
}

// Completed notes a whole run and what its owner had estimated.
func (e *Estimates) Completed(class string, runS, ownersS float64) {
	if math.IsNaN(runS) || runS <= 0 || runS > tuning.MaxAmount {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.runs[class]; !ok && len(e.runs) >= tuning.LearnClasses {
		return
	}
	e.runs[class] = keep(e.runs[class], runS)
	delete(e.run, class)
	if ownersS > 0 {
		e.ratios[class] = keep(e.ratios[class], runS/ownersS)
		delete(e.ratio, class)
	}
}

func keep(list []float64, v float64) []float64 {
	list = append(list, v)
	if len(list) > tuning.LearnRuns {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// median gives the median of a class's list, kept until the list changes.
func median(known map[string]float64, class string, list []float64) float64 {
	m, ok := known[class]
	if !ok {
		m = stat.Quantile(0.5, stat.Empirical, slices.Sorted(slices.Values(list)), nil)
		known[class] = m
	}
	return m
}

// RunS estimates a task's run time: the median of its class once enough runs
// were seen, before that the owner's estimate corrected by the class's bias.
func (e *Estimates) RunS(class string, ownersS float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[class]; len(r) >= tuning.LearnEnough {
		return median(e.run, class, r)
	}
	if q := e.ratios[class]; len(q) > 0 {
		return ownersS * median(e.ratio, class, q)
	}
	return ownersS
}

// Save adds the runs to a durable form.
func (e *Estimates) Save(s *Saved) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Runs, s.Ratios = map[string][]float64{}, map[string][]float64{}
	for c, r := range e.runs {
		s.Runs[c] = slices.Clone(r[max(0, len(r)-tuning.LearnEnough):])
	}
	for c, r := range e.ratios {
		s.Ratios[c] = slices.Clone(r[max(0, len(r)-tuning.LearnEnough):])
	}
}

// Restore takes in saved runs; figures that are none are left out.
func (e *Estimates) Restore(s Saved) {
	for c, list := range s.Runs {
		for _, r := range list {
			e.Completed(c, r, 0)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, list := range s.Ratios {
		for _, q := range list {
			if q > 0 && q < tuning.MaxAmount && len(e.ratios) < tuning.LearnClasses {
				e.ratios[c] = keep(e.ratios[c], q)
				delete(e.ratio, c)
			}
		}
	}
}
