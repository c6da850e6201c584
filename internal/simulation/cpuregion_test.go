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

// Classes of the region of CPU machines.
const (
	classBatch    = "cuts"
	classReplicas = "live"
)

var cpuZones = []string{"hill", "plain", "coast", "river"}

// cpuMachineTypes are machine types of three sizes without GPUs. The largest one fetches images slowly.
var cpuMachineTypes = []wire.MachineType{
	{
		Name: "small", CPUs: 4, MemoryGB: 8, ImageCacheGB: 40, ImageFetchGBps: 0.8,
		Price: 0.15, SpotPrice: 0.06, BootSeconds: 40, Zones: []string{"hill", "plain", "river"},
	},
	{
		Name: "medium", CPUs: 8, MemoryGB: 64, ImageCacheGB: 40, ImageFetchGBps: 0.8,
		Price: 0.37, SpotPrice: 0.15, BootSeconds: 25, Zones: []string{"hill", "plain", "river"},
	},
	{
		Name: "large", CPUs: 32, MemoryGB: 64, ImageCacheGB: 60, ImageFetchGBps: 0.2,
		Price: 1.14, SpotPrice: 0.5, BootSeconds: 25, Zones: []string{"hill", "coast", "river"},
	},
}

// runningMachines describes machines of a kind that are up before the first controller starts.
type runningMachines struct {
	machineType, zone string
	count             int
}

var cpuRunningMachines = []runningMachines{
	{"small", "hill", 9}, {"small", "plain", 14}, {"small", "river", 8},
	{"medium", "plain", 6}, {"medium", "hill", 4},
	{"large", "coast", 2}, {"large", "hill", 1},
}

// cpuRegionSettings returns the settings of a controller in a region with small request budgets, four zones for three
// controllers, and teams whose guarantees and limits are counted in CPU cores.
func cpuRegionSettings(index int) *config.Settings {
	settings := testSettings(index)
	settings.Zone = cpuZones[index]
	for i := range settings.Peers {
		settings.Peers[i].Zone = ""
	}
	deployment := &settings.Deployment
	deployment.Zones = cpuZones
	deployment.Teams = nil
	for i := range 4 {
		team := config.Team{Name: fmt.Sprintf("team-%d", i), CPUs: 60, CPUsMax: 160}
		deployment.Teams = append(deployment.Teams, team)
	}
	workers, state := &deployment.Workers, &deployment.State
	workers.ReportS, workers.LeaseS, workers.CancelS = 5, 32, 52
	state.RPS, state.WriteRPS, state.ValueKB, state.TxnOps = 150, 25, 16, 16
	deployment.Cloud.RPS, deployment.Cloud.ListLagS = 6, 5
	deployment.Objectives = []config.Objective{
		{Kind: "finished", Class: classBatch, WithinS: 120, Share: 0.9},
		{Kind: "wait", Class: classReplicas, WithinS: 3, Share: 0.9},
	}
	return settings
}

// AddRunningMachines adds machines that are up before the first controller starts.
func (r *Region) AddRunningMachines(ctx context.Context, machines runningMachines) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range machines.count {
		number := len(r.cloud.machines) + 1
		machine := &cloudMachine{
			CloudMachine: wire.CloudMachine{
				ID:          fmt.Sprintf("vm-%06d", number),
				Address:     fmt.Sprintf("worker-%06d:9000", number),
				MachineType: machines.machineType,
				Zone:        machines.zone,
				State:       wire.MachineRunning,
			},
			kind:     machineKind{machines.machineType, machines.zone, false},
			rentedAt: time.Now(),
			bootedAt: time.Now(),
		}
		r.cloud.machines = append(r.cloud.machines, machine)
		r.cloud.rentals[fmt.Sprint("before ", number)] = []string{machine.ID}
		r.bootAgent(ctx, machine)
	}
}

// replicaCounts counts replicas by the type of their machines.
type replicaCounts map[string]int

func (c replicaCounts) total() int { return c["small"] + c["medium"] + c["large"] }

// tasksByMachineType counts the tasks of a class that are on machines, by machine type.
func (r *Region) tasksByMachineType(class string) replicaCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := replicaCounts{}
	for _, agent := range r.agents {
		for _, task := range agent.tasks {
			if task.spec.Class == class && task.onMachine {
				counts[agent.machineType.Name]++
			}
		}
	}
	return counts
}

