// Package config reads and checks the platform's settings (TOML) and the
// operators' own (XML).
package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sableusher/internal/tuning"
)

// Settings is what the platform hands to every node.
type Settings struct {
	Node     string    `toml:"node_name"`
	Zone     string    `toml:"area"`
	Listen   string    `toml:"listen"`
	Back     string    `toml:"back"`
	Siblings []Sibling `toml:"siblings"`
	Outside  struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Sibling is another controller node.
type Sibling struct {
	Node     string `toml:"node_name"`
	Zone     string `toml:"area"`
	Endpoint string `toml:"endpoint"`
}

// Deployment describes the region.
type Deployment struct {
	Size        int         `toml:"size"`
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
		// Next holds the limits that the service will have from some moment on,
		// without notice; nil if none are known.
		Next *StateLimits `toml:"next"`
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

// StateLimits are limits of the state service that are to come; 0 means that
// one stays as it is.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim of a class.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Load reads the platform's file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks settings; unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	var errs []error
	bad := func(f string, a ...any) { errs = append(errs, fmt.Errorf(f, a...)) }
	addr := func(name, v string) {
		if _, err := net.ResolveTCPAddr("tcp4", v); err != nil || v == "" {
			bad("%s: %q is not an address", name, v)
		}
	}
	num := func(name string, v, lo, hi float64) {
		if math.IsNaN(v) || v < lo || v > hi {
			bad("%s: %v is not within %v to %v", name, v, lo, hi)
		}
	}
	if s.Node == "" {
		bad("node_name: missing")
	}
	addr("listen", s.Listen)
	addr("back", s.Back)
	addr("outside.cloud", s.Outside.Cloud)
	addr("outside.state", s.Outside.State)
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Siblings {
		if p.Node == "" || seen[p.Node] {
			bad("siblings[%d].node_name: %q is missing or twice", i, p.Node)
		}
		seen[p.Node] = true
		addr(fmt.Sprintf("siblings[%d].endpoint", i), p.Endpoint)
	}
	d := &s.Deployment
	num("deployment.size", float64(d.Size), 1, 1000)
	if d.Size != len(s.Siblings)+1 {
		bad("deployment.size: %d, but there are %d siblings", d.Size, len(s.Siblings))
	}
	zones := map[string]bool{}
	for i, z := range d.Zones {
		if z == "" || zones[z] {
			bad("deployment.zones[%d]: %q is missing or twice", i, z)
		}
		zones[z] = true
	}
	if !zones[s.Zone] {
		bad("area: zone %q is not one of the deployment's", s.Zone)
	}
	for i, p := range s.Siblings {
		if !zones[p.Zone] {
			bad("siblings[%d].area: zone %q is not one of the deployment's", i, p.Zone)
		}
	}
	num("deployment.time_bound_ms", d.TimeBoundMs, 0, 1e6)
	names := map[string]bool{}
	for i, t := range d.Teams {
		if t.Name == "" || names[t.Name] {
			bad("deployment.teams[%d].name: %q is missing or twice", i, t.Name)
		}
		names[t.Name] = true
		num(t.Name+".cpus", t.CPUs, 0, 1e9)
		num(t.Name+".cpus_max", t.CPUsMax, 0, 1e9)
		num(t.Name+".gpus", t.GPUs, 0, 1e9)
		num(t.Name+".gpus_max", t.GPUsMax, 0, 1e9)
	}
	num("deployment.workers.report_s", d.Workers.ReportS, 0.05, 600)
	num("deployment.workers.lease_s", d.Workers.LeaseS, d.Workers.ReportS, 3600)
	num("deployment.workers.gang_wait_s", d.Workers.GangWaitS, 0.1, 86400)
	num("deployment.workers.gang_peer_s", d.Workers.GangPeerS, 0.1, 3600)
	num("deployment.workers.cancel_s", d.Workers.CancelS, d.Workers.LeaseS+1, 86400)
	num("deployment.state.rps", d.State.RPS, 1, 1e7)
	num("deployment.state.write_rps", d.State.WriteRPS, 1, 1e7)
	num("deployment.state.value_kb", d.State.ValueKB, tuning.LeastValueKB, 1<<20)
	num("deployment.state.txn_ops", float64(d.State.TxnOps), 4, 1e6)
	if n := d.State.Next; n != nil {
		opt := func(name string, v, lo, hi float64) {
			if v != 0 {
				num("deployment.state.next."+name, v, lo, hi)
			}
		}
		opt("rps", n.RPS, 1, 1e7)
		opt("write_rps", n.WriteRPS, 1, 1e7)
		opt("value_kb", n.ValueKB, tuning.LeastNextKB, 1<<20)
		opt("txn_ops", float64(n.TxnOps), tuning.LeastTxnOps, 1e6)
	}
	num("deployment.cloud.rps", d.Cloud.RPS, 0.01, 1e6)
	num("deployment.cloud.list_lag_s", d.Cloud.ListLagS, 0, 3600)
	num("deployment.machine_limits.cpu_share", d.Limits.CPUShare, 0.01, 1024)
	num("deployment.machine_limits.mem_mb", d.Limits.MemMB, 32, 1e7)
	num("deployment.machine_limits.max_sockets", float64(d.Limits.MaxSockets), 32, 1e7)
	return oneLine(errs)
}

// oneLine joins faults so that a failed start is told in a single line.
func oneLine(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	parts := make([]string, len(errs))
	for i, err := range errs {
		parts[i] = err.Error()
	}
	return errors.New(strings.Join(parts, "; "))
}

// NextState gives the state service's limits with those that are known to come:
// the smaller of each.
func (s *Settings) NextState() StateLimits {
	d := &s.Deployment.State
	l := StateLimits{RPS: d.RPS, WriteRPS: d.WriteRPS, ValueKB: d.ValueKB, TxnOps: d.TxnOps}
	if n := d.Next; n != nil {
		least(&l.RPS, n.RPS)
		least(&l.WriteRPS, n.WriteRPS)
		least(&l.ValueKB, n.ValueKB)
		least(&l.TxnOps, n.TxnOps)
	}
	return l
}

// least lowers a limit to another one, unless that is not set.
func least[T int | float64](v *T, next T) {
	if next != 0 {
		*v = min(*v, next)
	}
}

// Nodes lists all nodes by name, in the order every node agrees on.
func (s *Settings) Nodes() []string {
	names := []string{s.Node}
	for _, p := range s.Siblings {
		names = append(names, p.Node)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// Seconds turns a figure of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Lease is how long a worker keeps its tasks without an answer.
func (s *Settings) Lease() time.Duration { return Seconds(s.Deployment.Workers.LeaseS) }

// Cancel is the time by which a cancelled job's tasks must be gone.
func (s *Settings) Cancel() time.Duration { return Seconds(s.Deployment.Workers.CancelS) }

// Report is the interval of workers' reports.
func (s *Settings) Report() time.Duration { return Seconds(s.Deployment.Workers.ReportS) }
