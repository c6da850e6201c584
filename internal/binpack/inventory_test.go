package binpack

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

const testShards = 3

var (
	testZones = []string{"east", "west", "north"}
	testNow   = time.UnixMilli(1_000_000)
	testType  = wire.MachineType{Name: "m", CPUs: 8, GPUs: 4, MemoryGB: 64, Zones: testZones}
)

// testCluster is a view with machines of one type and a job for each that is in use.
type testCluster struct {
	state    *clusterstate.State
	revision uint64
}

func newTestCluster() *testCluster {
	g := &testCluster{state: clusterstate.New(testShards, slog.New(slog.NewTextHandler(io.Discard, nil)))}
	g.put("s/catalog", wire.Catalog{Types: []wire.MachineType{testType}})
	return g
}

func (g *testCluster) put(key string, v any) {
	g.revision++
	g.state.BeginUpdate()
	g.state.Put(key, wire.MustEncode(v), g.revision)
	g.state.EndUpdate()
}

func machineName(i int) string { return fmt.Sprintf("vm-%02d", i) }

// machine adds or changes a machine, with so many of its GPUs in use.
func (g *testCluster) machine(i, zone int, spot, up bool, used int) {
	g.put(record.MachineKey(machineName(i)), record.Machine{Type: "m", Zone: testZones[zone], Spot: spot, Up: up, CreatedAtMs: 1})
	var tasks []record.Task
	for k := range used {
		tasks = append(tasks, record.Task{Index: k, State: record.TaskBound, Attempt: 1, Machine: machineName(i), Session: 1})
	}
	g.put(record.JobKey("on-"+machineName(i)), record.Job{Spec: wire.JobSpec{ID: "on-" + machineName(i), Kind: wire.KindArray, TaskCount: 4, CPUs: 2, GPUs: 1, MemoryGB: 16, Image: "i"}, Tasks: tasks, SubmittedAtMs: 1})
}

func (g *testCluster) snapshot() Snapshot {
	return Snapshot{Now: testNow, State: g.state, LiveShards: make([]bool, testShards), FencingTokens: map[int]uint64{0: 1}, AssessReadiness: func(m *clusterstate.Machine, _ bool) Readiness {
		if m.Up {
			return Ready
		}
		return Pending
	}}
}

func drawMachine(t *rapid.T, g *testCluster, i int) {
	g.machine(i, rapid.IntRange(0, 2).Draw(t, "zone"), rapid.Bool().Draw(t, "spot"), rapid.IntRange(0, 3).Draw(t, "up") > 0, rapid.IntRange(0, 4).Draw(t, "used"))
}

func drawRequest(t *rapid.T) *Request {
	n := float64(rapid.IntRange(1, 4).Draw(t, "need"))
	s := &wire.JobSpec{ID: "a", Kind: wire.KindGang, TaskCount: rapid.IntRange(1, 12).Draw(t, "tasks"), CPUs: 2 * n, GPUs: n, MemoryGB: 16 * n,
		AllowSpot: rapid.Bool().Draw(t, "mayspot"), SameZone: rapid.Bool().Draw(t, "onezone"), Image: "i"}
	return &Request{Spec: s, Need: record.TaskResources(s), Remaining: s.TaskCount}
}

func freeByMachine(s *Inventory) map[string]record.Resources {
	out := map[string]record.Resources{}
	for n, node := range s.machines {
		out[n] = node.Free
	}
	return out
}

func machineNames(list []*MachineInfo) []string {
	var out []string
	for _, info := range list {
		out = append(out, info.Machine.Name)
	}
	return out
}

func filterFor(s *Inventory, request *Request) {
	s.FilterFeasible(slices.Values([]record.Resources{request.Need}))
}

