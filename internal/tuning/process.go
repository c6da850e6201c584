package tuning

import "time"

// Constants of the process: memory and shutdown.
const (
	// GoMemoryLimitShare is the share of the machine's memory limit that is set as the Go runtime's memory limit,
	// which covers the heap and the goroutine stacks. The rest is for memory that the Go runtime does not manage: the
	// program's code, the C library and the stacks of operating system threads.
	GoMemoryLimitShare = 0.7
	// GCPercent is the growth of the heap at which a garbage collection starts, in percent of the live heap. It may
	// be high, since the live heap is a small part of the memory limit, which still applies.
	GCPercent = 300
	// ShutdownGrace bounds the duration of an orderly shutdown.
	ShutdownGrace = 2 * time.Second
)
