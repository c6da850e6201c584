package config

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the settings that the platform passes to a controller node. The TOML library names the Go fields
// in its errors, so renaming one changes what operators read.
type Settings struct {
	Node       string `toml:"node_name"`
	Zone       string `toml:"area"`
	Listen     string `toml:"listen"`   // address on which users and agents are served
	BackListen string `toml:"back"`     // address on which the other controller nodes are served
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
	Endpoint string `toml:"endpoint"` // the other node's BackListen
}

// Deployment describes this deployment: its nodes, zones, teams, and the limits of the services
// that nodes use. It is identical on all nodes.
type Deployment struct {
	NodeCount   int         `toml:"size"`
	Zones       []string    `toml:"zones"`
	TimeBoundMs float64     `toml:"time_bound_ms"`
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     struct {
		ReportS   float64 `toml:"report_s"`    // see HeartbeatInterval
		LeaseS    float64 `toml:"lease_s"`     // see LeaseDuration
		GangWaitS float64 `toml:"gang_wait_s"` // how long a started task waits for the other tasks of its gang
		GangPeerS float64 `toml:"gang_peer_s"` // how long a task runs while another task of its gang is missing
		CancelS   float64 `toml:"cancel_s"`    // see CancelDeadline
	} `toml:"workers"`
	State struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"` // changed keys per second
		ValueKB  float64 `toml:"value_kb"`  // size of a value in its JSON form, in KiB
		TxnOps   int     `toml:"txn_ops"`
		// Next holds the limits that the key-value store will switch to at an unknown
		// time, without notice; nil if no change is planned.
		Next *KVLimits `toml:"next"`
	} `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"` // expected lag of the cloud's list of machines
	} `toml:"cloud"`
	Limits struct {
		CPUShare   float64 `toml:"cpu_share"` // CPUs that this node may use
		MemMB      float64 `toml:"mem_mb"`    // in MiB
		MaxSockets int     `toml:"max_sockets"`
	} `toml:"machine_limits"`
}

// KVLimits are limits of the key-value store. In Deployment.State.Next, 0 means that the limit
// does not change.
type KVLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Team has a guaranteed number and a limit (Max) of CPUs and of GPUs for all its running tasks
// together; 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs. Package scheduler defines the kinds.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // counted from when the job can start; 0 means none
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // multiple of the job's own deadline; 0 means none
}

// Load reads the platform's file and parses it with Parse.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(content)
}

// Parse parses and validates the platform's settings; unknown fields are ignored. It returns a
// ValidationError with all faults for invalid settings.
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

// UpcomingKVLimits returns the limits of the key-value store that writes must respect to stay
// valid: for each limit, the smaller of the current and the upcoming value.
func (s *Settings) UpcomingKVLimits() KVLimits {
	state := &s.Deployment.State
	limits := KVLimits{
		RPS:      state.RPS,
		WriteRPS: state.WriteRPS,
		ValueKB:  state.ValueKB,
		TxnOps:   state.TxnOps,
	}
	if upcoming := state.Next; upcoming != nil {
		lowerTo(&limits.RPS, upcoming.RPS)
		lowerTo(&limits.WriteRPS, upcoming.WriteRPS)
		lowerTo(&limits.ValueKB, upcoming.ValueKB)
		lowerTo(&limits.TxnOps, upcoming.TxnOps)
	}
	return limits
}

// lowerTo lowers limit to bound if limit is greater; a bound of 0 means none.
func lowerTo[T int | float64](limit *T, bound T) {
	if bound != 0 {
		*limit = min(*limit, bound)
	}
}

// NodeNames returns the names of all nodes, sorted.
func (s *Settings) NodeNames() []string {
	names := []string{s.Node}
	for _, peer := range s.Peers {
		names = append(names, peer.Node)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// ToDuration converts a number of seconds to a duration.
func ToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// LeaseDuration returns how long an agent keeps its tasks running without a response to its heartbeats.
func (s *Settings) LeaseDuration() time.Duration { return ToDuration(s.Deployment.Workers.LeaseS) }

// CancelDeadline returns the time within which the tasks of a cancelled job must be stopped.
func (s *Settings) CancelDeadline() time.Duration { return ToDuration(s.Deployment.Workers.CancelS) }

// HeartbeatInterval returns the interval of agents' heartbeats.
func (s *Settings) HeartbeatInterval() time.Duration { return ToDuration(s.Deployment.Workers.ReportS) }
