package clusterstate

import (
	"maps"

	"sableusher/internal/wire"
)

// Catalog holds the machine types that can be rented. They are stored in one record, or in one record per type if a
// single record would be too long.
type Catalog struct {
	Types       map[string]wire.MachineType // by name, merged from all records
	ModRevision uint64                      // of the record of all types; 0 if there is none

	combined []wire.MachineType          // from the record of all types
	single   map[string]wire.MachineType // from the records of single types, by name
}

func newCatalog() Catalog {
	return Catalog{Types: map[string]wire.MachineType{}, single: map[string]wire.MachineType{}}
}

// HasSingleTypeRecords reports whether records of single machine types exist. The caller must hold the State's lock.
func (c *Catalog) HasSingleTypeRecords() bool { return len(c.single) > 0 }

// rebuild merges the types of all records into Types. The record of a single type takes precedence over the record
// of all types.
func (c *Catalog) rebuild() {
	types := maps.Clone(c.single)
	for _, machineType := range c.combined {
		if _, ok := types[machineType.Name]; !ok || c.ModRevision == 0 {
			types[machineType.Name] = machineType
		}
	}
	c.Types = types
}

func (s *State) putCatalog(change recordChange, catalog wire.Catalog) {
	s.Catalog.combined, s.Catalog.ModRevision = catalog.Types, change.modRevision
	s.Catalog.rebuild()
}

func (s *State) putMachineType(change recordChange, machineType wire.MachineType) {
	s.Catalog.single[machineType.Name] = machineType
	s.Catalog.rebuild()
}
