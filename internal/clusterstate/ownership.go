package clusterstate

import "sableusher/internal/record"

// Shard is the ownership record of a shard, with its mod revision.
type Shard struct {
	record.Shard
	ModRevision uint64
}

// Node is the record of a node's live session, with its mod revision.
type Node struct {
	record.Node
	ModRevision uint64
}

func (s *State) putShard(change recordChange, shard record.Shard) {
	s.Shards[record.ParseShardKey(change.key)] = Shard{Shard: shard, ModRevision: change.modRevision}
}

func (s *State) deleteShard(change recordChange) { delete(s.Shards, record.ParseShardKey(change.key)) }

func (s *State) putNode(change recordChange, node record.Node) {
	s.Nodes[change.name] = Node{Node: node, ModRevision: change.modRevision}
}

func (s *State) deleteNode(change recordChange) { delete(s.Nodes, change.name) }
