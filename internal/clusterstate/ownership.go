package clusterstate

import "sableusher/internal/record"

// Shard is a shard's ownership.
type Shard struct {
	record.Shard
	ModRevision uint64
}

// Node is a node's live session.
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
