package command

import (
	"errors"
	"testing"

	"github.com/spf13/cobra"
)

// TestRun: a tool that ends well has exit status 0, one that fails the status of its error.
func TestRun(t *testing.T) {
	errFault := errors.New("fault")
	for name, c := range map[string]struct {
		result error
		want   int
	}{
		"ends well": {nil, 0},
		"fails":     {errFault, 1},
		"misused":   {errors.New("no such flag"), ExitWrongUse},
	} {
		t.Run(name, func(t *testing.T) {
			root := &cobra.Command{
				Use: "tool", SilenceUsage: true, SilenceErrors: true,
				RunE: func(*cobra.Command, []string) error { return c.result },
			}
			root.SetArgs([]string{}) // nil would be those of the test program
			status := Run(root, func(err error) int {
				if errors.Is(err, errFault) {
					return 1
				}
				return ExitWrongUse
			})
			if status != c.want {
				t.Errorf("exit status %d, want %d", status, c.want)
			}
		})
	}
}
