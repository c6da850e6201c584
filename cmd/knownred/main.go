// Command knownred serves CI with the list of tests that are known to fail (KNOWN-RED.txt).
// "skip" checks the list and prints the pattern for go test -skip; "run" runs the listed tests apart
// and prints what came of each, whatever that is. Status 1: the list is wrong; 2: wrong use.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"sableusher/internal/knownfailures"
)

// listError is a fault of the list; all others are wrong use.
type listError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	file := ""
	root := &cobra.Command{Use: "knownred", Short: "Pass over the tests that are known to fail, and run them apart.", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&file, "list", "KNOWN-RED.txt", "the list; one that is not there is an empty one")
	listed := func(cmd *cobra.Command) ([]knownfailures.Test, error) {
		tests, err := read(cmd.Context(), file)
		if err != nil {
			return nil, listError{fmt.Errorf("%s: %w", file, err)}
		}
		return tests, nil
	}
	root.AddCommand(&cobra.Command{Use: "skip", Short: "Check the list and print the pattern for go test -skip.", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tests, err := listed(cmd)
			if err == nil {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), knownfailures.SkipPattern(tests))
			}
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "run [-- flags of go test]", Short: "Run the listed tests apart and print what came of each.",
		RunE: func(cmd *cobra.Command, args []string) error {
			tests, err := listed(cmd)
			for _, t := range tests {
				c := exec.CommandContext(cmd.Context(), "go", append(append([]string{"test", "-count=1", "-run", "^" + t.Name + "$"}, args...), t.Package)...)
				out, ran := c.CombinedOutput()
				outcome := "passes now: take it off the list"
				if ran != nil {
					outcome = "fails"
				}
				fmt.Fprintf(cmd.OutOrStdout(), "known red: %s %s %s (%s, %s)\n%s", t.Package, t.Name, outcome, t.Cause, t.Issue, out)
			}
			return err
		}})
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		if errors.As(err, new(listError)) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

// read reads the list and holds it against the tests of this module.
func read(ctx context.Context, file string) ([]knownfailures.Test, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	tests, err := knownfailures.Read(f)
	if err != nil || len(tests) == 0 {
		return nil, err
	}
	packages, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Dir}}", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("packages: %w", err)
	}
	here, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	there := map[string][]string{}
	for dir := range strings.FieldsSeq(string(packages)) {
		name := "." + strings.TrimPrefix(dir, here)
		out, err := exec.CommandContext(ctx, "go", "test", "-list", "^Test", name).Output()
		if err != nil {
			return nil, fmt.Errorf("tests of %s: %w", name, err)
		}
		there[name] = strings.Fields(string(out))
	}
	return tests, knownfailures.CheckExist(tests, there)
}
