package learner

import (
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"sableusher/internal/tuning"
)

// RunTimeEstimates estimates the run times of tasks by class. It is safe for concurrent use. Only runs that
// started from the beginning and completed may be recorded: failed, refused, resumed and cancelled tasks
// would lower the median, so that long jobs would be taken for short ones.
type RunTimeEstimates struct {
	mu             sync.Mutex           // guards the fields below
	runs           map[string][]float64 // run times in seconds by class, newest last
	estimateRatios map[string][]float64 // actual over estimated run time by class, newest last
	// medianRun and medianRatio cache the medians of the lists until a list changes, because medians are
	// read far more often than runs are recorded.
	medianRun, medianRatio map[string]float64
}

// NewRunTimeEstimates returns estimates without any recorded run.
func NewRunTimeEstimates() *RunTimeEstimates {
	return &RunTimeEstimates{
		runs:           map[string][]float64{},
		estimateRatios: map[string][]float64{},
		medianRun:      map[string]float64{},
		medianRatio:    map[string]float64{},
	}
}

// RecordRun records the run time of a complete run and its owner's estimate, 0 if there is none. It ignores
// run times that are not positive or exceed tuning.MaxAmount, and new classes beyond
// tuning.EstimateMaxClasses.
func (e *RunTimeEstimates) RecordRun(class string, runSeconds, estimateSeconds float64) {
	if math.IsNaN(runSeconds) || runSeconds <= 0 || runSeconds > tuning.MaxAmount {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.runs[class]; !ok && len(e.runs) >= tuning.EstimateMaxClasses {
		return
	}
	e.runs[class] = appendBounded(e.runs[class], runSeconds)
	delete(e.medianRun, class)
	if estimateSeconds > 0 {
		e.estimateRatios[class] = appendBounded(e.estimateRatios[class], runSeconds/estimateSeconds)
		delete(e.medianRatio, class)
	}
}

func appendBounded(list []float64, value float64) []float64 {
	list = append(list, value)
	if len(list) > tuning.EstimateRunsPerClass {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// cachedMedian returns the median of a class's list. It computes and caches the median if it isn't cached.
func cachedMedian(cache map[string]float64, class string, list []float64) float64 {
	median, ok := cache[class]
	if !ok {
		median = stat.Quantile(0.5, stat.Empirical, slices.Sorted(slices.Values(list)), nil)
		cache[class] = median
	}
	return median
}

// ExpectedRunSeconds returns the expected run time of a task: the median of its class once
// tuning.EstimateMinRuns runs have been recorded; before that, the owner's estimate, multiplied by the
// class's median ratio of actual to estimated run time.
func (e *RunTimeEstimates) ExpectedRunSeconds(class string, estimateSeconds float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if runs := e.runs[class]; len(runs) >= tuning.EstimateMinRuns {
		return cachedMedian(e.medianRun, class, runs)
	}
	if ratios := e.estimateRatios[class]; len(ratios) > 0 {
		return estimateSeconds * cachedMedian(e.medianRatio, class, ratios)
	}
	return estimateSeconds
}

// Save sets the newest run times and ratios of each class in a checkpoint.
func (e *RunTimeEstimates) Save(checkpoint *Checkpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	checkpoint.Runs = newestOfEach(e.runs)
	checkpoint.EstimateRatios = newestOfEach(e.estimateRatios)
}

// newestOfEach returns copies of the last tuning.EstimateMinRuns entries of each list.
func newestOfEach(lists map[string][]float64) map[string][]float64 {
	newest := make(map[string][]float64, len(lists))
	for class, list := range lists {
		newest[class] = slices.Clone(list[max(0, len(list)-tuning.EstimateMinRuns):])
	}
	return newest
}

// Restore records the run times and ratios of a checkpoint. It skips values that are out of range.
func (e *RunTimeEstimates) Restore(checkpoint Checkpoint) {
	for class, runs := range checkpoint.Runs {
		for _, run := range runs {
			e.RecordRun(class, run, 0)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for class, ratios := range checkpoint.EstimateRatios {
		for _, ratio := range ratios {
			if ratio > 0 && ratio < tuning.MaxAmount && len(e.estimateRatios) < tuning.EstimateMaxClasses {
				e.estimateRatios[class] = appendBounded(e.estimateRatios[class], ratio)
				delete(e.medianRatio, class)
			}
		}
	}
}
