package failuredetector

import (
	"maps"
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// peerAnswer is what the peers said of a suspected machine.
type peerAnswer struct {
	receivedAt time.Time
	node       string // that has heard the machine; empty: none has
}

// peerAnswers is what the peers said of suspected machines, and when they were last asked.
type peerAnswers struct {
	answers map[string]peerAnswer
	askedAt time.Time
}

// RecordPeerAnswers takes in which node has heard which of the machines that were asked about.
func (d *Detector) RecordPeerAnswers(now time.Time, asked []string, heardBy map[string]string) {
	if d.peers.answers == nil {
		d.peers.answers = map[string]peerAnswer{}
	}
	for _, name := range asked {
		d.peers.answers[name] = peerAnswer{receivedAt: now, node: heardBy[name]}
	}
}

// uncertainMachines gives the names of the suspected machines and of those that are probed: the answers about
// them must be here by the time they are needed.
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

// prune forgets the answers about machines that are not uncertain any more, and those that are too old to
// prove anything.
func (p *peerAnswers) prune(now time.Time, uncertain map[string]bool) {
	maps.DeleteFunc(p.answers, func(name string, answer peerAnswer) bool {
		return !uncertain[name] || now.Sub(answer.receivedAt) > 2*tuning.PeerQueryInterval
	})
}

// machinesToAskAbout gives the uncertain machines in the order of their names if the peers are to be asked now.
func (p *peerAnswers) machinesToAskAbout(now time.Time, uncertain map[string]bool) []string {
	if len(uncertain) == 0 || now.Sub(p.askedAt) < tuning.PeerQueryInterval {
		return nil
	}
	p.askedAt = now
	return slices.Sorted(maps.Keys(uncertain))
}

// reportsToNoPeer tells whether the peers were asked about a machine and none has heard it.
func (p *peerAnswers) reportsToNoPeer(name string) bool {
	answer, ok := p.answers[name]
	return ok && answer.node == ""
}

// shardTransfers gives the shards of which one other node hears more than half of the machines that are up, and
// that node. A shard that this node has not had for tuning.ShardTransferMinOwned stays.
func (p *peerAnswers) shardTransfers(now time.Time, machines []Machine) map[int]string {
	up := map[int]int{}
	heardBy := map[int]map[string]int{}
	for i := range machines {
		machine := &machines[i]
		if !machine.Up || now.Sub(machine.OwnedSince) < tuning.ShardTransferMinOwned {
			continue
		}
		up[machine.Shard]++
		if node := p.answers[machine.Name].node; node != "" {
			if heardBy[machine.Shard] == nil {
				heardBy[machine.Shard] = map[string]int{}
			}
			heardBy[machine.Shard][node]++
		}
	}
	var transfers map[int]string
	for shard, nodes := range heardBy {
		for node, heard := range nodes {
			if 2*heard <= up[shard] {
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
