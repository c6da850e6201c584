package failuredetector

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// peerAnswer is the peers' answer about a suspected machine.
type peerAnswer struct {
	receivedAt time.Time
	node       string // that has recently received a report from the machine; empty if none has
}

// peerAnswers has the peers' answers about suspected machines, and when they were last asked.
type peerAnswers struct {
	answers map[string]peerAnswer
	askedAt time.Time
}

// RecordPeerAnswers records the peers' answers about the machines that they were asked about. reportsTo has, by
// machine name, the node that has recently received a report from the machine.
func (d *Detector) RecordPeerAnswers(now time.Time, asked []string, reportsTo map[string]string) {
	if d.peers.answers == nil {
		d.peers.answers = map[string]peerAnswer{}
	}
	for _, name := range asked {
		d.peers.answers[name] = peerAnswer{receivedAt: now, node: reportsTo[name]}
	}
}

// uncertainMachines returns the names of the suspected machines and of those that are being probed. The probed ones
// are included so that the answers about them have arrived by the time they become suspected.
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

// prune removes the answers about machines that are not uncertain any more, and the answers that are too old to prove
// anything.
func (p *peerAnswers) prune(now time.Time, uncertain map[string]bool) {
	maps.DeleteFunc(p.answers, func(name string, answer peerAnswer) bool {
		return !uncertain[name] || now.Sub(answer.receivedAt) > 2*tuning.PeerQueryInterval
	})
}

// machinesToAskAbout returns the names of the uncertain machines, sorted, if the peers are to be asked now.
func (p *peerAnswers) machinesToAskAbout(now time.Time, uncertain map[string]bool) []string {
	if len(uncertain) == 0 || now.Sub(p.askedAt) < tuning.PeerQueryInterval {
		return nil
	}
	p.askedAt = now
	return slices.Sorted(maps.Keys(uncertain))
}

// reportsToNoPeer reports whether the peers were asked about a machine and none of them has received a report from
// it.
func (p *peerAnswers) reportsToNoPeer(name string) bool {
	answer, ok := p.answers[name]
	return ok && answer.node == ""
}

// shardTransfers returns the shards of which more than half of the machines that are up report to one other node,
// with that node. A shard stays until this node has owned it for tuning.ShardTransferMinOwned.
func (p *peerAnswers) shardTransfers(now time.Time, machines []Machine) map[int]string {
	up := map[int]int{}                   // number of machines by shard
	reportsTo := map[int]map[string]int{} // number of machines by shard and node
	for i := range machines {
		machine := &machines[i]
		if !machine.Up || now.Sub(machine.OwnedSince) < tuning.ShardTransferMinOwned {
			continue
		}
		up[machine.Shard]++
		if node := p.answers[machine.Name].node; node != "" {
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
