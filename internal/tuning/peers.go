package tuning

import "time"

// Constants of the calls between controller nodes.
const (
	// PeerTimeout bounds a call to a node of this or of another cell. Safety does not depend on the responses, so a
	// longer wait is not worthwhile.
	PeerTimeout = 800 * time.Millisecond
	// PeerQueryMaxMachines is the maximum number of machines in one query about agents' heartbeats; the queried node
	// ignores further ones.
	PeerQueryMaxMachines = 1000
	// PeerMessageMaxBytes bounds a received message, in bytes.
	PeerMessageMaxBytes = 512 << 10
	// RemoteImagesInterval is the interval of the queries for the images on other nodes' machines. A response takes
	// about 30 KiB at hundreds of machines.
	RemoteImagesInterval = 3 * time.Second
	// PeerMaxStreams bounds the concurrent calls on one connection from another node.
	PeerMaxStreams = 32
	// PeerQueryInterval is the shortest interval between two queries about agents' heartbeats.
	PeerQueryInterval = 1500 * time.Millisecond
	// TransferredShardReturnDelay is how long a shard is not returned to its home node after that node transferred
	// it because it did not receive the heartbeats of the shard's agents.
	TransferredShardReturnDelay = 40 * time.Second
)
