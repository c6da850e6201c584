package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"sableusher/internal/config"
)

// settingsPaths holds the paths of a node's settings files.
type settingsPaths struct {
	platform string // TOML
	operator string // XML; empty for the embedded defaults
}

// addFlags adds the flags for both paths to a command.
func (p *settingsPaths) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&p.platform, "config", "", "the platform's settings (TOML)")
	cmd.Flags().StringVar(&p.operator, "operator", "",
		"the operators' own settings (XML); defaults where it is left out")
	_ = cmd.MarkFlagRequired("config")
}

// load reads and validates both files.
func (p *settingsPaths) load() (*config.Settings, *config.Operator, error) {
	settings, err := config.Load(p.platform)
	if err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperator(p.operator)
	if err != nil {
		return nil, nil, err
	}
	return settings, operator, nil
}

func checkCommand() *cobra.Command {
	var paths settingsPaths
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check both settings files without starting.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, _, err := paths.load()
			if err != nil {
				return err
			}
			deployment := &settings.Deployment
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "settings are good: node %s of %d, %d teams\n",
				settings.Node, deployment.NodeCount, len(deployment.Teams))
			return err
		},
	}
	paths.addFlags(cmd)
	return cmd
}
