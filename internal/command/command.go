// Package command runs the repository's tools from the command line: until they end or are interrupted, with an
// error on standard error and an exit status.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// ExitWrongUse is the exit status of a tool that was called wrongly or could not do its work.
const ExitWrongUse = 2

// Run executes a tool's root command and gives the exit status: 0 without an error; otherwise the one that exitStatus
// has for the error, which is also printed.
func Run(root *cobra.Command, exitStatus func(error) int) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name(), err)
	return exitStatus(err)
}
