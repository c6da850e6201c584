package jobqueue

import "github.com/tidwall/btree"

// Queue holds the waiting jobs in the order of their keys, each with a value that the caller supplies.
// Use New to create a Queue. A Queue is not safe for concurrent use.
type Queue[T any] struct {
	tree     *btree.BTreeG[entry[T]]
	keyByJob map[string]Key
}

// entry is a job in the queue.
type entry[T any] struct {
	key   Key
	value T
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	precedes := func(a, b entry[T]) bool { return a.key.Compare(b.key) < 0 }
	return &Queue[T]{
		tree:     btree.NewBTreeGOptions(precedes, btree.Options{NoLocks: true}),
		keyByJob: map[string]Key{},
	}
}

// Put adds the job identified by key.JobID with the given value. If the job is already in the queue,
// Put replaces its key and value.
func (q *Queue[T]) Put(key Key, value T) {
	if old, ok := q.keyByJob[key.JobID]; ok && old != key {
		q.tree.Delete(entry[T]{key: old})
	}
	q.keyByJob[key.JobID] = key
	q.tree.Set(entry[T]{key, value})
}

// Delete removes a job. It does nothing if the job is not in the queue.
func (q *Queue[T]) Delete(jobID string) {
	if old, ok := q.keyByJob[jobID]; ok {
		q.tree.Delete(entry[T]{key: old})
		delete(q.keyByJob, jobID)
	}
}

// Len returns the number of jobs in the queue.
func (q *Queue[T]) Len() int { return len(q.keyByJob) }

// Each calls yield for each job in order until yield returns false. yield must not modify the queue.
func (q *Queue[T]) Each(yield func(Key, T) bool) {
	q.tree.Scan(func(e entry[T]) bool { return yield(e.key, e.value) })
}
