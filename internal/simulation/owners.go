package simulation

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// LeaderIndex gives the leader as the records say; if there is none, the controller that owns most shards.
func (r *Region) LeaderIndex() int {
	owned := map[string]int{}
	owned[r.shardOwner(record.LeaderShard).Owner] = len(r.controllers) + 1
	for shard := range r.Settings.Deployment.NodeCount {
		owned[r.shardOwner(shard).Owner]++
	}
	most, index := -1, 0
	for i := range r.controllers {
		if count := owned[r.ControllerName(i)]; count > most {
			most, index = count, i
		}
	}
	return index
}

// LeaderName is the name of the controller that LeaderIndex gives.
func (r *Region) LeaderName() string { return r.ControllerName(r.LeaderIndex()) }

// leaderToken gives the leader's fencing token.
func (r *Region) leaderToken() uint64 { return r.shardOwner(record.LeaderShard).FencingToken }

// shardTokenSum adds the shards' fencing tokens up: it rises with each of them.
func (r *Region) shardTokenSum() (sum uint64) {
	for shard := range r.Settings.Deployment.NodeCount {
		sum += r.shardOwner(shard).FencingToken
	}
	return sum
}

// shardOwner gives the record of a shard's owner; the zero value if nobody owns it.
func (r *Region) shardOwner(shard int) record.Shard {
	var owner record.Shard
	_ = wire.Decode(r.KV.Row(record.ShardKey(shard)).Value, &owner)
	return owner
}
