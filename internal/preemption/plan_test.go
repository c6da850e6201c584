package preemption

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// drawMachine draws a machine with 0 to 2 free GPUs.
func drawMachine(t *rapid.T, name string) *binpack.MachineInfo {
	free := record.Resources{GPUs: float64(rapid.IntRange(0, 2).Draw(t, "free"))}
	return &binpack.MachineInfo{Machine: &clusterstate.Machine{Name: name}, Free: free}
}

// drawVictims draws 0 to 4 tasks on a machine.
func drawVictims(t *rapid.T, machine string) []Victim {
	var victims []Victim
	for index := range rapid.IntRange(0, 4).Draw(t, "tasks") {
		job := &clusterstate.Job{}
		job.Spec = wire.JobSpec{ID: "j", GPUs: float64(rapid.IntRange(1, 2).Draw(t, "gpus"))}
		victims = append(victims, Victim{
			Binding:     clusterstate.Binding{Ref: record.TaskRef{JobID: machine, Index: index}, Job: job},
			Rank:        rapid.IntRange(1, 3).Draw(t, "rank"),
			LostSeconds: float64(rapid.IntRange(1, 50).Draw(t, "cost")),
		})
	}
	return victims
}

// checkPlan checks that a plan frees enough capacity for need and stops no more tasks than necessary. It returns the
// work lost by the victims.
func checkPlan(t *rapid.T, need record.Resources, plan Plan) float64 {
	cost, free := 0.0, plan.Machine.Free
	for i, victim := range plan.Victims {
		if need.FitsIn(free) {
			t.Errorf("task %d is stopped though need fits without that", i)
		}
		free = free.Plus(record.TaskResources(&victim.Binding.Job.Spec))
		cost += victim.LostSeconds
	}
	if !need.FitsIn(free) {
		t.Errorf("%v is free after preemption, too little for %v", free, need)
	}
	if cost != plan.LostSeconds {
		t.Errorf("the plan states a loss of %v, but its victims lose %v", plan.LostSeconds, cost)
	}
	return cost
}

// TestCheapestPlanIsMinimal checks that stopping the chosen victims frees enough capacity, that all of them are needed
// for that, and that no other machine frees enough capacity with a smaller loss of work.
func TestCheapestPlanIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := record.Resources{GPUs: float64(rapid.IntRange(1, 4).Draw(t, "need"))}
		victims := map[*binpack.MachineInfo][]Victim{}
		var machines []*binpack.MachineInfo
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			machine := drawMachine(t, fmt.Sprint("m", i))
			machines = append(machines, machine)
			victims[machine] = drawVictims(t, machine.Machine.Name)
		}
		victimsOn := func(machine *binpack.MachineInfo) []Victim { return victims[machine] }
		plan, ok := CheapestPlan(need, machines, victimsOn)
		cost := math.Inf(1)
		if ok {
			cost = checkPlan(t, need, plan)
		}
		for _, machine := range machines {
			sum, free := 0.0, machine.Free
			for _, victim := range victims[machine] { // sorted by CheapestPlan
				if need.FitsIn(free) {
					break
				}
				sum += victim.LostSeconds
				free = free.Plus(record.TaskResources(&victim.Binding.Job.Spec))
			}
			if need.FitsIn(free) && sum < cost {
				t.Errorf("%s frees enough capacity and loses %v, the plan loses %v", machine.Machine.Name, sum, cost)
			}
		}
	})
}
