// Package testrand runs a package's generated tests with a fixed seed, so that every run gives the same
// verdict. It serves tests only, and draws nothing itself.
package testrand

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "1"
)

// Main is the TestMain of packages with generated inputs. A seed on the command line replaces the default one.
func Main(m *testing.M) {
	if err := flag.Set(seedFlag, defaultSeed); err != nil { // before the command line is parsed
		panic(err)
	}
	os.Exit(m.Run())
}
