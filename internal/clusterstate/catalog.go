package clusterstate

import (
	"maps"

	"sableusher/internal/wire"
)

// Catalog is the machine types that can be rented. They stand in one record, or where that would be too long
// in one record each.
type Catalog struct {
	Types       map[string]wire.MachineType // by name, of all records
	ModRevision uint64                      // of the record with all types; 0: there is none

	combined []wire.MachineType          // from the record with all types
	single   map[string]wire.MachineType // from records of one type, by name
}

func newCatalog() Catalog {
	return Catalog{Types: map[string]wire.MachineType{}, single: map[string]wire.MachineType{}}
}

// KeptByType reports whether there are records of single types. Callers hold the lock.
func (c *Catalog) KeptByType() bool { return len(c.single) > 0 }

// rebuild puts the types of all records together.
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
