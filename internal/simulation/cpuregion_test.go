package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

var cpuZones = []string{"hill", "plain", "coast", "river"}

// cpuMachineTypes have no GPUs and three sizes; the largest fetches slowly.
var cpuMachineTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemoryGB: 8, ImageCacheGB: 40, ImageFetchGBps: 0.8, Price: 0.15, SpotPrice: 0.06, BootSeconds: 40, Zones: []string{"hill", "plain", "river"}},
	{Name: "medium", CPUs: 8, MemoryGB: 64, ImageCacheGB: 40, ImageFetchGBps: 0.8, Price: 0.37, SpotPrice: 0.15, BootSeconds: 25, Zones: []string{"hill", "plain", "river"}},
	{Name: "large", CPUs: 32, MemoryGB: 64, ImageCacheGB: 60, ImageFetchGBps: 0.2, Price: 1.14, SpotPrice: 0.5, BootSeconds: 25, Zones: []string{"hill", "coast", "river"}},
}

// cpuRegionSettings are those of a region with small budgets, four zones for three controllers, and teams
// whose guarantees and limits are counted in cores.
func cpuRegionSettings(i int) *config.Settings {
	s := testSettings(i)
	s.Zone = cpuZones[i]
	for k := range s.Siblings {
		s.Siblings[k].Zone = ""
	}
	d := &s.Deployment
	d.Zones = cpuZones
	d.Teams = nil
	for t := range 4 {
		d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%d", t), CPUs: 60, CPUsMax: 160})
	}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 5, 32, 52
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 150, 25, 16, 16
	d.Cloud.RPS, d.Cloud.ListLagS = 6, 5
	d.Objectives = []config.Objective{{Kind: "finished", Class: "cuts", WithinS: 120, Share: 0.9}, {Kind: "wait", Class: "live", WithinS: 3, Share: 0.9}}
	return s
}

// AddRunningMachines puts machines up that are there before the first controller.
func (r *Region) AddRunningMachines(ctx context.Context, typ, zone string, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range count {
		n := len(r.machines) + 1
		m := &cloudMachine{CloudMachine: wire.CloudMachine{ID: fmt.Sprintf("vm-%06d", n), Address: fmt.Sprintf("worker-%06d:9000", n), MachineType: typ, Zone: zone, State: wire.MachineRunning},
			capacityKey: capacityKey(typ, zone, false), rentedAt: time.Now(), bootedAt: time.Now()}
		r.machines = append(r.machines, m)
		r.rentals[fmt.Sprint("before ", n)] = []string{m.ID}
		r.bootAgent(ctx, m)
	}
}

// tasksByMachineType counts the tasks of a class by the type of their machines.
func (r *Region) tasksByMachineType(class string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, w := range r.agents {
		for _, t := range w.tasks {
			if t.spec.Class == class && t.onMachine {
				out[w.machineType.Name]++
			}
		}
	}
	return out
}

// TestRegionOfCores: machines of three sizes and no GPUs are up before the first controller, the cloud
// has few more, the state service takes 25 changes a second, services are spread over zones. Machines
// die, one controller ends, then all. No rule breaks, every job ends, nobody gets less than half of his due, and
// replicas stand mostly on small machines; how they are chosen is held to by package fit's own test.
func TestRegionOfCPUMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		rnd := rand.New(rand.NewPCG(5, 81))
		r := NewRegion(ctx, cpuRegionSettings(0), cpuMachineTypes, 8, rand.New(rand.NewPCG(5, 82)), testLogger())
		for i := range 3 {
			set := cpuRegionSettings(i)
			r.controllers = append(r.controllers, &Controller{Settings: set, Address: set.Listen, SchemaVersion: 4})
		}
		for _, m := range []struct {
			typ, zone string
			count     int
		}{{"small", "hill", 9}, {"small", "plain", 14}, {"small", "river", 8}, {"medium", "plain", 6}, {"medium", "hill", 4}, {"large", "coast", 2}, {"large", "hill", 1}} {
			r.AddRunningMachines(ctx, m.typ, m.zone, m.count)
		}
		time.Sleep(20 * time.Second)
		for i := range 3 {
			r.StartController(i)
		}
		replicas := 0
		for i := range 44 {
			s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", i+1), Team: fmt.Sprintf("team-%d", rnd.IntN(4)), Class: "cuts", Kind: wire.KindArray, Priority: wire.PriorityNormal,
				TaskCount: 4 + rnd.IntN(30), CPUs: 8, MemoryGB: 13, AllowSpot: true, Image: fmt.Sprintf("img-%d", rnd.IntN(6)), ImageSizeGB: 1.2, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 15}}
			at, run, stop := time.Duration(max(0, i-24)*rnd.IntN(24))*time.Second/2, float64(6+rnd.IntN(25)), time.Duration(0)
			if i < 14 {
				s.Class, s.Kind, s.Priority, s.TaskCount, s.CPUs, s.MemoryGB, s.AllowSpot, s.Spread, s.RuntimeEstimateSeconds = "live", wire.KindService, wire.PriorityProduction, []int{5, 6, 16}[rnd.IntN(3)], 1, 1.5, false, true, 0
				// By now all machines are recorded, and none has stood idle for long enough to be returned.
				at, stop = 10*time.Second+time.Duration(rnd.IntN(3000))*time.Millisecond, 20*time.Minute
				replicas += s.TaskCount
			}
			r.wg.Go(func() {
				time.Sleep(at)
				r.SimulateUser(ctx, s, run, stop)
			})
		}
		time.Sleep(110 * time.Second)
		on := r.tasksByMachineType("live")
		if sum := on["small"] + on["medium"] + on["large"]; sum < replicas || 3*on["small"] < sum || on["small"] < 3*on["large"] {
			t.Errorf("%d replicas stand on %v", replicas, on)
		}
		r.restartController(r.LeaderIndex(), 8*time.Second)
		for i, m := range r.Machines(false) {
			if i%9 == 0 {
				r.FailMachine(m)
			}
		}
		time.Sleep(50 * time.Second)
		for i := range 3 {
			r.restartController(i, 8*time.Second)
		}
		time.Sleep(80 * time.Second)
		r.Checker.FaultsEnded()
		r.waitUntilFinished(100)
		time.Sleep(30 * time.Second)
		if on := r.tasksByMachineType("live"); on["small"]+on["medium"]+on["large"] < replicas {
			t.Errorf("of %d replicas %v run in the end", replicas, on)
		}
		r.Checker.CheckServedShares()
		cancel()
		r.Wait()
		time.Sleep(3 * time.Minute)
		checkDay(t, r)
	})
}
