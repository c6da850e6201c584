package pool

import (
	"flag"
	"os"
	"testing"
)

// TestMain seeds the generators, so that every run gives the same verdict; a
// seed on the command line replaces it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
