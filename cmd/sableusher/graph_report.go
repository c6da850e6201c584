package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"sableusher/internal/graph"
)

// outputFormat is the format in which reports are printed.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

func parseOutputFormat(text string) (outputFormat, error) {
	switch format := outputFormat(text); format {
	case outputTable, outputJSON:
		return format, nil
	}
	return "", fmt.Errorf("--output: %q is neither table nor json", text)
}

// graphReport is the result of checking one file.
type graphReport struct {
	File   string        `json:"file"`
	Faults []graph.Fault `json:"faults"`
	Jobs   []plannedJob  `json:"jobs,omitempty"`
}

// Values of plannedJob.ReleasedBy: what releases a job once its upstream jobs have ended.
const (
	releasedByRecords = "records" // the scheduler, from the dependencies in the job's record
	releasedByRun     = "run"     // the owner of the run, by submitting the job
)

// plannedJob is a job of a run as a report prints it.
type plannedJob struct {
	TaskID      string   `json:"task_id"`
	MapIndex    *int     `json:"map_index,omitempty"` // nil if the task is not mapped
	JobID       string   `json:"job_id"`
	Class       string   `json:"class"`
	Team        string   `json:"team"`
	Image       string   `json:"image"`
	TaskCount   int      `json:"tasks"`
	MaxRetries  *int     `json:"retries,omitempty"` // nil if there is no limit
	TriggerRule string   `json:"trigger_rule"`
	Upstream    []string `json:"upstream"` // ids of jobs
	ReleasedBy  string   `json:"released_by"`
}

// planJobs returns the jobs of a run as a report prints them. Upstream jobs, which graph.Job identifies by their
// position in jobs, are listed by id.
func planJobs(jobs []graph.Job) []plannedJob {
	var plan []plannedJob
	for _, job := range jobs {
		planned := plannedJob{
			TaskID:      job.TaskID,
			JobID:       job.Spec.ID,
			Class:       job.Spec.Class,
			Team:        job.Spec.Team,
			Image:       job.Spec.Image,
			TaskCount:   job.Spec.TaskCount,
			MaxRetries:  job.Spec.MaxRetries,
			TriggerRule: string(job.TriggerRule),
			Upstream:    []string{},
			ReleasedBy:  releasedByRecords,
		}
		if job.MapIndex >= 0 {
			planned.MapIndex = &job.MapIndex
		}
		if job.Deferred {
			planned.ReleasedBy = releasedByRun
		}
		for _, position := range job.Upstream {
			planned.Upstream = append(planned.Upstream, jobs[position].Spec.ID)
		}
		plan = append(plan, planned)
	}
	return plan
}

// reportPrinter prints reports. In the table format faults are printed to a separate writer.
type reportPrinter struct {
	out    io.Writer
	faults io.Writer
}

func (p reportPrinter) print(reports []graphReport, format outputFormat) error {
	if format == outputJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	}
	for i := range reports {
		if err := p.printTable(&reports[i]); err != nil {
			return err
		}
	}
	return nil
}

// printTable prints a file's faults, or a table of its jobs if it has none.
func (p reportPrinter) printTable(report *graphReport) error {
	for _, fault := range report.Faults {
		if _, err := fmt.Fprintln(p.faults, fault); err != nil {
			return err
		}
	}
	if len(report.Faults) > 0 {
		return nil
	}
	if _, err := fmt.Fprintf(p.out, "%s: good, %d jobs\n", report.File, len(report.Jobs)); err != nil {
		return err
	}
	var rows strings.Builder
	rows.WriteString("TASK\tJOB\tCLASS\tTASKS\tRETRIES\tTRIGGER RULE\tWAITS FOR\tRELEASED BY\n")
	for i := range report.Jobs {
		rows.WriteString(report.Jobs[i].row())
	}
	table := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

// row returns the job's line of the table, with cells separated by tabs.
func (j *plannedJob) row() string {
	task, retries := j.TaskID, "any"
	if j.MapIndex != nil {
		task = fmt.Sprintf("%s[%d]", task, *j.MapIndex)
	}
	if j.MaxRetries != nil {
		retries = fmt.Sprint(*j.MaxRetries)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", task, j.JobID, j.Class, j.TaskCount, retries,
		j.TriggerRule, len(j.Upstream), j.ReleasedBy)
}
