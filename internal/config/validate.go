package config

import (
	"fmt"
	"math"
	"net"

	"sableusher/internal/tuning"
)

// faultCollector collects the faults of settings, so that all of them are reported together.
type faultCollector struct {
	faults []error
}

func (c *faultCollector) add(fault error) { c.faults = append(c.faults, fault) }

// addSetting adds a fault of a setting in the platform's file.
func (c *faultCollector) addSetting(setting, format string, args ...any) {
	c.add(&SettingError{Setting: setting, Problem: fmt.Sprintf(format, args...)})
}

// addElement adds a fault of an element in the operators' file.
func (c *faultCollector) addElement(element, format string, args ...any) {
	c.add(&ElementError{Element: element, Problem: fmt.Sprintf(format, args...)})
}

// checkAddress adds a fault unless address is a TCP address for IPv4.
func (c *faultCollector) checkAddress(setting, address string) {
	if _, err := net.ResolveTCPAddr("tcp4", address); err != nil || address == "" {
		c.addSetting(setting, "%q is not an address", address)
	}
}

// checkRange adds a fault unless value is between low and high, both inclusive; NaN is a fault.
func (c *faultCollector) checkRange(setting string, value, low, high float64) {
	if isOutOfRange(value, low, high) {
		c.add(&RangeError{Setting: setting, Value: value, Min: low, Max: high})
	}
}

// checkElementRange is checkRange for an element in the operators' file.
func (c *faultCollector) checkElementRange(element string, value, low, high float64) {
	c.checkRange("<"+element+">", value, low, high)
}

// checkUnique adds a fault if name is empty or already in names, and adds it to names.
func (c *faultCollector) checkUnique(setting, name string, names map[string]bool) {
	if name == "" || names[name] {
		c.addSetting(setting, "%q is missing or twice", name)
	}
	names[name] = true
}

// err returns a ValidationError with the faults, or nil if there are none.
func (c *faultCollector) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: c.faults}
}

func isOutOfRange(value, low, high float64) bool {
	return math.IsNaN(value) || value < low || value > high
}

// validate checks all settings. It returns nil or a ValidationError.
func (s *Settings) validate() error {
	var faults faultCollector
	s.checkNodes(&faults)
	s.Deployment.checkSize(len(s.Peers), &faults)
	s.checkZones(&faults)
	s.Deployment.checkTeams(&faults)
	s.Deployment.checkWorkers(&faults)
	s.Deployment.checkState(&faults)
	s.Deployment.checkCloud(&faults)
	s.Deployment.checkMachineLimits(&faults)
	return faults.err()
}

// checkNodes checks the names and addresses of the nodes, and the addresses of the services they use.
func (s *Settings) checkNodes(faults *faultCollector) {
	if s.Node == "" {
		faults.addSetting("node_name", "missing")
	}
	faults.checkAddress("listen", s.Listen)
	faults.checkAddress("back", s.BackListen)
	faults.checkAddress("outside.cloud", s.Outside.Cloud)
	faults.checkAddress("outside.state", s.Outside.State)
	names := map[string]bool{s.Node: true}
	for i, peer := range s.Peers {
		setting := fmt.Sprintf("siblings[%d]", i)
		faults.checkUnique(setting+".node_name", peer.Node, names)
		faults.checkAddress(setting+".endpoint", peer.Endpoint)
	}
}

// checkSize checks that the number of nodes is in its bounds and matches the number of peers.
func (d *Deployment) checkSize(peerCount int, faults *faultCollector) {
	faults.checkRange("deployment.size", float64(d.NodeCount), 1, maxNodes)
	if d.NodeCount != peerCount+1 {
		faults.addSetting("deployment.size", "%d, but there are %d siblings", d.NodeCount, peerCount)
	}
}

// checkZones checks the deployment's zones and that every node is in one of them.
func (s *Settings) checkZones(faults *faultCollector) {
	zones := map[string]bool{}
	for i, zone := range s.Deployment.Zones {
		faults.checkUnique(fmt.Sprintf("deployment.zones[%d]", i), zone, zones)
	}
	checkNodeZone := func(setting, zone string) {
		if !zones[zone] {
			faults.addSetting(setting, "zone %q is not one of the deployment's", zone)
		}
	}
	checkNodeZone("area", s.Zone)
	for i, peer := range s.Peers {
		checkNodeZone(fmt.Sprintf("siblings[%d].area", i), peer.Zone)
	}
}

