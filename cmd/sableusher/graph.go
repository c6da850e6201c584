package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"sableusher/internal/config"
	"sableusher/internal/graph"
	"sableusher/internal/retry"
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

// graphCheckOptions holds the flags of the command "graph check".
type graphCheckOptions struct {
	paths   settingsPaths // both may be empty
	runDate string
	runID   string
	params  []string // name=value
	output  string
}

func (o *graphCheckOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.paths.platform, "config", "",
		"the platform's settings (TOML), to check teams; not checked where it is left out")
	flags.StringVar(&o.paths.operator, "operator", "",
		"the operators' own settings (XML), to check classes; defaults where it is left out")
	flags.StringVar(&o.runDate, "run-date", "",
		"logical date of the run; the graph's start_date, or today, where it is left out")
	flags.StringVar(&o.runID, "run-id", "check", "id of the run")
	flags.StringArrayVar(&o.params, "param", nil,
		"a parameter of the run as name=value, the value in YAML; may be repeated")
	flags.StringVar(&o.output, "output", "table", "table or json")
}

func graphCheckCommand() *cobra.Command {
	var options graphCheckOptions
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check graph files and print the jobs that a run of each would have.",
		Long: "Check graph files and print the jobs that a run of each would have. " +
			"Every fault is printed, with file,\n" +
			"line, column and path; if there is any, the command ends with 1. With the settings that controllers\n" +
			"run with, teams and classes are checked too. Nothing is submitted.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return checkGraphs(cmd, &options, files)
		},
	}
	options.addFlags(cmd)
	return cmd
}

// checkGraphs checks the files, prints a report on each, and returns an error if any file has faults.
func checkGraphs(cmd *cobra.Command, options *graphCheckOptions, files []string) error {
	format, err := parseOutputFormat(options.output)
	if err != nil {
		return err
	}
	checker, err := newGraphChecker(options)
	if err != nil {
		return err
	}
	var reports []graphReport
	faultCount := 0
	for _, file := range files {
		report, err := checker.check(file)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		faultCount += len(report.Faults)
	}
	printer := reportPrinter{out: cmd.OutOrStdout(), faults: cmd.ErrOrStderr()}
	if err := printer.print(reports, format); err != nil {
		return err
	}
	if faultCount > 0 {
		return fmt.Errorf("faults: %d", faultCount)
	}
	return nil
}

// newGraphChecker returns a checker for the settings files and the run that the options name.
func newGraphChecker(options *graphCheckOptions) (*graphChecker, error) {
	checker := &graphChecker{runDate: options.runDate, runID: options.runID}
	if options.paths.platform != "" {
		settings, err := config.Load(options.paths.platform)
		if err != nil {
			return nil, err
		}
		checker.rules.Teams = teamsByName(settings.Deployment.Teams)
	}
	operator, err := config.LoadOperator(options.paths.operator)
	if err != nil {
		return nil, err
	}
	checker.rules.RetryPolicies = retry.NewPolicies(operator.Classes)
	if checker.params, err = parseParams(options.params); err != nil {
		return nil, err
	}
	return checker, nil
}

func teamsByName(teams []config.Team) map[string]config.Team {
	byName := map[string]config.Team{}
	for _, team := range teams {
		byName[team.Name] = team
	}
	return byName
}

// parseParams parses name=value pairs, whose values are YAML.
func parseParams(pairs []string) (map[string]any, error) {
	params := map[string]any{}
	for _, pair := range pairs {
		name, text, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("--param %q: not of the form name=value", pair)
		}
		var value any
		if err := yaml.Unmarshal([]byte(text), &value); err != nil {
			return nil, fmt.Errorf("--param %s: %w", name, err)
		}
		params[name] = value
	}
	return params, nil
}
