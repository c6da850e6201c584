package tuning

import "time"

// Autoscaler.
const (
	// AutoscalerInterval is the interval at which the fleet's size is reviewed.
	AutoscalerInterval = 500 * time.Millisecond
	// ScaleOutOverrideAfter is how long work may wait before machines for it are rented whatever the learner
	// prefers.
	ScaleOutOverrideAfter = 30 * time.Second
	// ArrivalWindow is the past over which arrivals are watched for the headroom.
	ArrivalWindow = 3 * time.Minute
	// HeadroomDeviations is how many standard deviations of the arrivals of one boot time the headroom covers.
	HeadroomDeviations = 1.0
	// RentalMaxMachines is the most machines one request may ask for.
	RentalMaxMachines = 50
	// MachineNameMinBytes is the length that a machine's name is expected to have at least, and
	// RentalRecordBaseBytes what a rental's record takes without names, with the longest type and zone.
	MachineNameMinBytes   = 12
	RentalRecordBaseBytes = 400
	// RentalConcurrency is how many rental requests are on their way at once.
	RentalConcurrency = 4
	// WholeMachineShare is the share of a machine above which a task needs one of its own.
	WholeMachineShare = 0.5
	// DemandMaxAge is the age past which the scheduler's demand is not acted on.
	DemandMaxAge = 2 * time.Second
	// RentalRefusalBackoff is the pause after a type, zone and kind was refused; it doubles with further refusals
	// in a row up to RentalRefusalBackoffMax, within which others' returns are noticed.
	RentalRefusalBackoff    = 6 * time.Second
	RentalRefusalBackoffMax = 12 * time.Second
	// InsufficientCapacityHold is how long a kind that gave fewer machines than were asked for is believed to have
	// less than a whole gang needs: some boot times, in which others return what they no longer use.
	InsufficientCapacityHold = time.Minute
	// BootStuckFactor is how many nominal boot times a machine may take before it is replaced.
	BootStuckFactor = 3.5
	// MinBootStuck is the least such wait.
	MinBootStuck = 20 * time.Second
	// CloudListInterval is the interval of machine listings.
	CloudListInterval = 5 * time.Second
	// CloudListMissesForDeleted is how many lists in a row must lack a machine that has long been there for it to
	// count as gone.
	CloudListMissesForDeleted = 3
	// CloudTimeout bounds a call to the cloud.
	CloudTimeout = 5 * time.Second
	// CloudBudgetShare is the fraction of the cloud's rate that all nodes plan to use.
	CloudBudgetShare = 0.85
	// CloudLeaderShare is the leader's share of that; the others share the rest. At 0.6 of four calls a second each
	// of four others had one in three seconds, while the leader's were refused.
	CloudLeaderShare = 0.45
	// CloudCallBurst is how many calls a node may make at once after a pause: one that can wait leaves one for what
	// can't. The cloud allows bursts of two seconds' worth.
	CloudCallBurst = 2
	// CatalogInterval is the interval at which the catalog is read again.
	CatalogInterval = 60 * time.Second
	// ReturnMaxMachines is the most machines one return may name.
	ReturnMaxMachines = 100
)

// ScaleOutFractions are the sizes the learner chooses among, from the least to the most that the guards allow.
var ScaleOutFractions = [...]float64{0, 0.25, 0.5, 0.75, 1}
