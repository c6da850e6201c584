package tuning

import "time"

// Process.
const (
	// GoHeapMemoryShare of the memory limit is given to Go's heap limit; the rest is stacks, code and the C
	// library.
	GoHeapMemoryShare = 0.7
	// GCPercent lets the heap grow to this much above what is live before it is collected; the live heap is a small
	// part of the memory limit, which still holds.
	GCPercent = 300
	// ShutdownGrace is how long an orderly shutdown may take.
	ShutdownGrace = 2 * time.Second
)
