package learner

import (
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"sableusher/internal/tuning"
)

// RunTimeEstimates learns how long the tasks of a class run. Only runs that began afresh and completed
// may be recorded: failures, refusals, resumed and cancelled tasks would shrink the median, so that
// long jobs look short.
type RunTimeEstimates struct {
	mu             sync.Mutex           // guards what follows
	runs           map[string][]float64 // seconds by class, newest last
	estimateRatios map[string][]float64 // run time over its owner's estimate, by class, newest last
	// The medians of both, kept until their list changes: they are read far more often.
	medianRun, medianRatio map[string]float64
}

// NewRunTimeEstimates returns estimates without any run.
func NewRunTimeEstimates() *RunTimeEstimates {
	return &RunTimeEstimates{
		runs:           map[string][]float64{},
		estimateRatios: map[string][]float64{},
		medianRun:      map[string]float64{},
		medianRatio:    map[string]float64{},
	}
}

// RecordRun takes in a whole run, in seconds, and what its owner had estimated (0: nothing).
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

// cachedMedian returns the median of a class's list, computed if it is not known.
func cachedMedian(known map[string]float64, class string, list []float64) float64 {
	median, ok := known[class]
	if !ok {
		median = stat.Quantile(0.5, stat.Empirical, slices.Sorted(slices.Values(list)), nil)
		known[class] = median
	}
	return median
}

// ExpectedRunSeconds estimates a task's run time: the median of its class once enough runs were seen,
// before that its owner's estimate, corrected by the class's bias.
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

// Save adds the newest runs to a checkpoint.
func (e *RunTimeEstimates) Save(checkpoint *Checkpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	checkpoint.Runs = newestOfEach(e.runs)
	checkpoint.EstimateRatios = newestOfEach(e.estimateRatios)
}

// newestOfEach copies the end of each list, as much as a median needs.
func newestOfEach(lists map[string][]float64) map[string][]float64 {
	newest := make(map[string][]float64, len(lists))
	for class, list := range lists {
		newest[class] = slices.Clone(list[max(0, len(list)-tuning.EstimateMinRuns):])
	}
	return newest
}

// Restore takes in the runs of a checkpoint; figures that make no sense are left out.
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
