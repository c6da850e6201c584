package tuning

import "time"

// Constants of package autoscaler: machines, rentals and calls to the cloud.
const (
	// AutoscalerInterval is the interval at which the autoscaler compares the number of machines with the demand.
	AutoscalerInterval = 500 * time.Millisecond
	// ScaleOutOverrideAfter is how long work may wait before machines for it are rented regardless of the
	// learner's choice. A gang that its team's limit has kept waiting for longer blocks the later jobs of the
	// team; otherwise smaller jobs could delay it indefinitely.
	ScaleOutOverrideAfter = 30 * time.Second
	// ArrivalWindow is the period of past job arrivals from which the headroom is computed.
	ArrivalWindow = 3 * time.Minute
	// HeadroomDeviations is the headroom, in standard deviations of the capacity that jobs arriving within one boot
	// time take.
	HeadroomDeviations = 1.0
	// RentalMaxMachines is the largest number of machines in one rental request.
	RentalMaxMachines = 50
	// MachineNameMinBytes is the length in bytes that is assumed for machine names until a longer name is known.
	// RentalRecordBaseBytes is the size of a rental's record without machine names, but with the longest machine
	// type and zone. Both limit the number of machines of a rental, whose names must fit in its record.
	MachineNameMinBytes   = 12
	RentalRecordBaseBytes = 400
	// RentalConcurrency is the largest number of concurrent rental requests.
	RentalConcurrency = 4
	// WholeMachineShare is the fraction of a machine above which a task counts as needing a whole machine.
	WholeMachineShare = 0.5
	// DemandMaxAge is the age beyond which the autoscaler ignores the scheduler's computed demand.
	DemandMaxAge = 2 * time.Second
	// RentalRefusalBackoff is how long a kind of machine (type, zone, spot or on demand) is not requested after a
	// refusal. It doubles with each consecutive refusal, up to RentalRefusalBackoffMax. The maximum also bounds the
	// time until the autoscaler notices machines that other users of the cloud have deleted.
	RentalRefusalBackoff    = 6 * time.Second
	RentalRefusalBackoffMax = 12 * time.Second
	// InsufficientCapacityBackoff is how long the cloud is assumed to have too few machines of a kind for a whole gang,
	// after it provided fewer than requested. It spans several boot times, in which other users of the cloud delete
	// machines that they no longer need.
	InsufficientCapacityBackoff = time.Minute
	// BootTimeoutFactor is the number of nominal boot times after which a machine that has not come up is replaced.
	BootTimeoutFactor = 3.5
	// MinBootTimeout is the shortest time after which a machine that has not come up is replaced.
	MinBootTimeout = 20 * time.Second
	// CloudListInterval is the interval at which the cloud's machines are listed.
	CloudListInterval = 5 * time.Second
	// CloudListMissesBeforeDeletion is the number of consecutive listings without a machine after which the machine is
	// deleted. Listings don't count until the machine is older than twice the list lag plus this number of list
	// intervals.
	CloudListMissesBeforeDeletion = 3
	// CloudTimeout is the timeout of a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CloudBudgetShare is the fraction of the cloud's allowed request rate that all nodes together use.
	CloudBudgetShare = 0.85
	// CloudLeaderShare is the leader's fraction of the rate that all nodes together use; the other nodes share the
	// rest equally. A share of 0.6 is too large: with five nodes and four calls per second allowed, it left each of the
	// four followers one call in three seconds, and the cloud still refused calls of the leader.
	CloudLeaderShare = 0.45
	// CloudCallBurst is the minimum number of calls that a node may make at once after a pause; a node whose rate is
	// higher may make as many as its rate allows in one second. A call that can wait is made only if this many calls
	// are available, so that one is left for urgent requests. The cloud itself allows bursts of as many calls as it
	// allows in two seconds.
	CloudCallBurst = 2
	// CatalogInterval is the interval at which the leader reads the catalog of machine types from the cloud.
	CatalogInterval = 60 * time.Second
	// DeletionMaxMachines is the maximum number of machines in one deletion request.
	DeletionMaxMachines = 100
)

// ScaleOutFractions are the fractions of the optional planned machines that the learner chooses from: 0 rents only
// the required machines, 1 rents all planned machines.
var ScaleOutFractions = [...]float64{0, 0.25, 0.5, 0.75, 1}
