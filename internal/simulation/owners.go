package simulation

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// LeaderIndex returns the index of the controller that the store records as the leader. If there is none, it returns
// the controller that owns the most shards.
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

// LeaderName returns the name of the controller at LeaderIndex.
func (r *Region) LeaderName() string { return r.ControllerName(r.LeaderIndex()) }

// leaderToken returns the leader's fencing token, or 0 if there is no record of one.
func (r *Region) leaderToken() uint64 { return r.shardOwner(record.LeaderShard).FencingToken }

// shardTokenSum returns the sum of the shards' fencing tokens, which rises when any of them rises.
func (r *Region) shardTokenSum() (sum uint64) {
	for shard := range r.Settings.Deployment.NodeCount {
		sum += r.shardOwner(shard).FencingToken
	}
	return sum
}

// shardOwner returns the record of a shard's owner, or the zero value if there is none.
func (r *Region) shardOwner(shard int) record.Shard {
	var owner record.Shard
	_ = wire.Decode(r.KV.Row(record.ShardKey(shard)).Value, &owner)
	return owner
}
