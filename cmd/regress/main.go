// Command regress scores the current sources on the operators' sites and compares each
// day with the latest score in the journal. The exit status is 0 if nothing regressed, 1 if a
// rule was broken or a day failed, regressed or has no score, and 2 if the arguments are invalid
// or the run could not be completed.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"sableusher/internal/command"
	"sableusher/internal/regress"
)

// exitRegressed is the exit status for errRegressed.
const exitRegressed = 1

// errRegressed is returned if a comparison is blocking; see regress.Comparison.Blocking.
var errRegressed = errors.New("days failed or regressed")

func main() { os.Exit(command.Run(newCommand(), exitStatus)) }

func exitStatus(err error) int {
	if errors.Is(err, errRegressed) {
		return exitRegressed
	}
	return command.ExitFailure
}

// options holds the values of the command's flags.
type options struct {
	plan     regress.Plan
	recorded bool // only compare scores in the journal, without running the bench
}

func newCommand() *cobra.Command {
	o := &options{plan: regress.Plan{Log: os.Stderr, RepositoryDir: "."}}
	root := &cobra.Command{
		Use:           "regress",
		Short:         "Score the operators' sites and compare each day with the last figure on record.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          o.run,
	}
	flags, plan := root.Flags(), &o.plan
	flags.StringVar(&plan.BenchProgram, "bench", "", "the bench's program; the one under --given where it is left out")
	flags.StringVar(&plan.KitDir, "given", filepath.Join("..", "given"), "the folder that holds the operators' kit")
	flags.BoolVar(&plan.IncludeFleetSites, "fleet", false, "score the sites of the larger fleet too")
	flags.BoolVar(&plan.AllSites, "full", false, "score all sites in full, with a hunt on each")
	flags.IntVar(&plan.HuntDays, "hunt", 0,
		"instead of scores: hunt so many days on each site where two troubles meet")
	flags.BoolVar(&o.recorded, "recorded", false,
		"play nothing: compare the last score of each site in the journal with those before it")
	flags.StringVar(&plan.Reason, "why", "regression run",
		"what the run is for, for the journal (under 120 characters)")
	return root
}

// complete sets the path of the bench if no flag sets it, and returns an error if the flags contradict each other.
func (o *options) complete() error {
	plan := &o.plan
	if plan.BenchProgram == "" {
		plan.BenchProgram = filepath.Join(plan.KitDir, "kit", "more", "hunt", "bin", "fleetbench")
	}
	scores := plan.IncludeFleetSites || plan.AllSites || o.recorded
	if plan.HuntDays < 0 || plan.HuntDays > 0 && scores {
		return fmt.Errorf("--hunt takes a number of days and excludes --fleet, --full and --recorded: %d",
			plan.HuntDays)
	}
	return nil
}

// run carries out the plan and prints the comparisons, including those made before an error.
func (o *options) run(cmd *cobra.Command, _ []string) error {
	if err := o.complete(); err != nil {
		return err
	}
	comparisons, err := o.compare(cmd.Context())
	if printErr := regress.PrintTable(cmd.OutOrStdout(), comparisons); err == nil {
		err = printErr
	}
	if err != nil {
		return err
	}
	blocking := 0
	for _, comparison := range comparisons {
		if comparison.Blocking() {
			blocking++
		}
	}
	if blocking > 0 {
		return fmt.Errorf("%w: %d of %d", errRegressed, blocking, len(comparisons))
	}
	return nil
}

func (o *options) compare(ctx context.Context) ([]regress.Comparison, error) {
	if o.recorded {
		return o.plan.CompareRecorded()
	}
	return o.plan.Run(ctx)
}