// checkTeams checks the names and amounts of teams, and also the time bound of scheduling.
func (d *Deployment) checkTeams(faults *faultCollector) {
	faults.checkRange("deployment.time_bound_ms", d.TimeBoundMs, 0, maxTimeBoundMs)
	names := map[string]bool{}
	for i, team := range d.Teams {
		faults.checkUnique(fmt.Sprintf("deployment.teams[%d].name", i), team.Name, names)
		faults.checkRange(team.Name+".cpus", team.CPUs, 0, maxTeamAmount)
		faults.checkRange(team.Name+".cpus_max", team.CPUsMax, 0, maxTeamAmount)
		faults.checkRange(team.Name+".gpus", team.GPUs, 0, maxTeamAmount)
		faults.checkRange(team.Name+".gpus_max", team.GPUsMax, 0, maxTeamAmount)
	}
}

// checkWorkers checks the durations of agents' timing, all in seconds.
func (d *Deployment) checkWorkers(faults *faultCollector) {
	const section = "deployment.workers."
	workers := &d.Workers
	faults.checkRange(section+"report_s", workers.ReportS, minReportSeconds, maxReportSeconds)
	faults.checkRange(section+"lease_s", workers.LeaseS, workers.ReportS, maxLeaseSeconds)
	faults.checkRange(section+"gang_wait_s", workers.GangWaitS, minGangWaitSeconds, maxGangWaitSeconds)
	faults.checkRange(section+"gang_peer_s", workers.GangPeerS, minGangPeerSeconds, maxGangPeerSeconds)
	faults.checkRange(section+"cancel_s", workers.CancelS,
		workers.LeaseS+cancelAfterLeaseSeconds, maxCancelSeconds)
}

// checkState checks the current and the upcoming limits of the key-value store.
func (d *Deployment) checkState(faults *faultCollector) {
	const section = "deployment.state."
	state := &d.State
	faults.checkRange(section+"rps", state.RPS, minStoreRPS, maxStoreRPS)
	faults.checkRange(section+"write_rps", state.WriteRPS, minStoreRPS, maxStoreRPS)
	faults.checkRange(section+"value_kb", state.ValueKB, tuning.MinValueLimitKB, maxStoreValueKB)
	faults.checkRange(section+"txn_ops", float64(state.TxnOps), minStoreTxnOps, maxStoreTxnOps)
	if state.Next != nil {
		state.Next.validate(faults)
	}
}

// validate checks upcoming limits; a limit of 0 does not change and is not checked.
func (l *KVLimits) validate(faults *faultCollector) {
	checkIfSet := func(name string, value, low, high float64) {
		if value != 0 {
			faults.checkRange("deployment.state.next."+name, value, low, high)
		}
	}
	checkIfSet("rps", l.RPS, minStoreRPS, maxStoreRPS)
	checkIfSet("write_rps", l.WriteRPS, minStoreRPS, maxStoreRPS)
	checkIfSet("value_kb", l.ValueKB, tuning.MinUpcomingValueLimitKB, maxStoreValueKB)
	checkIfSet("txn_ops", float64(l.TxnOps), tuning.MinUpcomingTxnOps, maxStoreTxnOps)
}

func (d *Deployment) checkCloud(faults *faultCollector) {
	faults.checkRange("deployment.cloud.rps", d.Cloud.RPS, minCloudRPS, maxCloudRPS)
	faults.checkRange("deployment.cloud.list_lag_s", d.Cloud.ListLagS, 0, maxCloudListLagSeconds)
}

func (d *Deployment) checkMachineLimits(faults *faultCollector) {
	const section = "deployment.machine_limits."
	limits := &d.Limits
	faults.checkRange(section+"cpu_share", limits.CPUShare, minCPUShare, maxCPUShare)
	faults.checkRange(section+"mem_mb", limits.MemMB, minMemoryMB, maxMemoryMB)
	faults.checkRange(section+"max_sockets", float64(limits.MaxSockets), minSockets, maxSockets)
}
