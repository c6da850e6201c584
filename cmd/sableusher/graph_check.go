package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sableusher/internal/graph"
	"sableusher/internal/tuning"
)

// graphChecker checks graph files by compiling one run of each. It submits nothing.
type graphChecker struct {
	runDate string // if empty, the graph's start date is used, or else the current time
	runID   string
	params  map[string]any
	rules   graph.Rules
}

// check reads a file and returns a report of its faults, or of the run's jobs if it has none. It
// returns an error only if the file can't be read or the run's date is invalid.
func (c *graphChecker) check(file string) (graphReport, error) {
	content, err := readGraphFile(file)
	if err != nil {
		return graphReport{}, err
	}
	report := graphReport{File: file, Faults: []graph.Fault{}}
	parsed, faults := graph.Parse(file, content)
	if len(faults) > 0 {
		report.Faults = faults
		return report, nil
	}
	logicalDate, err := c.logicalDate(parsed)
	if err != nil {
		return graphReport{}, fmt.Errorf("--run-date: %w", err)
	}
	jobs, faults := parsed.Compile(graph.Run{ID: c.runID, LogicalDate: logicalDate, Params: c.params}, c.rules)
	if len(faults) > 0 {
		report.Faults = faults
		return report, nil
	}
	report.Jobs = planJobs(jobs)
	return report, nil
}

// logicalDate returns the requested run date; if there is none, the graph's start date; if there
// is none either, the current time.
func (c *graphChecker) logicalDate(parsed *graph.Graph) (time.Time, error) {
	date := time.Now()
	for _, text := range []string{parsed.StartDate, c.runDate} {
		if text == "" {
			continue
		}
		zone, err := parsed.Location()
		if err != nil {
			return time.Time{}, err
		}
		if date, err = graph.ParseDate(text, zone); err != nil {
			return time.Time{}, err
		}
	}
	return date, nil
}

// readGraphFile reads a file up to one byte more than the largest allowed graph file, so that
// the parser can reject a file that is too large.
func readGraphFile(path string) (content []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	content, err = io.ReadAll(io.LimitReader(file, tuning.GraphFileMaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return content, nil
}