// TestKeptStockEqualsNewOne: a stock that is kept over rounds and told only of what
// changed says the same as one that is built anew, whatever the rounds between used.
func TestRefreshedInventoryEqualsNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestCluster()
		news := g.state.FollowChanges()
		for i := range 12 {
			drawMachine(t, g, i)
		}
		var kept *Inventory
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				i := rapid.IntRange(0, 15).Draw(t, "machine")
				if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
					g.revision++
					g.state.BeginUpdate()
					g.state.Delete(record.MachineKey(machineName(i)))
					g.state.EndUpdate()
					continue
				}
				drawMachine(t, g, i)
			}
			kept = Refresh(kept, g.snapshot(), news.TakeMachines())
			fresh := Refresh(nil, g.snapshot())
			if !maps.Equal(freeByMachine(kept), freeByMachine(fresh)) || !slices.Equal(machineNames(kept.ready), machineNames(fresh.ready)) || !slices.Equal(machineNames(kept.pending), machineNames(fresh.pending)) {
				t.Fatalf("kept %v %v %v, new %v %v %v", freeByMachine(kept), machineNames(kept.ready), machineNames(kept.pending), freeByMachine(fresh), machineNames(fresh.ready), machineNames(fresh.pending))
			}
			a := drawRequest(t)
			filterFor(kept, a)
			kept.Allocate(a, kept.FittingMachines(a), &ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: 100}, nil)
			kept.ReserveFor(machineName(rapid.IntRange(0, 15).Draw(t, "keep")), "a")
		}
	})
}

// TestGangFindsRoomOrNone: all tasks or none, never more than a machine has free, in one
// zone where asked; and room is found wherever counting finds it.
func TestGangIsAllocatedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestCluster()
		for i := range 12 {
			drawMachine(t, g, i)
		}
		s := Refresh(nil, g.snapshot())
		a := drawRequest(t)
		filterFor(s, a)
		before, room, all := freeByMachine(s), map[string]int{}, 0
		for _, n := range s.ready {
			if Eligible(a.Spec, n.Machine) {
				c := TasksThatFit(a.Need, n.Free)
				room[n.Machine.Zone] += c
				all += c
			}
		}
		possible := all >= a.Remaining
		if a.Spec.SameZone {
			possible = slices.Max(append(slices.Collect(maps.Values(room)), 0)) >= a.Remaining
		}
		picks := s.AllocateGang(a, s.FittingMachines(a), ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: 100}, nil)
		if (picks != nil) != possible || picks != nil && len(picks) != a.Spec.TaskCount {
			t.Fatalf("%d of %d tasks placed, possible: %v", len(picks), a.Spec.TaskCount, possible)
		}
		used := map[string]int{}
		for _, n := range picks {
			used[n.Machine.Name]++
			if a.Spec.SameZone && n.Machine.Zone != picks[0].Machine.Zone || !Eligible(a.Spec, n.Machine) {
				t.Errorf("%s in %s", n.Machine.Name, n.Machine.Zone)
			}
		}
		for n, free := range before {
			if want := free.AddTimes(a.Need, -float64(used[n])); s.machines[n].Free != want || used[n] > TasksThatFit(a.Need, free) {
				t.Errorf("%s has %v left of %v after %d tasks", n, s.machines[n].Free, free, used[n])
			}
		}
	})
}

// TestExpectedRoomIsCountedOnce: what is set aside on machines coming up, and what is
// left over, make up what was asked for, and no machine is booked beyond its size.
func TestPendingCapacityIsAllocatedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestCluster()
		for i := range 12 {
			g.machine(i, rapid.IntRange(0, 2).Draw(t, "zone"), rapid.Bool().Draw(t, "spot"), false, 0)
		}
		s := Refresh(nil, g.snapshot())
		for range rapid.IntRange(1, 5).Draw(t, "jobs") {
			a := drawRequest(t)
			filterFor(s, &Request{Need: record.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}})
			if len(s.pendingBins) == 0 {
				s.GroupPending()
			}
			before, asked := 0.0, a.Remaining
			for _, n := range s.pending {
				before += n.Free.GPUs
			}
			s.AllocatePending(a, &ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: 100})
			after := 0.0
			for _, n := range s.pending {
				after += n.Free.GPUs
				if n.Free.GPUs < 0 || n.Free.CPUs < 0 {
					t.Fatalf("%s is booked beyond its size: %v", n.Machine.Name, n.Free)
				}
			}
			if got := before - after; got != float64(asked-a.Remaining)*a.Need.GPUs {
				t.Errorf("%v GPUs set aside for %d tasks of %v", got, asked-a.Remaining, a.Need.GPUs)
			}
		}
	})
}

