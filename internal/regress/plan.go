package regress

import (
	"fmt"
	"io"
	"path/filepath"
)

// Site files of the operators' kit.
const (
	grownSites  = "next/*-grown.toml"
	nextSites   = "change/*-next.toml"
	addedSites  = "added/*.toml"
	fleetSites  = "more/fleet/*-fleet.toml"
	huntedSites = "more/hunt/*-hunt.toml" // days on which two faults meet
)

// Plan is what a regression run plays.
type Plan struct {
	BenchProgram      string // the bench's program
	KitDir            string // the folder with the operators' kit
	RepositoryDir     string // the repository measured
	IncludeFleetSites bool   // the sites of the larger fleet too
	AllSites          bool   // all sites and days, and a hunt on each
	HuntDays          int    // if not 0, instead of scores: hunted days on each site where faults meet
	Reason            string // goes into the journal
	Log               io.Writer
}

// siteFiles are the site files that a plan plays.
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

// globSites gives the site files that match some patterns. That there are none is an error.
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
