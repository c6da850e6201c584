// Command knownfailures serves CI with the list of tests that are known to fail (KNOWN-RED.txt).
// "skip" checks the list and prints the pattern for go test -skip; "run" runs the listed tests apart
// and prints what came of each. Exit status 1: the list is wrong, or a run shows something else than the known
// failure: no such subtest, a package that does not build, a crash, a time-out; 2: wrong use.
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

// exitWrongList is the exit status where the list is wrong, or what it says of a test.
const exitWrongList = 1

func main() { os.Exit(command.Run(newCommand(), exitStatus)) }

func exitStatus(err error) int {
	wrongList, wrongRun := new(listError), new(knownfailures.RunError)
	if errors.As(err, &wrongList) || errors.As(err, &wrongRun) {
		return exitWrongList
	}
	return command.ExitUsageError
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

// runTest runs a listed test and prints what came of it. That it fails is no error; a run that shows something else
// is one.
func runTest(ctx context.Context, out io.Writer, test knownfailures.Test, flags []string) error {
	arguments := append([]string{"test", "-v", "-count=1", "-run", test.Pattern()}, flags...)
	output, failure := exec.CommandContext(ctx, "go", append(arguments, test.Package)...).CombinedOutput()
	outcome, wrongRun := knownfailures.Judge(test, string(output), failure == nil)
	if wrongRun != nil {
		_, err := out.Write(output)
		return errors.Join(wrongRun, err)
	}
	_, err := fmt.Fprintf(out, "known failure: %s %s %s (%s, seed %s: %s, %s)\n%s",
		test.Package, test.Name, outcome, test.Command, test.Seed, test.Seen, test.Issue, output)
	return err
}
