package tuning

// Regression runs.
const (
	// RegressNoise is the largest difference of a day's figure, in points, that counts as noise.
	RegressNoise = 0.03
	// RegressMaxCPUSeconds is the processor time, in seconds, that a day may take to play: the bench counts one of
	// over 400 s for nothing, and machines differ by a quarter.
	RegressMaxCPUSeconds = 300
	// RegressMinServedShare is the least share of a class or team that must be served on a day.
	RegressMinServedShare = 0.5
	// RegressHuntDays is how many days a full run hunts for broken rules on each site.
	RegressHuntDays = 4
)

// RegressSeeds are the further seeds on which a regression is confirmed.
var RegressSeeds = [...]uint64{1, 2}