// cpuRegionJob returns a random job and the delay of its submission. The first 14 jobs are services.
func cpuRegionJob(random *rand.Rand, index int) (delay time.Duration, job userJob) {
	spec := wire.JobSpec{
		ID:          jobID(index + 1),
		Team:        fmt.Sprintf("team-%d", random.IntN(4)),
		Class:       classBatch,
		Kind:        wire.KindArray,
		Priority:    wire.PriorityNormal,
		TaskCount:   4 + random.IntN(30),
		CPUs:        8,
		MemoryGB:    13,
		AllowSpot:   true,
		Image:       fmt.Sprintf("img-%d", random.IntN(6)),
		ImageSizeGB: 1.2,
		JobTiming:   wire.JobTiming{RuntimeEstimateSeconds: 15},
	}
	delay = time.Duration(max(0, index-24)*random.IntN(24)) * time.Second / 2
	job = userJob{spec: spec, runSeconds: float64(6 + random.IntN(25))}
	if index >= 14 {
		return delay, job
	}
	service := &job.spec
	service.Class, service.Kind, service.Priority = classReplicas, wire.KindService, wire.PriorityProduction
	service.TaskCount = []int{5, 6, 16}[random.IntN(3)]
	service.CPUs, service.MemoryGB = 1, 1.5
	service.AllowSpot, service.Spread, service.RuntimeEstimateSeconds = false, true, 0
	job.cancelAfter = neverDuringRun
	// Services are submitted once all machines are recorded and before any is deleted for being idle.
	return 10*time.Second + milliseconds(random, 3000), job
}

// submitCPURegionJobs submits the jobs and returns the number of replicas of all services.
func (r *Region) submitCPURegionJobs(ctx context.Context, random *rand.Rand) (replicas int) {
	for i := range 44 {
		delay, job := cpuRegionJob(random, i)
		if job.spec.Kind == wire.KindService {
			replicas += job.spec.TaskCount
		}
		r.SimulateUserAfter(ctx, delay, job)
	}
	return replicas
}

// failEveryNinthMachine fails one machine in nine.
func (r *Region) failEveryNinthMachine() {
	for i, machine := range r.Machines() {
		if i%9 == 0 {
			r.FailMachine(machine)
		}
	}
}

// TestRegionOfCPUMachines runs a region of machines of three sizes without GPUs that are up before the first controller
// starts. The cloud has few more of them, the key-value store accepts 25 changes a second, and services are spread over
// zones. One machine in nine fails while the leader restarts, and later all controllers restart. No rule may be
// violated, every job must end, and at least half of the jobs of each class and team must be served. At least a third
// of the replicas must run on small machines, and at least three times as many there as on large ones. Package binpack
// tests how their machines are chosen.
func TestRegionOfCPUMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := testRegion{
			settings:        cpuRegionSettings,
			machineTypes:    cpuMachineTypes,
			capacityPerKind: 8,
			random:          newRandom(5, streamCPURegion),
		}.start(ctx)
		for i := range threeControllers {
			r.AddStoppedController(cpuRegionSettings(i), 4)
		}
		for _, machines := range cpuRunningMachines {
			r.AddRunningMachines(ctx, machines)
		}
		time.Sleep(20 * time.Second)
		r.StartAllControllers(ctx)
		replicas := r.submitCPURegionJobs(ctx, newRandom(5, streamCPUScenario))
		time.Sleep(110 * time.Second)
		counts := r.tasksByMachineType(classReplicas)
		if counts.total() < replicas || 3*counts["small"] < counts.total() || counts["small"] < 3*counts["large"] {
			t.Errorf("%d replicas run on %v", replicas, counts)
		}
		r.RestartController(ctx, r.LeaderIndex(), 8*time.Second)
		r.failEveryNinthMachine()
		time.Sleep(50 * time.Second)
		for i := range threeControllers {
			r.RestartController(ctx, i, 8*time.Second)
		}
		time.Sleep(80 * time.Second)
		r.Checker.FaultsEnded()
		r.waitUntilFinished(100)
		time.Sleep(30 * time.Second)
		if counts := r.tasksByMachineType(classReplicas); counts.total() < replicas {
			t.Errorf("of %d replicas %v run at the end", replicas, counts)
		}
		r.Checker.CheckServedShares()
		r.end(cancel)
		checkRun(t, r)
	})
}
