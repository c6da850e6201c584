package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"sableusher/internal/config"
	"sableusher/internal/graph"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
)

func graphCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "graph", Short: "Airflow-style graphs of tasks, run as native jobs."}
	cmd.AddCommand(graphCheckCommand(), graphSchemaCommand())
	return cmd
}

func graphSchemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of graph files.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := cmd.OutOrStdout().Write(graph.Schema())
			return err
		},
	}
}

// planned is a job of a graph as check prints it.
type planned struct {
	Task     string   `json:"task_id"`
	Map      *int     `json:"map_index,omitempty"`
	Job      string   `json:"job_id"`
	Class    string   `json:"class"`
	Team     string   `json:"team"`
	Image    string   `json:"image"`
	Tasks    int      `json:"tasks"`
	Retries  *int     `json:"retries,omitempty"`
	Rule     string   `json:"trigger_rule"`
	Upstream []string `json:"upstream"`
	Release  string   `json:"released_by"`
}

// report is what check prints of a file.
type report struct {
	File   string        `json:"file"`
	Faults []graph.Fault `json:"faults"`
	Jobs   []planned     `json:"jobs,omitempty"`
}

func graphCheckCommand() *cobra.Command {
	var settings, operator, date, run, output string
	var params []string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check graph files and print the jobs that a run of each would have.",
		Long: "Check graph files and print the jobs that a run of each would have. Every fault is printed, with file,\n" +
			"line, column and path; if there is any, the command ends with 1. With the settings that controllers\n" +
			"run with, teams and classes are checked too. Nothing is submitted.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			if output != "table" && output != "json" {
				return fmt.Errorf("--output: %q is neither table nor json", output)
			}
			var rules graph.Rules
			if settings != "" {
				set, err := config.Load(settings)
				if err != nil {
					return err
				}
				rules.Teams = map[string]config.Team{}
				for _, t := range set.Deployment.Teams {
					rules.Teams[t.Name] = t
				}
			}
			op, err := config.LoadOperator(operator)
			if err != nil {
				return err
			}
			rules.Repeats = retry.NewPolicies(op.Classes)
			given, err := parseParams(params)
			if err != nil {
				return err
			}
			var reports []report
			faults := 0
			for _, f := range files {
				r, err := checkGraph(f, date, run, given, rules)
				if err != nil {
					return err
				}
				reports = append(reports, r)
				faults += len(r.Faults)
			}
			if err := printReports(cmd.OutOrStdout(), cmd.ErrOrStderr(), reports, output); err != nil {
				return err
			}
			if faults > 0 {
				return fmt.Errorf("faults: %d", faults)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&settings, "config", "", "the platform's settings (TOML), to check teams; not checked where it is left out")
	cmd.Flags().StringVar(&operator, "operator", "", "the operators' own settings (XML), to check classes; defaults where it is left out")
	cmd.Flags().StringVar(&date, "run-date", "", "logical date of the run; the graph's start_date, or today, where it is left out")
	cmd.Flags().StringVar(&run, "run-id", "check", "id of the run")
	cmd.Flags().StringArrayVar(&params, "param", nil, "a parameter of the run as name=value, the value in YAML; may be repeated")
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	return cmd
}

// parseParams reads name=value pairs.
func parseParams(list []string) (map[string]any, error) {
	out := map[string]any{}
	for _, p := range list {
		name, text, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("--param %q: not of the form name=value", p)
		}
		var v any
		if err := yaml.Unmarshal([]byte(text), &v); err != nil {
			return nil, fmt.Errorf("--param %s: %w", name, err)
		}
		out[name] = v
	}
	return out, nil
}

func checkGraph(file, date, run string, params map[string]any, rules graph.Rules) (report, error) {
	f, err := os.Open(file)
	if err != nil {
		return report{}, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, tuning.GraphBytes+1))
	if err != nil {
		return report{}, fmt.Errorf("%s: %w", file, err)
	}
	r := report{File: file, Faults: []graph.Fault{}}
	g, faults := graph.Parse(file, b)
	if len(faults) > 0 {
		r.Faults = faults
		return r, nil
	}
	at := time.Now()
	for _, text := range []string{g.StartDate, date} {
		if text == "" {
			continue
		}
		zone, err := g.Zone()
		if err == nil {
			at, err = graph.Date(text, zone)
		}
		if err != nil {
			return report{}, fmt.Errorf("--run-date: %w", err)
		}
	}
	jobs, faults := g.Compile(graph.Run{ID: run, At: at, Params: params}, rules)
	if len(faults) > 0 {
		r.Faults = faults
		return r, nil
	}
	for _, j := range jobs {
		p := planned{Task: j.Task, Job: j.Spec.ID, Class: j.Spec.Class, Team: j.Spec.Team, Image: j.Spec.Image, Tasks: j.Spec.TaskCount,
			Retries: j.Spec.MaxRetries, Rule: j.Rule, Upstream: []string{}, Release: "records"}
		if j.Map >= 0 {
			p.Map = &j.Map
		}
		if j.Held {
			p.Release = "run"
		}
		for _, u := range j.Upstream {
			p.Upstream = append(p.Upstream, jobs[u].Spec.ID)
		}
		r.Jobs = append(r.Jobs, p)
	}
	return r, nil
}

func printReports(out, errs io.Writer, reports []report, format string) error {
	if format == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(reports)
	}
	for _, r := range reports {
		for _, f := range r.Faults {
			fmt.Fprintln(errs, f)
		}
		if len(r.Faults) > 0 {
			continue
		}
		fmt.Fprintf(out, "%s: good, %d jobs\n", r.File, len(r.Jobs))
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "TASK\tJOB\tCLASS\tTASKS\tRETRIES\tTRIGGER RULE\tWAITS FOR\tRELEASED BY")
		for _, j := range r.Jobs {
			name, retries := j.Task, "any"
			if j.Map != nil {
				name = fmt.Sprintf("%s[%d]", name, *j.Map)
			}
			if j.Retries != nil {
				retries = fmt.Sprint(*j.Retries)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", name, j.Job, j.Class, j.Tasks, retries, j.Rule, len(j.Upstream), j.Release)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}
