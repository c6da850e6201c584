// Package order keeps the jobs that wait in the order in which they are given room.
// The order is the design's: priority first and never crossed, then what lies within
// its team's guarantee, whose turn it is for having been served least, what can still be in
// time, where room is short the small, and what is close to its deadline; among the rest the
// learned value decides for the first of them, which the caller asks for, else the earliest
// deadline and arrival.
//
// A change of one job costs the logarithm of how many wait. The package knows no
// clock: what follows from time alone comes as a new key.
package order

import (
	"cmp"

	"github.com/tidwall/btree"
)

// Key is what orders a job.
type Key struct {
	Rank     int   // of its priority, the highest is 0
	Assured  bool  // within its team's guarantee
	Owed     bool  // its class or its team has had least of what is due, and it is their turn
	Late     bool  // past all its aims, or it can meet none with the room there is
	Size     int   // class of what it still takes, where room is so short that not all can be in time; else 0
	Pressing bool  // its deadline can still be met, but not for long
	Deadline int64 // in nanoseconds since 1970
	Since    int64 // when it could first have started, in milliseconds since 1970
	ID       string
}

// Guarded compares what value never crosses: priority, guarantee, whose turn it is for having
// been served least, what can still be in time before what can't, where room is short the
// small before the large, and danger.
func (k Key) Guarded(o Key) int {
	return cmp.Or(cmp.Compare(k.Rank, o.Rank), -compareBool(k.Assured, o.Assured), -compareBool(k.Owed, o.Owed), compareBool(k.Late, o.Late),
		cmp.Compare(k.Size, o.Size), -compareBool(k.Pressing, o.Pressing))
}

// Compare compares keys; none of two jobs are equal.
func (k Key) Compare(o Key) int {
	return cmp.Or(k.Guarded(o), cmp.Compare(k.Deadline, o.Deadline), cmp.Compare(k.Since, o.Since), cmp.Compare(k.ID, o.ID))
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
	key  Key
	item T
}

// Line is the jobs that wait, each with what its caller keeps of it. The zero value
// is not ready for use.
type Line[T any] struct {
	tree *btree.BTreeG[entry[T]]
	keys map[string]Key
}

// NewLine makes an empty line.
func NewLine[T any]() *Line[T] {
	return &Line[T]{keys: map[string]Key{}, tree: btree.NewBTreeGOptions(
		func(a, b entry[T]) bool { return a.key.Compare(b.key) < 0 }, btree.Options{NoLocks: true})}
}

// Put puts a job in line, or moves it to where its new key belongs.
func (l *Line[T]) Put(k Key, item T) {
	if old, ok := l.keys[k.ID]; ok && old != k {
		l.tree.Delete(entry[T]{key: old})
	}
	l.keys[k.ID] = k
	l.tree.Set(entry[T]{k, item})
}

// Drop takes a job out of the line.
func (l *Line[T]) Drop(id string) {
	if old, ok := l.keys[id]; ok {
		l.tree.Delete(entry[T]{key: old})
		delete(l.keys, id)
	}
}

// Len is how many wait.
func (l *Line[T]) Len() int { return len(l.keys) }

// Each calls f for the jobs in line, in order, until it says no.
func (l *Line[T]) Each(f func(Key, T) bool) {
	l.tree.Scan(func(e entry[T]) bool { return f(e.key, e.item) })
}
