package simulation

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// anyHost matches every host in a partition.
const anyHost = "*"

// Names of the hosts that are neither machines nor controllers.
const (
	hostKV    = "state"
	hostCloud = "cloud"
	hostUsers = "users"
)

// Partition blocks the messages between the hosts From and To in both directions, or between a set of hosts, such as
// those of a zone, and all others.
type Partition struct {
	From, To      string // names of hosts, or anyHost, in either order; empty matches none
	IsolatedHosts map[string]bool
	DeliverLate   bool // messages are delivered when the partition ends; otherwise connections are reset
	Until         time.Time
}

// separates reports whether the partition is active and blocks messages between two hosts.
func (p *Partition) separates(source, destination string) bool {
	return time.Now().Before(p.Until) && (p.matches(source, destination) || p.matches(destination, source) ||
		p.IsolatedHosts[source] != p.IsolatedHosts[destination])
}

// matches reports whether From and To match two hosts in this order.
func (p *Partition) matches(from, to string) bool {
	return matchesHost(p.From, from) && matchesHost(p.To, to)
}

func matchesHost(pattern, host string) bool {
	return pattern != "" && (pattern == anyHost || pattern == host)
}

// FakeNetwork carries requests between hosts by calling their handlers. It is safe for concurrent use.
type FakeNetwork struct {
	mu                sync.Mutex // guards the fields below
	random            *rand.Rand
	hosts             map[string]*Host // by address
	partitions        []Partition
	maxExtraLatency   time.Duration
	extraLatencyUntil time.Time
}

// Host is a server that listens at one address.
type Host struct {
	Name       string
	Handler    http.Handler
	Responsive func() bool // false while the host hangs: requests wait, and connections are not reset
}

// NewFakeNetwork returns a network without hosts.
func NewFakeNetwork(random *rand.Rand) *FakeNetwork {
	return &FakeNetwork{random: random, hosts: map[string]*Host{}}
}

// Listen registers the host that listens at an address. If host is nil, connections to the address are refused.
func (n *FakeNetwork) Listen(address string, host *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host == nil {
		delete(n.hosts, address)
	} else {
		n.hosts[address] = host
	}
}

// AddPartition adds a partition to the existing ones.
func (n *FakeNetwork) AddPartition(partition Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = append(n.partitions, partition)
}

// AddLatency adds a random latency below a maximum to every message until a time.
func (n *FakeNetwork) AddLatency(maximum time.Duration, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraLatency, n.extraLatencyUntil = maximum, until
}

// host returns the host that listens at an address, or nil if there is none.
func (n *FakeNetwork) host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// activePartition returns the first active partition that separates two hosts.
func (n *FakeNetwork) activePartition(source, destination string) (Partition, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, partition := range n.partitions {
		if partition.separates(source, destination) {
			return partition, true
		}
	}
	return Partition{}, false
}

// latency returns the random latency of one message: 1 to 5 ms, 200 ms more for one message in a hundred, and the
// extra latency that AddLatency has set.
func (n *FakeNetwork) latency() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	latency := time.Duration(n.random.IntN(5)+1) * time.Millisecond
	if n.random.IntN(100) == 0 {
		latency += 200 * time.Millisecond
	}
	if time.Now().Before(n.extraLatencyUntil) {
		latency += time.Duration(n.random.Int64N(int64(n.maxExtraLatency)))
	}
	return latency
}

// transmit waits for the latency of a message between two hosts, and for the end of a partition that delivers late. It
// returns false if a partition resets the connection.
func (n *FakeNetwork) transmit(source, destination string) bool {
	time.Sleep(n.latency())
	partition, ok := n.activePartition(source, destination)
	if ok && partition.DeliverLate {
		time.Sleep(time.Until(partition.Until) + n.latency())
	}
	return !ok || partition.DeliverLate
}
