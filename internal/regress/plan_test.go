package regress

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSites checks that each kind of plan covers the right sites, each of them once. A hunt covers the sites on whose
// days two faults coincide.
func TestSites(t *testing.T) {
	kitDir := t.TempDir()
	for _, name := range []string{
		"next/a-grown.toml", "next/wire.json", "change/a-next.toml", "more/fleet/a-fleet.toml",
		"more/hunt/a-hunt.toml", "more/hunt/b-hunt.toml", "more/hunt/a-hunt.days", "added/new.toml", "sites/a.toml",
	} {
		path := filepath.Join(kitDir, "kit", name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, nil, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name string
		plan Plan
		want string
	}{
		{"scores", Plan{}, "a-grown a-next new"},
		{"with the larger fleet", Plan{IncludeFleetSites: true}, "a-grown a-next new a-fleet"},
		{"all", Plan{AllSites: true}, "a-grown a-next new a-fleet a-hunt b-hunt"},
		{"hunt", Plan{HuntDays: 3}, "a-hunt b-hunt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.plan.KitDir = kitDir
			files, err := c.plan.siteFiles()
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, file := range files {
				got = append(got, strings.TrimSuffix(filepath.Base(file), ".toml"))
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("%+v covers %v", c.plan, got)
			}
		})
	}
	t.Run("none", func(t *testing.T) {
		plan := Plan{KitDir: t.TempDir()}
		if _, err := plan.siteFiles(); !errors.As(err, new(*NoSiteFilesError)) {
			t.Errorf("%v", err)
		}
	})
}
