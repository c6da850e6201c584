package scheduler

import (
	"maps"
	"slices"
)

// machineSet is a set of machines, by name, that are to be processed.
type machineSet map[string]struct{}

// add adds a machine to the set.
func (s machineSet) add(name string) { s[name] = struct{}{} }

// addAll adds machines to the set.
func (s machineSet) addAll(names map[string]struct{}) { maps.Copy(s, names) }

// drain empties the set and returns its machines sorted by name.
func (s machineSet) drain() []string {
	names := slices.Sorted(maps.Keys(s))
	clear(s)
	return names
}
