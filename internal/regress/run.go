package regress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"

	"sableusher/internal/tuning"
)

// Plan is what a regression run plays.
type Plan struct {
	BenchProgram      string // the bench's program
	KitDir            string // the folder with the operators' kit
	RepositoryDir     string // the repository measured
	IncludeFleetSites bool   // the sites of the larger fleet too
	AllSites          bool   // all sites and days, and a hunt on each
	HuntDays          int    // instead of scores: so many hunted days on each site where troubles meet
	Reason            string // goes into the journal
	Log               io.Writer
}

// huntSites are the site files whose days let two troubles meet.
const huntSites = "more/hunt/*-hunt.toml"

// siteFiles are the site files that a plan plays.
func (p *Plan) siteFiles() []string {
	if p.HuntDays > 0 {
		return p.globSites(huntSites)
	}
	groups := []string{"next/*-grown.toml", "change/*-next.toml", "added/*.toml"}
	if p.IncludeFleetSites || p.AllSites {
		groups = append(groups, "more/fleet/*-fleet.toml")
	}
	if p.AllSites {
		groups = append(groups, huntSites)
	}
	return p.globSites(groups...)
}

func (p *Plan) globSites(groups ...string) []string {
	var out []string
	for _, g := range groups {
		found, _ := filepath.Glob(filepath.Join(p.KitDir, "kit", g)) // the patterns are well formed
		out = append(out, found...)
	}
	return out
}

// CompareRecorded compares the last score of each site in the journal with those before it,
// and plays nothing.
func (p *Plan) CompareRecorded() ([]Comparison, error) {
	entries, err := p.readJournal(p.RepositoryDir)
	if err != nil {
		return nil, err
	}
	record, now := SplitLatest(entries)
	return Compare(record, now, tuning.RegressFall), nil
}

// Run scores the sites one at a time, repeats what fell on further seeds, and
// gives the comparison. An error means that it could not be carried out; rows that
// are bad are no error.
func (p *Plan) Run(ctx context.Context) ([]Comparison, error) {
	files := p.siteFiles()
	if len(files) == 0 {
		return nil, fmt.Errorf("no site files under %s: name the folder that holds kit/ with --given", p.KitDir)
	}
	before, err := p.readJournal(p.RepositoryDir)
	if err != nil {
		return nil, err
	}
	record := LatestScores(before)
	var rows []Comparison
	for _, f := range files {
		if p.HuntDays > 0 {
			hunted, err := p.huntSite(ctx, f, p.HuntDays)
			if rows = append(rows, hunted...); err != nil {
				return rows, err
			}
			continue
		}
		args := []string{"score", f, "--why", p.Reason}
		if !p.AllSites {
			args = append(args, "--quick")
		}
		now, err := p.runBench(ctx, p.RepositoryDir, args...)
		if err != nil {
			return rows, err
		}
		found := Compare(record, now, tuning.RegressFall)
		for i := range found {
			if found[i].Verdict != VerdictRegressed {
				continue
			}
			pairs, err := p.repeatDay(ctx, f, &found[i])
			if err != nil {
				return append(rows, found...), err
			}
			found[i].ConfirmWithSeeds(pairs, tuning.RegressFall)
		}
		rows = append(rows, found...)
		if !p.AllSites {
			continue
		}
		hunted, err := p.huntSite(ctx, f, tuning.RegressHunt)
		if err != nil {
			return rows, err
		}
		for _, r := range hunted {
			if r.Blocking() {
				rows = append(rows, r)
			}
		}
	}
	return rows, nil
}

// huntSite plays drawn days of a site. Nobody played them before, so they have no figure to fall from:
// broken rules and failed days alone count.
func (p *Plan) huntSite(ctx context.Context, file string, days int) ([]Comparison, error) {
	now, err := p.runBench(ctx, p.RepositoryDir, "hunt", file, "--days", strconv.Itoa(days), "--why", p.Reason)
	if err != nil {
		return nil, err
	}
	return Compare(Baseline{}, now, tuning.RegressFall), nil
}

// repeatDay plays a day that fell on further seeds, with the sources of the figure
// before and with those measured, in turn.
func (p *Plan) repeatDay(ctx context.Context, file string, r *Comparison) ([]SeedRun, error) {
	dir, err := os.MkdirTemp("", "regress-")
	if err != nil {
		return nil, fmt.Errorf("old sources: %w", err)
	}
	defer os.RemoveAll(dir)
	old := filepath.Join(dir, "main")
	if out, err := exec.CommandContext(ctx, "git", "-C", p.RepositoryDir, "worktree", "add", "--detach", old, r.baselineEntry.Commit).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("old sources at %s: %w: %s", r.baselineEntry.Commit, err, out)
	}
	defer func() { _ = exec.Command("git", "-C", p.RepositoryDir, "worktree", "remove", "--force", old).Run() }()
	// What was measured may have been committed only later: the bench kept it.
	kept := filepath.Join(dir, "kept")
	program, err := filepath.Abs(p.BenchProgram)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	restore := exec.CommandContext(ctx, program, "journal", "restore", r.baselineEntry.ID, kept)
	restore.Dir = p.RepositoryDir
	if out, err := restore.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("old sources of entry %s: %w: %s", r.baselineEntry.ID, err, out)
	}
	for _, sources := range []string{"cmd", "internal", "deploy"} {
		if err := os.RemoveAll(filepath.Join(old, sources)); err != nil {
			return nil, fmt.Errorf("old sources: %w", err)
		}
	}
	if out, err := exec.CommandContext(ctx, "cp", "-a", kept+"/.", old).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("old sources: %w: %s", err, out)
	}
	abs, err := filepath.Abs(file)
	if err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	var pairs []SeedRun
	for _, seed := range tuning.RegressSeeds {
		pair := SeedRun{Seed: seed}
		for _, side := range []struct {
			dir    string
			figure *float64
		}{{old, &pair.BaselineScore}, {p.RepositoryDir, &pair.Score}} {
			now, err := p.runBench(ctx, side.dir, "run", abs, r.Day, "--seed", strconv.FormatUint(seed, 10))
			if err != nil {
				return pairs, err
			}
			if len(now) == 0 || len(now[0].Days) == 0 {
				return pairs, fmt.Errorf("%s %s on seed %d gave no figure", r.Site, r.Day, seed)
			}
			*side.figure = now[0].Days[0].Score
		}
		pairs = append(pairs, pair)
	}
	return pairs, nil
}

func (p *Plan) readJournal(repo string) ([]Entry, error) {
	return ReadJournal(os.DirFS(filepath.Join(repo, "journal")))
}

// runBench runs one command of the bench in a repository and gives the entries that
// it left there.
func (p *Plan) runBench(ctx context.Context, repo string, args ...string) ([]Entry, error) {
	before, err := p.readJournal(repo)
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(p.BenchProgram)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = repo, p.Log, p.Log
	ran := cmd.Run()
	after, err := p.readJournal(repo)
	if err != nil {
		return nil, err
	}
	fresh := slices.DeleteFunc(after, func(e Entry) bool {
		return slices.ContainsFunc(before, func(b Entry) bool { return b.ID == e.ID })
	})
	// A bench that fails after it wrote its entry tells there what failed.
	if len(fresh) == 0 {
		if ran == nil {
			ran = errors.New("it left no entry in the journal")
		}
		return nil, fmt.Errorf("bench %s: %w", args[0], ran)
	}
	return fresh, nil
}
