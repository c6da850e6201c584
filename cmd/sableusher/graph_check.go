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

// graphChecker compiles one run of graph files without submitting it.
type graphChecker struct {
	runDate string // empty for the graph's start date, or the present
	runID   string
	params  map[string]any
	rules   graph.Rules
}

// check reads a file and reports its faults, or the jobs of the run if it has none. Errors
// are those of reading the file and of the run's date.
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

// logicalDate is the run date that was asked for, else the graph's start date, else the
// present.
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

// readGraphFile reads at most one byte more than a graph may have: enough for the parser to
// refuse it as too long.
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
