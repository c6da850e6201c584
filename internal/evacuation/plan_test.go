package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawLostMachines draws machines with tasks. The number in a job's ID determines the job's kind and
// priority rank.
func drawLostMachines(t *rapid.T) []Machine {
	var machines []Machine
	lostTasks := map[string]int{}
	for i := range rapid.IntRange(0, 40).Draw(t, "machines") {
		machine := Machine{Name: fmt.Sprintf("vm-%02d", i)}
		for _, number := range rapid.SliceOfN(rapid.IntRange(0, 20), 0, 4).Draw(t, "jobs") {
			jobID := fmt.Sprint("run-", number)
			task := Task{JobID: jobID, Kind: WorkloadKind(number % 3), PriorityRank: number % 2}
			machine.Tasks = append(machine.Tasks, task)
			lostTasks[jobID]++
		}
		slices.SortFunc(machine.Tasks, func(a, b Task) int { return int(a.Kind) - int(b.Kind) })
		machines = append(machines, machine)
	}
	elsewhere := rapid.IntRange(0, 3).Draw(t, "elsewhere")
	for i := range machines {
		for k := range machines[i].Tasks {
			task := &machines[i].Tasks[k]
			task.PlacedReplicas = lostTasks[task.JobID] + len(task.JobID)%(elsewhere+1)
		}
	}
	return machines
}

// planChecker checks a plan step by step.
type planChecker struct {
	pending      map[string]Machine // by name
	replicasLeft map[string]int     // by service
	gangs        []string           // job IDs, in the order of their first step
}

func newPlanChecker(machines []Machine) *planChecker {
	c := &planChecker{pending: map[string]Machine{}, replicasLeft: map[string]int{}}
	for _, machine := range machines {
		c.pending[machine.Name] = machine
		for _, task := range machine.Tasks {
			if task.Kind == Service {
				c.replicasLeft[task.JobID] = task.PlacedReplicas
			}
		}
	}
	for _, machine := range machines {
		c.addReplicas(machine, -1)
	}
	return c
}

func (c *planChecker) addReplicas(machine Machine, count int) {
	for _, task := range machine.Tasks {
		if task.Kind == Service {
			c.replicasLeft[task.JobID] += count
		}
	}
}

// checkService checks the step's count of replicas left, and that no pending service has fewer left
// than the service of the step.
func (c *planChecker) checkService(t *rapid.T, step Step, machine Machine) {
	if left := c.replicasLeft[step.JobID]; left != step.ReplicasLeft {
		t.Fatalf("%s has %d replicas left, the step says %d", step.JobID, left, step.ReplicasLeft)
	}
	for _, other := range c.pending {
		for _, task := range other.Tasks {
			if left := c.replicasLeft[task.JobID]; task.Kind == Service && left < step.ReplicasLeft {
				t.Fatalf("%s with %d left is planned after %s with %d", task.JobID, left, step.JobID, step.ReplicasLeft)
			}
		}
	}
	c.addReplicas(machine, 1)
}

// checkGang checks that the steps of a gang are consecutive.
func (c *planChecker) checkGang(t *rapid.T, step Step) {
	if count := len(c.gangs); count > 0 && c.gangs[count-1] == step.JobID {
		return
	}
	if slices.Contains(c.gangs, step.JobID) {
		t.Fatalf("the steps of %s are not consecutive: %v", step.JobID, c.gangs)
	}
	c.gangs = append(c.gangs, step.JobID)
}

func (c *planChecker) check(t *rapid.T, steps []Step) {
	for i, step := range steps {
		machine, ok := c.pending[step.Machine]
		if !ok {
			t.Fatalf("%s appears twice or is not a lost machine", step.Machine)
		}
		delete(c.pending, step.Machine)
		if i > 0 && step.Kind < steps[i-1].Kind {
			t.Fatalf("a step for %v comes after one for %v", step.Kind, steps[i-1].Kind)
		}
		switch step.Kind {
		case Service:
			c.checkService(t, step, machine)
		case Gang:
			c.checkGang(t, step)
		}
	}
	if len(c.pending) > 0 {
		t.Fatalf("machines without a step: %v", c.pending)
	}
	if !slices.IsSortedFunc(c.gangs, func(a, b string) int { return rankOf(t, a) - rankOf(t, b) }) {
		t.Fatalf("gangs are not ordered by priority: %v", c.gangs)
	}
}

// rankOf returns the priority rank that drawLostMachines assigns to a job.
func rankOf(t *rapid.T, jobID string) int {
	number := 0
	if _, err := fmt.Sscanf(jobID, "run-%d", &number); err != nil {
		t.Fatal(err)
	}
	return number % 2
}

// TestPlan checks plans for random machines. A plan must contain every machine once, ordered by
// kind. At each step no pending service may have fewer replicas left than the service of the step.
// The steps of a gang must be consecutive, with gangs of higher priority first. The plan must not
// depend on the order of the machines.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := drawLostMachines(t)
		steps := Plan(machines)
		shuffled := slices.Clone(machines)
		rnd := rand.New(rand.NewPCG(1, uint64(len(shuffled))))
		rnd.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if other := Plan(shuffled); !slices.Equal(other, steps) {
			t.Fatalf("the plan is %v, for the machines in their original order %v", steps, other)
		}
		newPlanChecker(machines).check(t, steps)
	})
}

// TestPlanRestoresOneReplicaOfEachServiceFirst checks that two services that have lost both their
// replicas get one replica each before either gets its second, and that both come before a service
// with three replicas left.
func TestPlanRestoresOneReplicaOfEachServiceFirst(t *testing.T) {
	replicaOf := func(jobID string, placed int) []Task {
		return []Task{{JobID: jobID, Kind: Service, PlacedReplicas: placed}}
	}
	steps := Plan([]Machine{
		{"a", replicaOf("x", 2)},
		{"b", replicaOf("x", 2)},
		{"c", replicaOf("y", 2)},
		{"d", replicaOf("y", 2)},
		{"e", replicaOf("z", 4)},
	})
	var got []string
	for _, step := range steps {
		got = append(got, step.Machine)
	}
	if want := []string{"a", "c", "b", "d", "e"}; !slices.Equal(got, want) {
		t.Errorf("order of machines is %v, want %v", got, want)
	}
}

// BenchmarkPlan measures a plan for the loss of a quarter of the machines.
func BenchmarkPlan(b *testing.B) {
	for _, total := range []int{1500, 5000, 15000} {
		rnd := rand.New(rand.NewPCG(1, 2))
		machines := make([]Machine, total/4)
		for i := range machines {
			machines[i].Name = fmt.Sprintf("vm-%06d", i)
			for range 4 {
				number := rnd.IntN(total / 4)
				task := Task{JobID: fmt.Sprint("run-", number), Kind: WorkloadKind(number % 3), PlacedReplicas: 6}
				machines[i].Tasks = append(machines[i].Tasks, task)
			}
		}
		b.Run(fmt.Sprint(total, " machines"), func(b *testing.B) {
			for b.Loop() {
				Plan(machines)
			}
		})
	}
}
