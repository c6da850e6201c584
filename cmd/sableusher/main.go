// Command sableusher runs a controller node of the cluster scheduler and checks its
// settings and users' graph files.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sableusher:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "sableusher",
		Short:         "A cluster scheduler: starts waiting jobs and rents the machines for them.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), checkCommand(), graphCommand(), versionCommand())
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "sableusher", version)
			return err
		},
	}
}
