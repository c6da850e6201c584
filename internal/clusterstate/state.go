package clusterstate

import (
	"log/slog"
	"sync"

	"sableusher/internal/record"
)

// State is a node's cache of the durable records. Its lock guards all fields, including the entries of the maps, which
// callers that hold the lock may read but must not modify. Updates are made between BeginUpdate and EndUpdate; other
// packages must not call Lock directly.
type State struct {
	sync.RWMutex
	ShardCount int

	Jobs     map[string]*Job // includes jobs of which only chunks were received, see Job.HasRecord
	Machines map[string]*Machine
	Shards   map[int]Shard // includes record.LeaderShard
	Nodes    map[string]Node
	Quotas   map[string]Quota // by team
	Rentals  map[string]Rental
	Cells    map[string]*Cell
	Catalog  Catalog

	// SchemaVersion is the active version: the newest one in which records may be written.
	SchemaVersion            int
	SchemaVersionModRevision uint64

	// UsageByShard is the resource usage of bound tasks, by the shard whose quota grant is charged and by team.
	UsageByShard []map[string]record.Resources
	// MachinesByShard lists the machines of each shard, sorted by name.
	MachinesByShard [][]*Machine
	// OrphanBindings holds the bindings to machines that are not in Machines, by machine name.
	OrphanBindings map[string]map[record.TaskRef]Binding

	revision           uint64            // every change up to this revision has been applied
	rentalByMachine    map[string]string // name of the open rental that lists a machine
	longestMachineName int               // in bytes, of all machines seen so far
	dependencies       dependencyIndex
	changes            changeNotifier
	log                *slog.Logger
}

// New returns the empty state of a cell with shardCount shards. Records that cannot be decoded are logged to log.
func New(shardCount int, log *slog.Logger) *State {
	s := &State{
		ShardCount:      shardCount,
		Jobs:            map[string]*Job{},
		Machines:        map[string]*Machine{},
		Shards:          map[int]Shard{},
		Nodes:           map[string]Node{},
		Quotas:          map[string]Quota{},
		Rentals:         map[string]Rental{},
		Cells:           map[string]*Cell{},
		Catalog:         newCatalog(),
		UsageByShard:    make([]map[string]record.Resources, shardCount),
		MachinesByShard: make([][]*Machine, shardCount),
		OrphanBindings:  map[string]map[record.TaskRef]Binding{},
		rentalByMachine: map[string]string{},
		dependencies:    newDependencyIndex(),
		log:             log,
	}
	for shard := range s.UsageByShard {
		s.UsageByShard[shard] = map[string]record.Resources{}
	}
	return s
}
