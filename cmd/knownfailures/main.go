// Command knownfailures handles the tests that are known to fail (KNOWN-RED.txt) in CI. Its subcommand "skip" checks
// the list and prints the pattern for go test -skip. Its subcommand "run" runs the listed tests separately and prints
// the outcome of each. The exit status is 1 if the list is invalid, or if a run does not show whether the known failure
// persists: the subtest was not run, the test binary crashed or timed out, or something else failed, such as the build
// or another test. It is 2 for other errors, such as invalid arguments. A listed test that fails as known, or passes,
// is no error.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"sableusher/internal/command"
	"sableusher/internal/knownfailures"
)

// exitWrongList is the exit status if the list is invalid or a run does not show the known failure that it lists.
const exitWrongList = 1

func main() { os.Exit(command.Run(newCommand(), exitStatus)) }

func exitStatus(err error) int {
	listErr, runErr := new(listError), new(knownfailures.RunError)
	if errors.As(err, &listErr) || errors.As(err, &runErr) {
		return exitWrongList
	}
	return command.ExitFailure
}

func newCommand() *cobra.Command {
	list := &listFile{}
	root := &cobra.Command{
		Use:           "knownfailures",
		Short:         "Skip the tests that are known to fail, and run them apart.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&list.path, "list", "KNOWN-RED.txt",
		"the list; one that is not there is an empty one")
	root.AddCommand(newSkipCommand(list), newRunCommand(list))
	return root
}

func newSkipCommand(list *listFile) *cobra.Command {
	return &cobra.Command{
		Use:   "skip",
		Short: "Check the list and print the pattern for go test -skip.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tests, err := list.read(cmd.Context())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), knownfailures.SkipPattern(tests))
			return err
		},
	}
}

func newRunCommand(list *listFile) *cobra.Command {
	return &cobra.Command{
		Use:   "run [-- flags of go test]",
		Short: "Run the listed tests apart and print what came of each.",
		RunE: func(cmd *cobra.Command, flags []string) error {
			tests, err := list.read(cmd.Context())
			if err != nil {
				return err
			}
			for _, test := range tests {
				if err := runTest(cmd.Context(), cmd.OutOrStdout(), test, flags); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// runTest runs a listed test and prints its outcome. A failure of the test itself is not an error. runTest returns an
// error if the run does not show whether the known failure persists.
func runTest(ctx context.Context, out io.Writer, test knownfailures.Test, flags []string) error {
	arguments := append([]string{"test", "-v", "-count=1", "-run", test.Pattern()}, flags...)
	output, testErr := exec.CommandContext(ctx, "go", append(arguments, test.Package)...).CombinedOutput()
	outcome, runErr := knownfailures.OutcomeOf(test, string(output), testErr == nil)
	if runErr != nil {
		_, err := out.Write(output)
		return errors.Join(runErr, err)
	}
	_, err := fmt.Fprintf(out, "known failure: %s %s %s (%s, seed %s: %s, %s)\n%s",
		test.Package, test.Name, outcome, test.Command, test.Seed, test.Symptom, test.Issue, output)
	return err
}
