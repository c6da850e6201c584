package graph

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// dependencyMatrix records whether a task (row) depends on another task (column).
type dependencyMatrix [][]bool

// drawDependencies draws a matrix in which no task depends directly on itself.
func drawDependencies(t *rapid.T) dependencyMatrix {
	count := rapid.IntRange(2, 7).Draw(t, "tasks")
	matrix := make(dependencyMatrix, count)
	for i := range count {
		matrix[i] = make([]bool, count)
		for j := range count {
			matrix[i][j] = j != i && rapid.IntRange(0, count).Draw(t, "edge") == 0
		}
	}
	return matrix
}

// tasks returns the tasks as a file describes them.
func (m dependencyMatrix) tasks() []map[string]any {
	var tasks []map[string]any
	for i := range m {
		upstream := []string{}
		for j := range m {
			if m[i][j] {
				upstream = append(upstream, taskID(j))
			}
		}
		tasks = append(tasks, map[string]any{"task_id": taskID(i), "upstream_task_ids": upstream})
	}
	return tasks
}

// edges returns the set of dependencies, each in the form in which the message of a cycle fault contains it.
func (m dependencyMatrix) edges() map[string]bool {
	edges := map[string]bool{}
	for i := range m {
		for j := range m {
			if m[i][j] {
				edges[taskID(i)+" <- "+taskID(j)] = true
			}
		}
	}
	return edges
}

// isCyclic reports whether the graph has a cycle. It computes the transitive closure of the matrix.
func (m dependencyMatrix) isCyclic() bool {
	reach := make([][]bool, len(m))
	for i := range m {
		reach[i] = append([]bool{}, m[i]...)
	}
	for k := range m {
		for i := range m {
			for j := range m {
				reach[i][j] = reach[i][j] || reach[i][k] && reach[k][j]
			}
		}
	}
	for i := range m {
		if reach[i][i] {
			return true
		}
	}
	return false
}

// TestCyclesAreFound checks that a cycle is reported if and only if the graph has one, and that the
// reported path is a cycle of the graph.
func TestCyclesAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		matrix := drawDependencies(t)
		cyclic := matrix.isCyclic()
		_, faults := Parse("f", encodeYAML(newFile(matrix.tasks(), nil)))
		if (len(faults) > 0) != cyclic {
			t.Fatalf("cyclic %v: %v", cyclic, faults)
		}
		if !cyclic {
			return
		}
		steps := strings.Split(strings.TrimPrefix(faults[0].Message, "a cycle: "), " <- ")
		if steps[0] != steps[len(steps)-1] {
			t.Errorf("%v is not a cycle", steps)
		}
		edges := matrix.edges()
		for i := range len(steps) - 1 {
			if !edges[steps[i]+" <- "+steps[i+1]] {
				t.Errorf("%v: %s does not depend on %s", steps, steps[i], steps[i+1])
			}
		}
	})
}

// TestGroupDependencies checks that a dependency on a group is one on the group's last tasks, and
// that the first tasks of a group depend on the group's upstream tasks.
func TestGroupDependencies(t *testing.T) {
	tasks := []map[string]any{
		{"task_id": "a"},
		{"task_id": "b", "task_group": "g1"},
		{"task_id": "c", "task_group": "g1", "upstream_task_ids": []string{"b"}},
		{"task_id": "d", "task_group": "g1"},
		{"task_id": "e", "upstream_task_ids": []string{"g1"}},
	}
	groups := []any{map[string]any{"group_id": "g1", "upstream_task_ids": []string{"a"}}}
	graph, faults := Parse("f", encodeYAML(newFile(tasks, map[string]any{"task_groups": groups})))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := map[string]string{"a": "[]", "b": "[a]", "c": "[b]", "d": "[a]", "e": "[c d]"}
	for id, upstream := range graph.upstreamTasks() {
		if got := fmt.Sprint(upstream); got != want[id] {
			t.Errorf("%s depends on %s, want %s", id, got, want[id])
		}
	}
}
