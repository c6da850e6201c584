package simulation

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// anyHost in a partition stands for every host.
const anyHost = "*"

// Names of the hosts that are no machine and no controller.
const (
	hostKV    = "state"
	hostCloud = "cloud"
	hostUsers = "users"
)

// Partition interrupts what passes between two hosts, or between some hosts, such as those of a zone, and
// all others.
type Partition struct {
	From, To      string // names of hosts; anyHost matches any
	IsolatedHosts map[string]bool
	DeliverLate   bool // messages arrive once the partition ends; otherwise connections are reset
	Until         time.Time
}

// separates tells whether messages between two hosts are interrupted.
func (p *Partition) separates(source, destination string) bool {
	return time.Now().Before(p.Until) && (p.connects(source, destination) || p.connects(destination, source) ||
		p.IsolatedHosts[source] != p.IsolatedHosts[destination])
}

func (p *Partition) connects(from, to string) bool {
	return matchesHost(p.From, from) && matchesHost(p.To, to)
}

func matchesHost(pattern, host string) bool {
	return pattern != "" && (pattern == anyHost || pattern == host)
}

// FakeNetwork carries requests between hosts by calling their handlers. It is safe for concurrent use.
type FakeNetwork struct {
	mu                sync.Mutex // guards all that follows
	random            *rand.Rand
	hosts             map[string]*Host // by address
	partitions        []Partition
	maxExtraLatency   time.Duration
	extraLatencyUntil time.Time
}

// Host is what listens at one address.
type Host struct {
	Name       string
	Handler    http.Handler
	Responsive func() bool // false while it hangs: nothing is answered, and connections are not reset
}

// NewFakeNetwork makes a network without hosts.
func NewFakeNetwork(random *rand.Rand) *FakeNetwork {
	return &FakeNetwork{random: random, hosts: map[string]*Host{}}
}

// Listen puts a host at an address; nil takes it away, so that connections are refused.
func (n *FakeNetwork) Listen(address string, host *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host == nil {
		delete(n.hosts, address)
	} else {
		n.hosts[address] = host
	}
}

// AddPartition adds a partition to those there are.
func (n *FakeNetwork) AddPartition(partition Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = append(n.partitions, partition)
}

// AddLatency lets every packet take up to so much longer until a time.
func (n *FakeNetwork) AddLatency(maximum time.Duration, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraLatency, n.extraLatencyUntil = maximum, until
}

// host gives what listens at an address, nil if nothing does.
func (n *FakeNetwork) host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// activePartition gives the first partition that separates two hosts now.
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

// latency draws how long a packet takes.
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

// transmit lets a packet travel between two hosts, and wait while a partition holds it
// back; false if a partition resets its connection.
func (n *FakeNetwork) transmit(source, destination string) bool {
	time.Sleep(n.latency())
	partition, ok := n.activePartition(source, destination)
	if ok && partition.DeliverLate {
		time.Sleep(time.Until(partition.Until) + n.latency())
	}
	return !ok || partition.DeliverLate
}
