package scheduler

import (
	"slices"
	"testing"
)

// TestDrainedMachineSetIsEmpty: a set gives each machine once, sorted by name, and is then empty and usable again.
func TestDrainedMachineSetIsEmpty(t *testing.T) {
	set := machineSet{}
	set.add("b")
	set.addAll(map[string]struct{}{"c": {}, "b": {}, "a": {}})
	if names := set.drain(); !slices.Equal(names, []string{"a", "b", "c"}) {
		t.Errorf("drained: %v", names)
	}
	if names := set.drain(); len(names) != 0 {
		t.Errorf("drained again: %v", names)
	}
	if set.add("d"); len(set) != 1 {
		t.Errorf("after another machine: %v", set)
	}
}
