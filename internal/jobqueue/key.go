package jobqueue

import "cmp"

// Key is the position of a waiting job in the queue. Its fields are compared in their order.
type Key struct {
	// PriorityRank is the rank of the job's priority; 0 is the highest.
	PriorityRank int
	// WithinGuarantee is set while the job lies within its team's guarantee.
	WithinGuarantee bool
	// Underserved is set in the cycles that are reserved for underserved classes and teams, if the
	// job's class or team is one of them.
	Underserved bool
	// MissesObjectives is set once the job can meet none of its objectives with the capacity there
	// is.
	MissesObjectives bool
	// SizeClass is the class of the job's remaining work while capacity is too short for all jobs
	// to meet their objectives, smaller first; 0 otherwise.
	SizeClass int
	// NearDeadline is set while the job can still meet its deadline, but not for long.
	NearDeadline bool
	// DeadlineNs is the job's deadline in nanoseconds since the Unix epoch.
	DeadlineNs int64
	// EligibleSinceMs is when the job could first have started, in milliseconds since the Unix
	// epoch.
	EligibleSinceMs int64
	// JobID identifies the job and makes every key unique.
	JobID string
}

// ComparePrecedence compares the part of the keys that a learned value must not override: all
// fields up to NearDeadline. It returns a negative number if k comes before other, 0 if they have
// the same precedence, and a positive number otherwise.
func (k Key) ComparePrecedence(other Key) int {
	return cmp.Or(
		cmp.Compare(k.PriorityRank, other.PriorityRank),
		compareTrueFirst(k.WithinGuarantee, other.WithinGuarantee),
		compareTrueFirst(k.Underserved, other.Underserved),
		compareTrueFirst(other.MissesObjectives, k.MissesObjectives),
		cmp.Compare(k.SizeClass, other.SizeClass),
		compareTrueFirst(k.NearDeadline, other.NearDeadline),
	)
}

// Compare compares whole keys, as for slices.SortFunc. The keys of two jobs are never equal.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		k.ComparePrecedence(other),
		cmp.Compare(k.DeadlineNs, other.DeadlineNs),
		cmp.Compare(k.EligibleSinceMs, other.EligibleSinceMs),
		cmp.Compare(k.JobID, other.JobID),
	)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
