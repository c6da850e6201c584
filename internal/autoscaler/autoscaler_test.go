package autoscaler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var testZones = []string{"east", "west"}

func newTestAutoscaler(tb testing.TB) *Autoscaler {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w := clusterstate.New(3, log)
	w.Types["m"] = wire.MachineType{Name: "m", CPUs: 32, GPUs: 4, MemoryGB: 256, Price: 10, SpotPrice: 4, BootSeconds: 30, Zones: testZones}
	op, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	return New(&config.Settings{}, op, w, nil, nil, nil, nil, log)
}

// TestBinsHoldWhatWaits: the machines to be rented have room for everything that
// found none, of kinds that the jobs may use, a gang's in one zone and a spread
// job's in more than one; and not twice as many as are needed.
func TestPlannedMachinesFitUnplacedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestAutoscaler(nil)
		d := scheduler.UnmetDemand{ComputedAt: time.Now()}
		gpus, ordinary, gangs := 0, 0, 0
		for i := range rapid.IntRange(1, 12).Draw(t, "groups") {
			s := &wire.JobSpec{ID: fmt.Sprintf("run-%d", i), Priority: wire.PriorityNormal, CPUs: 6, GPUs: 1, MemoryGB: 40}
			s.TaskCount = rapid.IntRange(1, 60).Draw(t, "tasks")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s.Kind, s.AllowSpot = wire.KindArray, true
			case 1:
				s.Kind, s.Spread = wire.KindService, true
				ordinary += s.TaskCount
			case 2:
				s.Kind, s.SameZone, s.GPUs = wire.KindGang, true, 4
				ordinary += 4 * s.TaskCount
				gangs += s.TaskCount
			}
			gpus += s.TaskCount * int(s.GPUs)
			d.Groups = append(d.Groups, scheduler.UnplacedGroup{Spec: s, Count: s.TaskCount, Zone: rapid.SampledFrom([]string{"", "west"}).Draw(t, "zone"), SubmittedAt: time.Now()})
		}
		bins := p.planScaleOut(d)
		room, plain := 0, 0
		for _, b := range bins {
			room += 4
			if !b.spot {
				plain += 4
			}
		}
		if room < gpus || plain < ordinary {
			t.Errorf("%d bins, %d GPUs ordinary, for %d GPUs, %d of them ordinary", len(bins), plain, gpus, ordinary)
		}
		if room > 2*gpus+4*len(d.Groups)+8 {
			t.Errorf("%d GPUs rented for %d", room, gpus)
		}
	})
}

// TestRefusedZoneIsLeftForAnother: where a gang's zone has no more machines, all
// of its room is rented in another, not only the rest of it.
func TestGangMovesFromRefusedZone(t *testing.T) {
	p := newTestAutoscaler(t)
	p.refusals[machineKind{"m", "west", false}] = refusal{until: time.Now().Add(tuning.RefusedHold)}
	s := &wire.JobSpec{ID: "run-1", Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: 8, CPUs: 28, GPUs: 4, MemoryGB: 200, SameZone: true}
	n := 0
	for _, b := range p.planScaleOut(scheduler.UnmetDemand{Groups: []scheduler.UnplacedGroup{{Spec: s, Count: 2, Zone: "west", SubmittedAt: time.Now()}}, SpareOnDemand: binpack.SpareCapacity{Machines: 9, UnusedMachines: 9}, SpareSpot: binpack.SpareCapacity{Machines: 9}}) {
		if b.zone != "east" {
			t.Errorf("a machine in %s", b.zone)
		}
		n++
	}
	if n != 8 {
		t.Errorf("%d machines, want 8", n)
	}
}

