package regress

// dayKey identifies a day of a site. Its day field is Day.ID, which includes the seed.
type dayKey struct{ site, day string }

// Baseline holds the latest score of each day.
type Baseline map[dayKey]MeasuredDay

// MeasuredDay is a day with the journal entry that contains it.
type MeasuredDay struct {
	Day
	Entry Entry
}

// LatestScores returns the latest score of each day. The entries must be in order of time. Only
// entries of the score command count, because single runs may have measured arbitrary sources.
// Generated days are skipped.
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

// SplitLatest returns the latest score entry of each site, and the baseline from all other entries.
// Entries of interrupted runs have neither site nor days and don't count.
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
