package preemption

import (
	"testing"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestSearchFindsMachinesWherePreemptionFreesCapacity checks that a machine is a candidate only if it is in an allowed
// zone and not reserved, and if the task does not fit on it now but would fit without the preemptible tasks of the same
// or a lower priority. It also checks that the search returns at most Limit machines.
func TestSearchFindsMachinesWherePreemptionFreesCapacity(t *testing.T) {
	gpus := func(n float64) record.Resources { return record.Resources{GPUs: n} }
	preemptible := func(rank int, amount float64) (byRank [wire.PriorityCount]record.Resources) {
		byRank[rank] = gpus(amount)
		return byRank
	}
	const searchRank = 1
	tests := []struct {
		name      string
		machine   binpack.MachineInfo
		rank      int     // rank of the preemptible tasks
		amount    float64 // GPUs that they use
		candidate bool
	}{
		{"enough of lower priority", binpack.MachineInfo{Free: gpus(1)}, searchRank + 1, 1, true},
		{"enough of the same priority", binpack.MachineInfo{Free: gpus(0)}, searchRank, 2, true},
		{"fits without preemption", binpack.MachineInfo{Free: gpus(2)}, searchRank, 2, false},
		{"too little", binpack.MachineInfo{Free: gpus(0)}, searchRank, 1, false},
		{"only of higher priority", binpack.MachineInfo{Free: gpus(0)}, searchRank - 1, 2, false},
		{"reserved", binpack.MachineInfo{Free: gpus(0), ReservedFor: "other"}, searchRank, 2, false},
		{"zone not allowed", binpack.MachineInfo{
			Free: gpus(0), Machine: &clusterstate.Machine{Machine: record.Machine{Zone: "west"}},
		}, searchRank, 2, false},
	}
	search := Search{
		Request: &binpack.Request{Spec: &wire.JobSpec{GPUs: 2}, Need: gpus(2)}, Rank: searchRank, Limit: 1,
		Zones: &binpack.ZoneConstraint{PinnedZone: "east", PlacementKnown: true, MaxPerZone: 10},
	}
	for _, test := range tests {
		machine := &test.machine
		if machine.Machine == nil {
			machine.Machine = &clusterstate.Machine{Machine: record.Machine{Zone: "east"}}
		}
		machine.Machine.PreemptibleByRank = preemptible(test.rank, test.amount)
		found := search.Candidates([]*binpack.MachineInfo{machine, machine})
		if want := map[bool]int{true: 1}[test.candidate]; len(found) != want {
			t.Errorf("%s: %d candidates, want %d", test.name, len(found), want)
		}
	}
}
