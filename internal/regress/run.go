package regress

import (
	"context"
	"strconv"

	"sableusher/internal/tuning"
)

// CompareRecorded compares the latest score of each site in the journal with the earlier ones,
// without running the bench.
func (p *Plan) CompareRecorded() ([]Comparison, error) {
	entries, err := readJournalOf(p.RepositoryDir)
	if err != nil {
		return nil, err
	}
	baseline, latest := SplitLatest(entries)
	return Compare(baseline, latest, tuning.RegressNoise), nil
}

// Run scores the sites one at a time, or hunts for broken rules on them, and returns the comparisons.
// It repeats each regressed day on additional seeds. An error means that the run could not be completed.
// Blocking comparisons are not an error.
func (p *Plan) Run(ctx context.Context) ([]Comparison, error) {
	sites, err := p.siteFiles()
	if err != nil {
		return nil, err
	}
	entries, err := readJournalOf(p.RepositoryDir)
	if err != nil {
		return nil, err
	}
	baseline := LatestScores(entries)
	var comparisons []Comparison
	for _, site := range sites {
		found, err := p.runSite(ctx, site, baseline)
		comparisons = append(comparisons, found...)
		if err != nil {
			return comparisons, err
		}
	}
	return comparisons, nil
}

// runSite scores a site, hunts on it, or does both, as the plan requires. If it does both, it adds only the blocking
// comparisons of the hunt to those of the score.
func (p *Plan) runSite(ctx context.Context, site string, baseline Baseline) ([]Comparison, error) {
	if p.HuntDays > 0 {
		return p.huntSite(ctx, site, p.HuntDays)
	}
	comparisons, err := p.scoreSite(ctx, site, baseline)
	if err != nil || !p.AllSites {
		return comparisons, err
	}
	hunted, err := p.huntSite(ctx, site, tuning.RegressHuntDays)
	for _, comparison := range hunted {
		if comparison.Blocking() {
			comparisons = append(comparisons, comparison)
		}
	}
	return comparisons, err
}

// scoreSite scores a site and repeats each regressed day on additional seeds.
func (p *Plan) scoreSite(ctx context.Context, site string, baseline Baseline) ([]Comparison, error) {
	arguments := []string{commandScore, site, "--why", p.Reason}
	if !p.AllSites {
		arguments = append(arguments, "--quick")
	}
	measured, err := p.bench(p.RepositoryDir).run(ctx, arguments...)
	if err != nil {
		return nil, err
	}
	comparisons := Compare(baseline, measured, tuning.RegressNoise)
	for i := range comparisons {
		if comparisons[i].Verdict != VerdictRegressed {
			continue
		}
		runs, err := p.repeatDay(ctx, site, &comparisons[i])
		if err != nil {
			return comparisons, err
		}
		comparisons[i].ConfirmWithSeeds(runs, tuning.RegressNoise)
	}
	return comparisons, nil
}

// huntSite simulates generated days of a site. These days have no baseline score, so only broken rules and failed
// days count.
func (p *Plan) huntSite(ctx context.Context, site string, days int) ([]Comparison, error) {
	measured, err := p.bench(p.RepositoryDir).run(ctx,
		commandHunt, site, "--days", strconv.Itoa(days), "--why", p.Reason)
	if err != nil {
		return nil, err
	}
	return Compare(Baseline{}, measured, tuning.RegressNoise), nil
}
