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

func (s *State) putShard(change recordChange) error {
	shard, err := decode[record.Shard](change)
	if err != nil {
		return err
	}
	s.Shards[record.ParseShardKey(change.key)] = Shard{Shard: shard, ModRevision: change.modRevision}
	return nil
}

func (s *State) deleteShard(change recordChange) { delete(s.Shards, record.ParseShardKey(change.key)) }

func (s *State) putNode(change recordChange) error {
	node, err := decode[record.Node](change)
	if err != nil {
		return err
	}
	s.Nodes[change.name] = Node{Node: node, ModRevision: change.modRevision}
	return nil
}

func (s *State) deleteNode(change recordChange) { delete(s.Nodes, change.name) }
