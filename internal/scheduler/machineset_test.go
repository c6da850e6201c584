package scheduler

import (
	"slices"
	"testing"
)

// TestDrainedMachineSetIsEmpty checks that drain returns each machine once, sorted by name, and that the set is empty
// and usable afterwards.
func TestDrainedMachineSetIsEmpty(t *testing.T) {
	set := machineSet{}
	set.add("b")
	set.addAll(map[string]struct{}{"c": {}, "b": {}, "a": {}})
	if names := set.drain(); !slices.Equal(names, []string{"a", "b", "c"}) {
		t.Errorf("first drain returned %v", names)
	}
	if names := set.drain(); len(names) != 0 {
		t.Errorf("second drain returned %v", names)
	}
	if set.add("d"); len(set) != 1 {
		t.Errorf("set after another add: %v", set)
	}
}