// TestSmallTasksLeaveCommonOnesTheirMachines: among machines of three sizes, small tasks take the place of
// a common one only if no machine has room for them that has none for those, and no more than they must;
// and replicas that have to fetch their image go where it comes fastest.
func TestSmallTasksLeaveRoomForCommonTasks(t *testing.T) {
	types := []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 8, ImageFetchGBps: 0.8, Zones: testZones}, {Name: "m", CPUs: 8, MemoryGB: 64, ImageFetchGBps: 0.8, Zones: testZones},
		{Name: "l", CPUs: 32, MemoryGB: 64, ImageFetchGBps: 0.2, Zones: testZones}}
	common := record.Resources{CPUs: 8, MemoryGB: 13}
	rapid.Check(t, func(t *rapid.T) {
		g := newTestCluster()
		g.put("s/catalog", wire.Catalog{Types: types})
		for i := range rapid.IntRange(1, 10).Draw(t, "machines") {
			typ := types[rapid.IntRange(0, 2).Draw(t, "type")]
			g.put(record.MachineKey(machineName(i)), record.Machine{Type: typ.Name, Zone: "east", Up: true, CreatedAtMs: 1})
			var tasks []record.Task
			for k := range rapid.IntRange(0, int(typ.CPUs)).Draw(t, "used") {
				tasks = append(tasks, record.Task{Index: k, State: record.TaskBound, Attempt: 1, Machine: machineName(i), Session: 1})
			}
			g.put(record.JobKey("on-"+machineName(i)), record.Job{Spec: wire.JobSpec{ID: "on-" + machineName(i), Kind: wire.KindService, TaskCount: 32, CPUs: 1, MemoryGB: 0.5}, Tasks: tasks, SubmittedAtMs: 1})
		}
		s := Refresh(nil, g.snapshot())
		s.CommonNeed = common
		spec := &wire.JobSpec{ID: "a", Kind: wire.KindService, TaskCount: rapid.IntRange(1, 30).Draw(t, "tasks"), CPUs: 1, MemoryGB: 0.5, Image: "i"}
		a := &Request{Spec: spec, Need: record.TaskResources(spec), Remaining: spec.TaskCount}
		filterFor(s, a)
		slots, harmless := 0, 0
		for _, n := range s.ready {
			c := TasksThatFit(common, n.Free)
			slots += c
			harmless += TasksThatFit(a.Need, n.Free.AddTimes(common, -float64(c)))
		}
		picks := s.Allocate(a, s.FittingMachines(a), &ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: 100}, nil)
		left := 0
		for _, n := range s.ready {
			left += TasksThatFit(common, n.Free)
		}
		if len(picks) <= harmless && left < slots {
			t.Errorf("%d tasks, room for %d beside common ones, took the place of %d", len(picks), harmless, slots-left)
		}
		// Whoever should start within 3 s stands where 2 GB come in time, if there is room at all.
		spec.ImageSizeGB, a = 2, &Request{Spec: spec, Need: a.Need, Remaining: 1, StartWithinS: 3}
		s = Refresh(nil, g.snapshot())
		s.CommonNeed = common
		filterFor(s, a)
		quick := slices.ContainsFunc(s.ready, func(n *MachineInfo) bool { return n.Machine.Type != "l" && a.Need.FitsIn(n.Free) })
		if late := s.Allocate(a, s.FittingMachines(a), &ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: 100}, nil); quick && late[0].Machine.Type == "l" {
			t.Errorf("stands on %s, where its image takes 10 s", late[0].Machine.Name)
		}
		// The first that must spoil a place stands where its image comes fastest.
		if harmless == 0 && len(picks) > 0 {
			for _, n := range s.ready {
				if s.fetchRateByType[n.Machine.Type] > s.fetchRateByType[picks[0].Machine.Type] && a.Need.FitsIn(n.recordedFree) {
					t.Errorf("%s was chosen, %s fetches faster", picks[0].Machine.Type, n.Machine.Type)
				}
			}
		}
	})
}
