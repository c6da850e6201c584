// Package testrand runs a package's tests with seeded generators, so that every run
// gives the same verdict; a seed on the command line replaces it. It serves tests only.
package testrand

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

// Main is the TestMain of packages with generated inputs.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
