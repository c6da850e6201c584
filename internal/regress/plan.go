package regress

import (
	"fmt"
	"io"
	"path/filepath"
)

// Patterns of the site files in the operators' kit.
const (
	grownSites  = "next/*-grown.toml"       // sites that have grown
	nextSites   = "change/*-next.toml"      // sites with the changes of the kit's folder change
	addedSites  = "added/*.toml"            // sites that were added
	fleetSites  = "more/fleet/*-fleet.toml" // sites of the larger fleet
	huntedSites = "more/hunt/*-hunt.toml"   // sites on whose days two faults coincide
)

// Plan describes a regression run.
type Plan struct {
	BenchProgram      string // path of the bench's program
	KitDir            string // folder that contains the operators' kit
	RepositoryDir     string // repository whose sources are measured
	IncludeFleetSites bool   // also score the sites of the larger fleet
	AllSites          bool   // score all days of all sites, and hunt for broken rules on each site

	// HuntDays, if not 0, replaces the scores by a hunt: the bench simulates this many generated days on each site
	// where two faults coincide, in search of broken rules.
	HuntDays int

	Reason string    // reason for the run, which the bench records in the journal
	Log    io.Writer // receives the output of the bench
}

// siteFiles returns the site files that the plan covers.
func (p *Plan) siteFiles() ([]string, error) {
	if p.HuntDays > 0 {
		return p.globSites(huntedSites)
	}
	patterns := []string{grownSites, nextSites, addedSites}
	if p.IncludeFleetSites || p.AllSites {
		patterns = append(patterns, fleetSites)
	}
	if p.AllSites {
		patterns = append(patterns, huntedSites)
	}
	return p.globSites(patterns...)
}

// globSites returns the site files that match any of the patterns. It returns a NoSiteFilesError if there are none.
func (p *Plan) globSites(patterns ...string) ([]string, error) {
	var files []string
	for _, pattern := range patterns {
		found, err := filepath.Glob(filepath.Join(p.KitDir, "kit", pattern))
		if err != nil {
			return nil, fmt.Errorf("site files: %w", err)
		}
		files = append(files, found...)
	}
	if len(files) == 0 {
		return nil, &NoSiteFilesError{p.KitDir}
	}
	return files, nil
}
