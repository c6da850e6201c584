package tuning

// Parameters of regression runs.
const (
	// RegressNoise is the largest difference between two scores of the same day, in points, that counts as noise.
	RegressNoise = 0.03
	// RegressMaxCPUSeconds is the maximum processor time of a simulated day, in seconds. The bench gives 0 points to a
	// day that takes more than 400 s. This limit is a quarter lower because the speed of machines differs by as much.
	RegressMaxCPUSeconds = 300
	// RegressMinServedShare is the minimum share of the work of each class and team that must be served on a day.
	RegressMinServedShare = 0.5
	// RegressHuntDays is the number of generated days that a full run simulates on each site in search of broken
	// rules.
	RegressHuntDays = 4
)

// RegressSeeds are the additional seeds on which a day that regressed is repeated.
var RegressSeeds = [...]uint64{1, 2}
