package regress

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"sableusher/internal/tuning"
)

// measuredDirs are the folders that the bench keeps of the sources that it measures.
var measuredDirs = []string{"cmd", "internal", "deploy"}

// repeatDay plays a day that regressed on further seeds, with the baseline's sources
// and with those measured, in turn.
func (p *Plan) repeatDay(ctx context.Context, site string, day *Comparison) ([]SeedRun, error) {
	site, err := filepath.Abs(site)
	if err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	dir, err := os.MkdirTemp("", "regress-")
	if err != nil {
		return nil, fmt.Errorf("old sources: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left of a folder for temporary files harms nobody
	baselineDir := filepath.Join(dir, "main")
	if err := p.addWorktree(ctx, baselineDir, day.baselineEntry.Commit); err != nil {
		return nil, err
	}
	defer p.removeWorktree(ctx, baselineDir)
	if err := p.restoreSources(ctx, baselineDir, filepath.Join(dir, "kept"), day.baselineEntry.ID); err != nil {
		return nil, err
	}
	var runs []SeedRun
	for _, seed := range tuning.RegressSeeds {
		run := SeedRun{Seed: seed}
		if run.BaselineScore, err = p.playSeed(ctx, baselineDir, site, day, seed); err != nil {
			return runs, err
		}
		if run.Score, err = p.playSeed(ctx, p.RepositoryDir, site, day, seed); err != nil {
			return runs, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// addWorktree checks a commit out in a folder.
func (p *Plan) addWorktree(ctx context.Context, dir, commit string) error {
	add := exec.CommandContext(ctx, "git", "-C", p.RepositoryDir, "worktree", "add", "--detach", dir, commit)
	if output, err := add.CombinedOutput(); err != nil {
		return fmt.Errorf("old sources at %s: %w: %s", commit, err, output)
	}
	return nil
}

// removeWorktree removes it again, also once the context has ended.
func (p *Plan) removeWorktree(ctx context.Context, dir string) {
	remove := exec.CommandContext(context.WithoutCancel(ctx),
		"git", "-C", p.RepositoryDir, "worktree", "remove", "--force", dir)
	_ = remove.Run() // what is left of it is removed with its parent folder
}

// restoreSources puts the sources of an entry in a folder, by way of another. What was measured may have been
// committed only later: the bench kept it.
func (p *Plan) restoreSources(ctx context.Context, dir, keptDir, entryID string) error {
	restore, err := p.bench(p.RepositoryDir).command(ctx, "journal", "restore", entryID, keptDir)
	if err != nil {
		return err
	}
	if output, err := restore.CombinedOutput(); err != nil {
		return fmt.Errorf("old sources of entry %s: %w: %s", entryID, err, output)
	}
	for _, measured := range measuredDirs {
		if err := os.RemoveAll(filepath.Join(dir, measured)); err != nil {
			return fmt.Errorf("old sources: %w", err)
		}
	}
	if output, err := exec.CommandContext(ctx, "cp", "-a", keptDir+"/.", dir).CombinedOutput(); err != nil {
		return fmt.Errorf("old sources: %w: %s", err, output)
	}
	return nil
}

// playSeed plays a day on a seed with the sources in a folder, and gives its score.
func (p *Plan) playSeed(ctx context.Context, dir, site string, day *Comparison, seed uint64) (float64, error) {
	entries, err := p.bench(dir).run(ctx, commandRun, site, day.Day, "--seed", strconv.FormatUint(seed, 10))
	if err != nil {
		return 0, err
	}
	if len(entries) == 0 || len(entries[0].Days) == 0 {
		return 0, &NoScoreError{Site: day.Site, Day: day.Day, Seed: seed}
	}
	return entries[0].Days[0].Score, nil
}
