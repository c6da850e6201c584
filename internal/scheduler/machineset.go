package scheduler

import (
	"maps"
	"slices"
)

// machineSet is a set of machines, by name, that are to be looked at again.
type machineSet map[string]struct{}

// add puts a machine into the set.
func (s machineSet) add(name string) { s[name] = struct{}{} }

// addAll puts machines into the set.
func (s machineSet) addAll(names map[string]struct{}) { maps.Copy(s, names) }

// drain empties the set and returns what it held, sorted by name.
func (s machineSet) drain() []string {
	names := slices.Sorted(maps.Keys(s))
	clear(s)
	return names
}
