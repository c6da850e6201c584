package tuning

import "time"

// Constants of the process.
const (
	// GoHeapMemoryShare is the share of the machine's memory limit that is set as the Go runtime's memory limit. The
	// rest is for stacks, code and the C library.
	GoHeapMemoryShare = 0.7
	// GCPercent is the growth of the heap over the live heap at which a garbage collection starts, in percent. The
	// live heap is a small part of the memory limit, which still applies.
	GCPercent = 300
	// ShutdownGrace bounds the duration of an orderly shutdown.
	ShutdownGrace = 2 * time.Second
)
