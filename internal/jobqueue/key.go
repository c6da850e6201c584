package jobqueue

import "cmp"

// Key determines the position of a waiting job in the queue. Keys are compared field by field, in the
// order in which the fields are declared.
type Key struct {
	// PriorityRank is the rank of the job's priority; 0 is the highest.
	PriorityRank int
	// WithinGuarantee is set while the job is within its team's guarantee. Such jobs come first.
	WithinGuarantee bool
	// Underserved is set if the job's class or team is underserved, but only in the time slots that
	// are reserved for underserved classes and teams. Such jobs come first.
	Underserved bool
	// MissesObjectives is set if the job can meet none of its objectives with the present capacity.
	// Such jobs come last.
	MissesObjectives bool
	// SizeClass orders jobs by the size of their remaining work while there is too little capacity for
	// all arrays to meet their objectives, and services by their number of bound replicas while they
	// find no capacity. Smaller values come first. It may be negative, and is 0 if the size doesn't
	// matter.
	SizeClass int
	// NearDeadline is set while the job can still meet its deadline but will soon no longer be able
	// to. Such jobs come first.
	NearDeadline bool
	// DeadlineNs is the job's deadline in nanoseconds since the Unix epoch.
	DeadlineNs int64
	// ReadySinceMs is when the job could first start, in milliseconds since the Unix epoch.
	ReadySinceMs int64
	// JobID identifies the job and makes every key unique.
	JobID string
}

// ComparePrecedence compares the fields up to and including NearDeadline, which a learned value must
// not override. It returns a negative number if k comes before other, 0 if they have the same
// precedence, and a positive number otherwise.
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

// Compare compares all fields and returns a negative number, 0 or a positive number, as
// slices.SortFunc expects. The keys of two different jobs are never equal.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		k.ComparePrecedence(other),
		cmp.Compare(k.DeadlineNs, other.DeadlineNs),
		cmp.Compare(k.ReadySinceMs, other.ReadySinceMs),
		cmp.Compare(k.JobID, other.JobID),
	)
}

// compareTrueFirst compares two booleans so that true comes before false.
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
