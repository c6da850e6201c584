package failuredetector

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// peerResponse is the peers' combined response about a suspected machine.
type peerResponse struct {
	receivedAt time.Time
	node       string // that has recently received a report from the machine; empty if none has
}

// peerResponses has the peers' responses about suspected machines, and when they were last queried.
type peerResponses struct {
	responses map[string]peerResponse
	queriedAt time.Time
}

// RecordPeerResponses records the peers' responses about the machines that they were queried about. reportsTo has, by
// machine name, the node that has recently received a report from the machine.
func (d *Detector) RecordPeerResponses(now time.Time, queried []string, reportsTo map[string]string) {
	if d.peers.responses == nil {
		d.peers.responses = map[string]peerResponse{}
	}
	for _, name := range queried {
		d.peers.responses[name] = peerResponse{receivedAt: now, node: reportsTo[name]}
	}
}

// uncertainMachines returns the names of the suspected machines and of those that are being probed. The probed ones
// are included so that the responses about them have arrived by the time they become suspected.
func uncertainMachines(suspected []*Machine, probed []string) map[string]bool {
	names := make(map[string]bool, len(suspected)+len(probed))
	for _, machine := range suspected {
		names[machine.Name] = true
	}
	for _, name := range probed {
		names[name] = true
	}
	return names
}

// prune removes the responses about machines that are not uncertain any more, and those that are too old to prove
// anything.
func (p *peerResponses) prune(now time.Time, uncertain map[string]bool) {
	maps.DeleteFunc(p.responses, func(name string, response peerResponse) bool {
		return !uncertain[name] || now.Sub(response.receivedAt) > 2*tuning.PeerQueryInterval
	})
}

// machinesToQuery returns the names of the uncertain machines, sorted, if the peers are to be queried now.
func (p *peerResponses) machinesToQuery(now time.Time, uncertain map[string]bool) []string {
	if len(uncertain) == 0 || now.Sub(p.queriedAt) < tuning.PeerQueryInterval {
		return nil
	}
	p.queriedAt = now
	return slices.Sorted(maps.Keys(uncertain))
}

// reportsToNoPeer reports whether the peers were queried about a machine and none of them has received a report from
// it.
func (p *peerResponses) reportsToNoPeer(name string) bool {
	response, ok := p.responses[name]
	return ok && response.node == ""
}

// shardTransfers returns the shards of which more than half of the machines that are up report to one other node,
// with that node. A shard stays until this node has owned it for tuning.ShardTransferMinOwned.
func (p *peerResponses) shardTransfers(now time.Time, machines []Machine) map[int]string {
	up := map[int]int{}                   // number of machines by shard
	reportsTo := map[int]map[string]int{} // number of machines by shard and node
	for i := range machines {
		machine := &machines[i]
		if !machine.Up || now.Sub(machine.OwnedSince) < tuning.ShardTransferMinOwned {
			continue
		}
		up[machine.Shard]++
		if node := p.responses[machine.Name].node; node != "" {
			if reportsTo[machine.Shard] == nil {
				reportsTo[machine.Shard] = map[string]int{}
			}
			reportsTo[machine.Shard][node]++
		}
	}
	var transfers map[int]string
	for shard, nodes := range reportsTo {
		for node, reporting := range nodes {
			if 2*reporting <= up[shard] {
				continue
			}
			if transfers == nil {
				transfers = map[int]string{}
			}
			transfers[shard] = node
		}
	}
	return transfers
}
