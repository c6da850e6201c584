// Command sableusher is a controller node of the cluster scheduler.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"sableusher/internal/config"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sableusher:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "sableusher",
		Short:         "A cluster scheduler: starts waiting jobs and rents the machines for them.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), checkCommand(), graphCommand(), versionCommand())
	return cmd
}

func flags(cmd *cobra.Command, settings, operator *string) {
	cmd.Flags().StringVar(settings, "config", "", "the platform's settings (TOML)")
	cmd.Flags().StringVar(operator, "operator", "", "the operators' own settings (XML); defaults where it is left out")
	_ = cmd.MarkFlagRequired("config")
}

func load(settings, operator string) (*config.Settings, *config.Operator, error) {
	set, err := config.Load(settings)
	if err != nil {
		return nil, nil, err
	}
	op, err := config.LoadOperator(operator)
	if err != nil {
		return nil, nil, err
	}
	return set, op, nil
}

func serveCommand() *cobra.Command {
	var settings, operator string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a controller node until it is ended.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, op, err := load(settings, operator)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), set, op)
		},
	}
	flags(cmd, &settings, &operator)
	return cmd
}

func checkCommand() *cobra.Command {
	var settings, operator string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check both settings files without starting.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, _, err := load(settings, operator)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings are good: node %s of %d, %d teams\n", set.Node, set.Deployment.Size, len(set.Deployment.Teams))
			return nil
		},
	}
	flags(cmd, &settings, &operator)
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
			fmt.Fprintln(cmd.OutOrStdout(), "sableusher", version)
			return nil
		},
	}
}
