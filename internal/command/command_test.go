package command

import (
	"errors"
	"testing"

	"github.com/spf13/cobra"
)

// TestRun checks that the exit status is 0 if a tool succeeds, and the one for its error otherwise.
func TestRun(t *testing.T) {
	errFault := errors.New("fault")
	for name, c := range map[string]struct {
		result error
		want   int
	}{
		"succeeds": {nil, 0},
		"fails":    {errFault, 1},
		"misused":  {errors.New("no such flag"), ExitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			root := &cobra.Command{
				Use: "tool", SilenceUsage: true, SilenceErrors: true,
				RunE: func(*cobra.Command, []string) error { return c.result },
			}
			root.SetArgs([]string{}) // with nil, cobra would use the arguments of the test program
			status := Run(root, func(err error) int {
				if errors.Is(err, errFault) {
					return 1
				}
				return ExitFailure
			})
			if status != c.want {
				t.Errorf("exit status %d, want %d", status, c.want)
			}
		})
	}
}
