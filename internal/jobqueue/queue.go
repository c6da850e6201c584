// Package jobqueue keeps the jobs that wait in the order in which they are given room.
// The order is the design's: priority first and never crossed, then what lies within
// its team's guarantee, whose turn it is for having been served least, what can still be in
// time, where room is short the small, and what is close to its deadline; among the rest the
// learned value decides for the first of them, which the caller asks for, else the earliest
// deadline and arrival.
//
// A change of one job costs the logarithm of how many wait. The package knows no
// clock: what follows from time alone comes as a new key.
package jobqueue

import (
	"cmp"

	"github.com/tidwall/btree"
)

// Key is what orders a job.
type Key struct {
	PriorityRank     int   // of its priority, the highest is 0
	WithinGuarantee  bool  // within its team's guarantee
	Underserved      bool  // its class or its team has had least of what is due, and it is their turn
	MissesObjectives bool  // past all its aims, or it can meet none with the room there is
	SizeClass        int   // class of what it still takes, where room is so short that not all can be in time; else 0
	NearDeadline     bool  // its deadline can still be met, but not for long
	DeadlineNs       int64 // in nanoseconds since 1970
	EligibleSinceMs  int64 // when it could first have started, in milliseconds since 1970
	JobID            string
}

// ComparePrecedence compares what value never crosses: priority, guarantee, whose turn it is for having
// been served least, what can still be in time before what can't, where room is short the
// small before the large, and danger.
func (k Key) ComparePrecedence(other Key) int {
	return cmp.Or(cmp.Compare(k.PriorityRank, other.PriorityRank), -compareBool(k.WithinGuarantee, other.WithinGuarantee), -compareBool(k.Underserved, other.Underserved), compareBool(k.MissesObjectives, other.MissesObjectives),
		cmp.Compare(k.SizeClass, other.SizeClass), -compareBool(k.NearDeadline, other.NearDeadline))
}

// Compare compares keys; none of two jobs are equal.
func (k Key) Compare(other Key) int {
	return cmp.Or(k.ComparePrecedence(other), cmp.Compare(k.DeadlineNs, other.DeadlineNs), cmp.Compare(k.EligibleSinceMs, other.EligibleSinceMs), cmp.Compare(k.JobID, other.JobID))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// entry is a job in line.
type entry[T any] struct {
	key   Key
	value T
}

// Queue is the jobs that wait, each with what its caller keeps of it. The zero value
// is not ready for use.
type Queue[T any] struct {
	tree     *btree.BTreeG[entry[T]]
	keyByJob map[string]Key
}

// New makes an empty line.
func New[T any]() *Queue[T] {
	return &Queue[T]{keyByJob: map[string]Key{}, tree: btree.NewBTreeGOptions(
		func(a, b entry[T]) bool { return a.key.Compare(b.key) < 0 }, btree.Options{NoLocks: true})}
}

// Put puts a job in line, or moves it to where its new key belongs.
func (l *Queue[T]) Put(k Key, value T) {
	if old, ok := l.keyByJob[k.JobID]; ok && old != k {
		l.tree.Delete(entry[T]{key: old})
	}
	l.keyByJob[k.JobID] = k
	l.tree.Set(entry[T]{k, value})
}

// Delete takes a job out of the line.
func (l *Queue[T]) Delete(jobID string) {
	if old, ok := l.keyByJob[jobID]; ok {
		l.tree.Delete(entry[T]{key: old})
		delete(l.keyByJob, jobID)
	}
}

// Len is how many wait.
func (l *Queue[T]) Len() int { return len(l.keyByJob) }

// Each calls f for the jobs in line, in order, until it says no.
func (l *Queue[T]) Each(yield func(Key, T) bool) {
	l.tree.Scan(func(e entry[T]) bool { return yield(e.key, e.value) })
}
