package tuning

import "time"

// Peers.
const (
	// PeerTimeout bounds a query to another node: it is a hint, not worth waiting for.
	PeerTimeout = 800 * time.Millisecond
	// PeerQueryMaxMachines bounds the machines in one query.
	PeerQueryMaxMachines = 1000
	// PeerMessageMaxBytes bounds a message, in bytes.
	PeerMessageMaxBytes = 512 << 10
	// RemoteImagesInterval is the interval at which the others' images are asked for: some 30 KiB an answer at
	// hundreds of machines.
	RemoteImagesInterval = 3 * time.Second
	// PeerMaxStreams bounds the queries served at once.
	PeerMaxStreams = 32
	// PeerQueryInterval is the shortest time between two queries.
	PeerQueryInterval = 1500 * time.Millisecond
	// HandOffHold is how long a shard stays away from a home node that handed it off for want of its agents'
	// heartbeats.
	HandOffHold = 40 * time.Second
)
