package config

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is what the platform hands to a controller node.
type Settings struct {
	Node       string `toml:"node_name"`
	Zone       string `toml:"area"`
	Listen     string `toml:"listen"`   // address for users and agents
	BackListen string `toml:"back"`     // address for the other controller nodes
	Peers      []Peer `toml:"siblings"` // all controller nodes but this one
	Outside    struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Peer is another controller node.
type Peer struct {
	Node     string `toml:"node_name"`
	Zone     string `toml:"area"`
	Endpoint string `toml:"endpoint"` // the other node's Back address
}

// Deployment describes the region: its nodes, zones, teams, and the limits of the services
// that nodes use. Every node has the same.
type Deployment struct {
	NodeCount   int         `toml:"size"`
	Zones       []string    `toml:"zones"`
	TimeBoundMs float64     `toml:"time_bound_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     struct {
		ReportS   float64 `toml:"report_s"`
		LeaseS    float64 `toml:"lease_s"`
		GangWaitS float64 `toml:"gang_wait_s"`
		GangPeerS float64 `toml:"gang_peer_s"`
		CancelS   float64 `toml:"cancel_s"`
	} `toml:"workers"`
	State struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
		// Next holds limits that the key-value store will have from some moment on,
		// without notice; nil if none are known.
		Next *KVLimits `toml:"next"`
	} `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Limits struct {
		CPUShare   float64 `toml:"cpu_share"`
		MemMB      float64 `toml:"mem_mb"`
		MaxSockets int     `toml:"max_sockets"`
	} `toml:"machine_limits"`
}

// KVLimits are limits of the key-value store. In settings of limits to come, 0 means
// that one stays as it is.
type KVLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Team has a guarantee and a limit (Max) of CPUs and of GPUs over all its running tasks; 0
// means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Load reads and validates the platform's file as Parse does.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(content)
}

// Parse reads and validates settings; unknown fields are ignored. Settings that can't be
// used give a ValidationError with every fault.
func Parse(content []byte) (*Settings, error) {
	var settings Settings
	if err := toml.Unmarshal(content, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := settings.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &settings, nil
}

// UpcomingKVLimits returns the limits of the key-value store that writes have to keep to: the
// smaller of each limit of today and the one that is known to come.
func (s *Settings) UpcomingKVLimits() KVLimits {
	state := &s.Deployment.State
	limits := KVLimits{
		RPS:      state.RPS,
		WriteRPS: state.WriteRPS,
		ValueKB:  state.ValueKB,
		TxnOps:   state.TxnOps,
	}
	if next := state.Next; next != nil {
		lowerTo(&limits.RPS, next.RPS)
		lowerTo(&limits.WriteRPS, next.WriteRPS)
		lowerTo(&limits.ValueKB, next.ValueKB)
		lowerTo(&limits.TxnOps, next.TxnOps)
	}
	return limits
}

// lowerTo lowers limit to bound; a bound of 0 is not set.
func lowerTo[T int | float64](limit *T, bound T) {
	if bound != 0 {
		*limit = min(*limit, bound)
	}
}

// NodeNames returns the names of all nodes in an order that is the same on every node.
func (s *Settings) NodeNames() []string {
	names := []string{s.Node}
	for _, sibling := range s.Peers {
		names = append(names, sibling.Node)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// ToDuration converts a number of seconds to a duration.
func ToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// LeaseDuration is how long an agent keeps its tasks without an answer to its heartbeats.
func (s *Settings) LeaseDuration() time.Duration { return ToDuration(s.Deployment.Workers.LeaseS) }

// CancelDeadline is the time within which a cancelled job's tasks have to be stopped.
func (s *Settings) CancelDeadline() time.Duration { return ToDuration(s.Deployment.Workers.CancelS) }

// HeartbeatInterval is the interval of agents' heartbeats.
func (s *Settings) HeartbeatInterval() time.Duration { return ToDuration(s.Deployment.Workers.ReportS) }