// TestReserveCoversALostZone: with a reserve set, what is free once all that waits has room covers
// the set share of the services of any zone in the zones that are left, however they stand; while
// a zone is out none is kept, and by default none at all.
func TestReserveCoversALostZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestAutoscaler(nil)
		p.operator.PoolMin, p.operator.PoolStep = 0, 0
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		p.operator.ZoneReserve = share
		held := map[string]float64{}
		job := &clusterstate.Job{Job: record.Job{Spec: wire.JobSpec{ID: "run-1", Kind: wire.KindService, TaskCount: 8, CPUs: 8, GPUs: 1, MemoryGB: 60}}}
		for i := range rapid.IntRange(0, 40).Draw(t, "machines") {
			m := &clusterstate.Machine{Name: fmt.Sprintf("vm-%d", i), Machine: record.Machine{Type: "m", Zone: rapid.SampledFrom(testZones).Draw(t, "zone"), Up: true}}
			m.Bindings = map[record.TaskRef]clusterstate.Binding{}
			for k := range rapid.IntRange(0, 4).Draw(t, "replicas") {
				ref := record.TaskRef{Job: fmt.Sprintf("run-%d", i), Index: k}
				m.Bindings[ref] = clusterstate.Binding{Ref: ref, Job: job}
				held[m.Zone] += 0.25
			}
			p.state.Machines[m.Name] = m
		}
		spare := map[string]float64{}
		for _, b := range p.planScaleOut(scheduler.UnmetDemand{ComputedAt: time.Now()}) {
			spare[b.zone]++
		}
		for _, z := range testZones {
			if left := spare["east"] + spare["west"] - spare[z]; left+1 < share*held[z] {
				t.Errorf("%v machines are free outside of %s, which holds services for %v and may lose %.2f of them", left, z, held[z], share)
			}
		}
		p.unavailableZones = []string{"east"}
		if n := len(p.planScaleOut(scheduler.UnmetDemand{ComputedAt: time.Now()})); n > 0 {
			t.Errorf("%d machines are kept while a zone is out", n)
		}
	})
}

// TestGangIsCollectedInOneZone: once every zone has shown to have less than a gang needs,
// only the rest of it is asked for, where it has some of its room, as often as a refusal
// allows. The pool once asked one zone after the other for the whole gang, got a machine
// here and one there, and returned each as idle (inc-c6d1). After a while the others may
// have more, and are asked for the whole again.
func TestGangIsCollectedInOneZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pin := rapid.SampledFrom(testZones).Draw(rt, "zone")
		free := map[int]int{} // machines that come free, by second
		for range rapid.IntRange(0, 3).Draw(rt, "frees") {
			free[rapid.IntRange(0, 40).Draw(rt, "second")]++
		}
		synctest.Test(t, func(t *testing.T) {
			p := newTestAutoscaler(t)
			p.operator.PoolMin = 0
			s := &wire.JobSpec{ID: "run-1", Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: 4, CPUs: 28, GPUs: 4, MemoryGB: 200, SameZone: true}
			for _, z := range testZones {
				p.recordRefusal(machineKind{"m", z, false})
			}
			start, have, open, times := time.Now(), 1, 0, 0
			asked := func() map[machineKind]int {
				d := scheduler.UnmetDemand{SpareOnDemand: binpack.SpareCapacity{Machines: 9, UnusedMachines: 9}, SpareSpot: binpack.SpareCapacity{Machines: 9}}
				if have < 4 {
					d.Groups = []scheduler.UnplacedGroup{{Spec: s, Count: 4 - have, Zone: pin, SubmittedAt: start}}
				}
				out := map[machineKind]int{}
				for _, b := range p.planScaleOut(d) {
					out[b.machineKind]++
				}
				return out
			}
			for second := range int(tuning.ShortHold / time.Second) {
				open += free[second]
				for k, n := range asked() {
					times++
					if k.zone != pin || n != 4-have {
						t.Errorf("second %d, %d in %s: %d machines asked for in %s", second, have, pin, n, k.zone)
					}
					got := min(open, n)
					open -= got
					if have += got; got < n {
						p.recordRefusal(k)
					}
				}
				time.Sleep(time.Second)
			}
			if left := asked(); have < 4 && (times < 5 || len(left) == 0) {
				t.Errorf("asked %d times, then for %v", times, left)
			}
			if have < 4 && open > 0 {
				t.Errorf("%d machines are free, the gang has %d", open, have)
			}
		})
	})
}
