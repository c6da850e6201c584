// Package command runs the root commands of the repository's command-line tools. It cancels a command on SIGINT and
// SIGTERM, prints its error to standard error, and determines the exit status.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// ExitFailure is the exit status of a tool that was called with invalid arguments or could not do its work. Tools use
// other statuses for negative results of their work.
const ExitFailure = 2

// Run executes the root command of a tool and returns the exit status. This is 0 if the command succeeds. Otherwise
// Run prints the error to standard error and returns what exitStatus returns for it.
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
