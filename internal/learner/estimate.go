package learner

import (
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"sableusher/internal/tuning"
)

// RunTimeEstimates learns how long the tasks of a class run. Only runs that began
// afresh and completed are told to it: failures, refusals, resumed and
// cancelled tasks would shrink the median, so that long jobs look short.
type RunTimeEstimates struct {
	mu             sync.Mutex
	runs           map[string][]float64
	estimateRatios map[string][]float64
	// The medians of both, which are asked for far more often than they change.
	medianRun, medianRatio map[string]float64
}

// NewRunTimeEstimates knows nothing yet.
func NewRunTimeEstimates() *RunTimeEstimates {
	return &RunTimeEstimates{runs: map[string][]float64{}, estimateRatios: map[string][]float64{}, medianRun: map[string]float64{}, medianRatio: map[string]float64{}}
}

// RecordRun notes a whole run and what its owner had estimated.
func (e *RunTimeEstimates) RecordRun(class string, runSeconds, estimateSeconds float64) {
	if math.IsNaN(runSeconds) || runSeconds <= 0 || runSeconds > tuning.MaxAmount {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.runs[class]; !ok && len(e.runs) >= tuning.LearnClasses {
		return
	}
	e.runs[class] = appendBounded(e.runs[class], runSeconds)
	delete(e.medianRun, class)
	if estimateSeconds > 0 {
		e.estimateRatios[class] = appendBounded(e.estimateRatios[class], runSeconds/estimateSeconds)
		delete(e.medianRatio, class)
	}
}

func appendBounded(list []float64, v float64) []float64 {
	list = append(list, v)
	if len(list) > tuning.LearnRuns {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// cachedMedian gives the median of a class's list, kept until the list changes.
func cachedMedian(known map[string]float64, class string, list []float64) float64 {
	m, ok := known[class]
	if !ok {
		m = stat.Quantile(0.5, stat.Empirical, slices.Sorted(slices.Values(list)), nil)
		known[class] = m
	}
	return m
}

// ExpectedRunSeconds estimates a task's run time: the median of its class once enough runs
// were seen, before that the owner's estimate corrected by the class's bias.
func (e *RunTimeEstimates) ExpectedRunSeconds(class string, estimateSeconds float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[class]; len(r) >= tuning.LearnEnough {
		return cachedMedian(e.medianRun, class, r)
	}
	if q := e.estimateRatios[class]; len(q) > 0 {
		return estimateSeconds * cachedMedian(e.medianRatio, class, q)
	}
	return estimateSeconds
}

// Save adds the runs to a durable form.
func (e *RunTimeEstimates) Save(s *Checkpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Runs, s.EstimateRatios = map[string][]float64{}, map[string][]float64{}
	for c, r := range e.runs {
		s.Runs[c] = slices.Clone(r[max(0, len(r)-tuning.LearnEnough):])
	}
	for c, r := range e.estimateRatios {
		s.EstimateRatios[c] = slices.Clone(r[max(0, len(r)-tuning.LearnEnough):])
	}
}

// Restore takes in saved runs; figures that are none are left out.
func (e *RunTimeEstimates) Restore(s Checkpoint) {
	for c, list := range s.Runs {
		for _, r := range list {
			e.RecordRun(c, r, 0)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, list := range s.EstimateRatios {
		for _, q := range list {
			if q > 0 && q < tuning.MaxAmount && len(e.estimateRatios) < tuning.LearnClasses {
				e.estimateRatios[c] = appendBounded(e.estimateRatios[c], q)
				delete(e.medianRatio, c)
			}
		}
	}
}
