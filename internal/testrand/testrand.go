// Package testrand runs a package's property-based tests (package rapid) with a fixed seed, so that every run has the
// same result. It is used by tests only.
package testrand

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flag seedFlag
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "1"
)

// Main implements TestMain for packages with property-based tests. A seed on the command line overrides the default.
func Main(m *testing.M) {
	if err := flag.Set(seedFlag, defaultSeed); err != nil { // m.Run parses the command line, which may override it
		panic(err)
	}
	os.Exit(m.Run())
}
