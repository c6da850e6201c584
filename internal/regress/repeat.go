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

// measuredDirs are the source folders of which the bench keeps a copy with each measurement.
var measuredDirs = []string{"cmd", "internal", "deploy"}

// repeatDay simulates a regressed day on additional seeds. For each seed it runs the baseline's sources first and
// the current ones second.
func (p *Plan) repeatDay(ctx context.Context, site string, day *Comparison) ([]SeedRun, error) {
	site, err := filepath.Abs(site)
	if err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	dir, err := os.MkdirTemp("", "regress-")
	if err != nil {
		return nil, fmt.Errorf("baseline sources: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort: a leftover temporary folder is harmless
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
		if run.BaselineScore, err = p.simulateSeed(ctx, baselineDir, site, day, seed); err != nil {
			return runs, err
		}
		if run.Score, err = p.simulateSeed(ctx, p.RepositoryDir, site, day, seed); err != nil {
			return runs, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// addWorktree checks out a commit as a git worktree in a folder.
func (p *Plan) addWorktree(ctx context.Context, dir, commit string) error {
	add := exec.CommandContext(ctx, "git", "-C", p.RepositoryDir, "worktree", "add", "--detach", dir, commit)
	if output, err := add.CombinedOutput(); err != nil {
		return fmt.Errorf("baseline sources at %s: %w: %s", commit, err, output)
	}
	return nil
}

// removeWorktree removes the worktree in a folder, even if the context is cancelled.
func (p *Plan) removeWorktree(ctx context.Context, dir string) {
	remove := exec.CommandContext(context.WithoutCancel(ctx),
		"git", "-C", p.RepositoryDir, "worktree", "remove", "--force", dir)
	_ = remove.Run() // best effort: repeatDay removes the parent folder as well
}

// restoreSources replaces the measured folders in dir by the sources of a journal entry. It has the bench restore its
// copy of these sources to restoredDir, because they may have differed from the commit that the entry names.
func (p *Plan) restoreSources(ctx context.Context, dir, restoredDir, entryID string) error {
	restore, err := p.bench(p.RepositoryDir).command(ctx, "journal", "restore", entryID, restoredDir)
	if err != nil {
		return err
	}
	if output, err := restore.CombinedOutput(); err != nil {
		return fmt.Errorf("baseline sources of entry %s: %w: %s", entryID, err, output)
	}
	for _, sourceDir := range measuredDirs {
		if err := os.RemoveAll(filepath.Join(dir, sourceDir)); err != nil {
			return fmt.Errorf("baseline sources: %w", err)
		}
	}
	if output, err := exec.CommandContext(ctx, "cp", "-a", restoredDir+"/.", dir).CombinedOutput(); err != nil {
		return fmt.Errorf("baseline sources: %w: %s", err, output)
	}
	return nil
}

// simulateSeed simulates a day on a seed with the sources in a folder, and returns its score.
func (p *Plan) simulateSeed(ctx context.Context, dir, site string, day *Comparison, seed uint64) (float64, error) {
	entries, err := p.bench(dir).run(ctx, commandRun, site, day.Day, "--seed", strconv.FormatUint(seed, 10))
	if err != nil {
		return 0, err
	}
	if len(entries) == 0 || len(entries[0].Days) == 0 {
		return 0, &NoScoreError{Site: day.Site, Day: day.Day, Seed: seed}
	}
	return entries[0].Days[0].Score, nil
}
