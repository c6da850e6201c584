package clusterstate

import (
	"log/slog"
	"sync"

	"sableusher/internal/record"
)

// State is a node's view of the records. Its lock guards everything in it, the entries of its maps included;
// holders of the lock may read them but never change them. Writers use BeginUpdate and EndUpdate, not Lock.
type State struct {
	sync.RWMutex
	ShardCount int

	Jobs     map[string]*Job // also jobs of which only chunks were seen, see Job.HasRecord
	Machines map[string]*Machine
	Shards   map[int]Shard // with record.LeaderShard
	Nodes    map[string]Node
	Quotas   map[string]Quota // by team
	Rentals  map[string]Rental
	Cells    map[string]*Cell
	Catalog  Catalog

	// SchemaVersion is the one in which records may be written.
	SchemaVersion            int
	SchemaVersionModRevision uint64

	// UsageByShard is what bound tasks take, by the shard whose grant they are charged to and by team.
	UsageByShard []map[string]record.Resources
	// MachinesByShard lists the machines of each shard by name.
	MachinesByShard [][]*Machine
	// OrphanBindings are bindings to machines that no record knows, by machine.
	OrphanBindings map[string]map[record.TaskRef]Binding

	rentalByMachine    map[string]string // the open rental that lists a machine
	longestMachineName int               // in bytes, of all machines so far
	dependencies       dependencyIndex
	changes            changeNotifier
	log                *slog.Logger
}

// New returns an empty view of a cell with so many shards.
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
