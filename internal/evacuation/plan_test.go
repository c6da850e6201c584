package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
)

func TestMain(m *testing.M) { testrand.Main(m) }

// drawLostMachines draws machines with what they hold; a job's kind, rank and replicas go by its number.
func drawLostMachines(t *rapid.T) []Machine {
	var out []Machine
	on := map[string]int{}
	for i := range rapid.IntRange(0, 40).Draw(t, "machines") {
		m := Machine{Name: fmt.Sprintf("vm-%02d", i)}
		for _, j := range rapid.SliceOfN(rapid.IntRange(0, 20), 0, 4).Draw(t, "jobs") {
			m.Tasks = append(m.Tasks, Task{JobID: fmt.Sprint("run-", j), Kind: WorkloadKind(j % 3), PriorityRank: j % 2})
			on[fmt.Sprint("run-", j)]++
		}
		slices.SortFunc(m.Tasks, func(a, b Task) int { return int(a.Kind) - int(b.Kind) })
		out = append(out, m)
	}
	more := rapid.IntRange(0, 3).Draw(t, "elsewhere")
	for i := range out {
		for k := range out[i].Tasks {
			x := &out[i].Tasks[k]
			x.PlacedReplicas = on[x.JobID] + len(x.JobID)%(more+1)
		}
	}
	return out
}

// TestPlan holds a plan to what it promises: every machine once, services before gangs before
// arrays before nothing; at each step no service that waits has fewer replicas than the one
// that is brought back; a gang's machines together, higher priorities first; and the same plan
// whatever the order in which the machines are told.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := drawLostMachines(t)
		steps := Plan(machines)
		other := slices.Clone(machines)
		rand.New(rand.NewPCG(1, uint64(len(other)))).Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		if again := Plan(other); !slices.Equal(again, steps) {
			t.Fatalf("%v, told in another order %v", steps, again)
		}
		byName, left := map[string]Machine{}, map[string]int{}
		for _, m := range machines {
			byName[m.Name] = m
			for _, x := range m.Tasks {
				if x.Kind == Service {
					left[x.JobID] = x.PlacedReplicas
				}
			}
		}
		for _, m := range machines {
			for _, x := range m.Tasks {
				if x.Kind == Service {
					left[x.JobID]--
				}
			}
		}
		var gangs []string
		for i, s := range steps {
			m, ok := byName[s.Machine]
			if !ok {
				t.Fatalf("%s stands twice or is no machine", s.Machine)
			}
			delete(byName, s.Machine)
			if i > 0 && s.Kind < steps[i-1].Kind {
				t.Fatalf("%v after %v", s.Kind, steps[i-1].Kind)
			}
			switch s.Kind {
			case Service:
				if left[s.JobID] != s.ReplicasLeft {
					t.Fatalf("%s has %d left, not %d", s.JobID, left[s.JobID], s.ReplicasLeft)
				}
				for _, o := range byName {
					for _, x := range o.Tasks {
						if x.Kind == Service && left[x.JobID] < s.ReplicasLeft {
							t.Fatalf("%s with %d left waits behind %s with %d", x.JobID, left[x.JobID], s.JobID, s.ReplicasLeft)
						}
					}
				}
				for _, x := range m.Tasks {
					if x.Kind == Service {
						left[x.JobID]++
					}
				}
			case Gang:
				if n := len(gangs); n == 0 || gangs[n-1] != s.JobID {
					if slices.Contains(gangs, s.JobID) {
						t.Fatalf("%s is torn apart: %v", s.JobID, gangs)
					}
					gangs = append(gangs, s.JobID)
				}
			}
		}
		if len(byName) > 0 {
			t.Fatalf("left out: %v", byName)
		}
		if !slices.IsSortedFunc(gangs, func(a, b string) int { return rankOf(a) - rankOf(b) }) {
			t.Fatalf("gangs in the order %v", gangs)
		}
	})
}

func rankOf(job string) int {
	n := 0
	_, _ = fmt.Sscanf(job, "run-%d", &n)
	return n % 2
}

// TestPlanRestoresOneReplicaOfEachServiceFirst spells the order out: of two services without a replica each has
// one before either has its second, and both before one that has three.
func TestPlanRestoresOneReplicaOfEachServiceFirst(t *testing.T) {
	of := func(job string, has int) Task { return Task{JobID: job, Kind: Service, PlacedReplicas: has} }
	steps := Plan([]Machine{
		{"a", []Task{of("x", 2)}}, {"b", []Task{of("x", 2)}}, {"c", []Task{of("y", 2)}}, {"d", []Task{of("y", 2)}}, {"e", []Task{of("z", 4)}},
	})
	var got []string
	for _, s := range steps {
		got = append(got, s.Machine)
	}
	if want := []string{"a", "c", "b", "d", "e"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// BenchmarkPlan plans the loss of a quarter of a fleet.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1500, 5000, 15000} {
		rnd := rand.New(rand.NewPCG(1, 2))
		machines := make([]Machine, n/4)
		for i := range machines {
			machines[i].Name = fmt.Sprintf("vm-%06d", i)
			for range 4 {
				j := rnd.IntN(n / 4)
				machines[i].Tasks = append(machines[i].Tasks, Task{JobID: fmt.Sprint("run-", j), Kind: WorkloadKind(j % 3), PlacedReplicas: 6})
			}
		}
		b.Run(fmt.Sprint(n, " machines"), func(b *testing.B) {
			for b.Loop() {
				Plan(machines)
			}
		})
	}
}
