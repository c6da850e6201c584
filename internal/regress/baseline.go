package regress

// dayKey names a day of a site with its seed.
type dayKey struct{ site, day string }

// Baseline is the last score of each day.
type Baseline map[dayKey]MeasuredDay

// MeasuredDay is a day with the entry that it is part of.
type MeasuredDay struct {
	Day
	Entry Entry
}

// LatestScores gathers the last score of each day; later entries win. Only scores
// count, as single runs may have been made of anything.
func LatestScores(entries []Entry) Baseline {
	baseline := Baseline{}
	for _, entry := range entries {
		if !entry.isScore() {
			continue
		}
		for _, day := range entry.Days {
			if !day.Generated() {
				baseline[dayKey{entry.Site, day.ID}] = MeasuredDay{day, entry}
			}
		}
	}
	return baseline
}

// SplitLatest gives the last score of each site, and the baseline as it was before it. Scores
// that were cut off have neither site nor days and don't count.
func SplitLatest(entries []Entry) (Baseline, []Entry) {
	lastOfSite := map[string]int{}
	for i, entry := range entries {
		if entry.isScore() {
			lastOfSite[entry.Site] = i
		}
	}
	var earlier, latest []Entry
	for i, entry := range entries {
		if last, ok := lastOfSite[entry.Site]; ok && last == i {
			latest = append(latest, entry)
		} else {
			earlier = append(earlier, entry)
		}
	}
	return LatestScores(earlier), latest
}
