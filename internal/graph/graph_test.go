package graph

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var (
	testRun   = Run{ID: "r", LogicalDate: time.Date(2026, 3, 8, 2, 30, 0, 0, time.UTC)}
	testRules = Rules{RetryPolicies: retry.NewPolicies([]config.Class{{Name: "c", Repeats: 3}}), Teams: map[string]config.Team{"t": {Name: "t", GPUsMax: 8}}}
)

// newFile is a graph as a file would have it.
func newFile(tasks []map[string]any, more map[string]any) map[string]any {
	out := map[string]any{"dag_id": "g", "tasks": tasks, "default_args": map[string]any{"class": "c", "team": "t", "image": "i", "cpus": 1}}
	for k, v := range more {
		out[k] = v
	}
	return out
}

func mustEncode(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

func encodeYAML(v any) []byte { return mustEncode(yaml.Marshal(v)) }

// TestGeneratedGraphsCompile compiles generated graphs and compares with what their edges say:
// each instance of a task is one job, awaits all instances of its upstream, stands after
// them, and is what a user could submit; held are those with another trigger rule and all
// that come after them. JSON and YAML give the same, whoever compiles.
func TestGeneratedGraphsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		var tasks []map[string]any
		up, rule, width := map[string][]string{}, map[string]string{}, map[string]int{}
		for i := range n {
			id := fmt.Sprint("t", i)
			task := map[string]any{"task_id": id}
			width[id] = 1
			for k := range i {
				if rapid.IntRange(0, 3).Draw(t, "edge") == 0 && len(up[id]) < 6 {
					up[id] = append(up[id], fmt.Sprint("t", k))
				}
			}
			if len(up[id]) > 0 {
				task["upstream_task_ids"] = up[id]
			}
			if rapid.IntRange(0, 3).Draw(t, "mapped") == 0 {
				width[id] = rapid.IntRange(1, 5).Draw(t, "width")
				list := []any{}
				for k := range width[id] {
					list = append(list, fmt.Sprint("item-", k))
				}
				task["expand"], task["image"] = list, "{{ item }}-{{ map_index }}"
			}
			rule[id] = TriggerAllSuccess
			if rapid.IntRange(0, 5).Draw(t, "rule") == 0 {
				rule[id] = rapid.SampledFrom([]string{TriggerAllDone, TriggerOneSuccess, TriggerOneFailed, TriggerNoneFailed, TriggerAlways}).Draw(t, "which")
				task["trigger_rule"] = rule[id]
			}
			tasks = append(tasks, task)
		}
		tasks = rapid.Permutation(tasks).Draw(t, "order")
		doc := newFile(tasks, nil)
		g, faults := Parse("f", encodeYAML(doc))
		if len(faults) > 0 {
			t.Fatalf("%v", faults)
		}
		jobs, faults := g.Compile(testRun, testRules)
		if len(faults) > 0 {
			t.Fatalf("%v", faults)
		}
		g2, _ := Parse("f", mustEncode(json.Marshal(doc)))
		again, _ := g2.Compile(testRun, testRules)
		if a, b := mustEncode(json.Marshal(again)), mustEncode(json.Marshal(jobs)); !slices.Equal(a, b) {
			t.Error("JSON and YAML differ")
		}
		of, held, ids := map[string][]string{}, map[string]bool{}, map[string]bool{}
		for _, j := range jobs {
			of[j.TaskID] = append(of[j.TaskID], j.Spec.ID)
			held[j.TaskID] = j.Deferred
			ids[j.Spec.ID] = true
		}
		if len(ids) != len(jobs) {
			t.Error("ids stand twice")
		}
		for at, j := range jobs {
			var want, got []string
			needs := rule[j.TaskID] != TriggerAllSuccess
			for _, u := range up[j.TaskID] {
				want = append(want, of[u]...)
				needs = needs || held[u]
			}
			for _, u := range j.Upstream {
				if u >= at {
					t.Errorf("%s stands before what it waits for", j.TaskID)
				}
				got = append(got, jobs[u].Spec.ID)
			}
			slices.Sort(want)
			slices.Sort(got)
			if !slices.Equal(want, got) || len(of[j.TaskID]) != width[j.TaskID] || j.Deferred != needs {
				t.Errorf("%s: waits for %v, want %v; %d instances; held %v", j.TaskID, got, want, len(of[j.TaskID]), j.Deferred)
			}
			slices.Sort(j.Spec.Dependencies)
			if j.Deferred && len(j.Spec.Dependencies) > 0 || !j.Deferred && !slices.Equal(j.Spec.Dependencies, got) {
				t.Errorf("%s awaits %v, want %v", j.TaskID, j.Spec.Dependencies, got)
			}
			if _, err := wire.DecodeSubmission(wire.MustEncode(j.Spec)); err != nil {
				t.Errorf("%s: %v", j.TaskID, err)
			}
			if j.MapIndex >= 0 && j.Spec.Image != fmt.Sprintf("item-%d-%d", j.MapIndex, j.MapIndex) {
				t.Errorf("%s[%d]: image %s", j.TaskID, j.MapIndex, j.Spec.Image)
			}
		}
	})
}

// TestCycles: a cycle is found if and only if some task can be reached from itself, and
// what is printed is one.
func TestCyclesAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "tasks")
		reach := make([][]bool, n)
		edge := map[string]bool{}
		var tasks []map[string]any
		for i := range n {
			reach[i] = make([]bool, n)
			var up []string
			for k := range n {
				if k != i && rapid.IntRange(0, n).Draw(t, "edge") == 0 {
					up = append(up, fmt.Sprint("t", k))
					reach[i][k] = true
					edge[fmt.Sprintf("t%d <- t%d", i, k)] = true
				}
			}
			tasks = append(tasks, map[string]any{"task_id": fmt.Sprint("t", i), "upstream_task_ids": append([]string{}, up...)})
		}
		for k := range n {
			for i := range n {
				for j := range n {
					reach[i][j] = reach[i][j] || reach[i][k] && reach[k][j]
				}
			}
		}
		cyclic := false
		for i := range n {
			cyclic = cyclic || reach[i][i]
		}
		_, faults := Parse("f", encodeYAML(newFile(tasks, nil)))
		if (len(faults) > 0) != cyclic {
			t.Fatalf("cyclic %v: %v", cyclic, faults)
		}
		if !cyclic {
			return
		}
		steps := strings.Split(strings.TrimPrefix(faults[0].Message, "a cycle: "), " <- ")
		if steps[0] != steps[len(steps)-1] {
			t.Errorf("%v is no cycle", steps)
		}
		for i := range len(steps) - 1 {
			if !edge[steps[i]+" <- "+steps[i+1]] {
				t.Errorf("%v: %s does not wait for %s", steps, steps[i], steps[i+1])
			}
		}
	})
}

// TestGroups: a group's name stands for its last tasks; what a group waits for, its first
// ones wait for.
func TestGroupDependencies(t *testing.T) {
	tasks := []map[string]any{
		{"task_id": "a"},
		{"task_id": "b", "task_group": "g1"},
		{"task_id": "c", "task_group": "g1", "upstream_task_ids": []string{"b"}},
		{"task_id": "d", "task_group": "g1"},
		{"task_id": "e", "upstream_task_ids": []string{"g1"}},
	}
	g, faults := Parse("f", encodeYAML(newFile(tasks, map[string]any{"task_groups": []any{map[string]any{"group_id": "g1", "upstream_task_ids": []string{"a"}}}})))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := map[string]string{"a": "[]", "b": "[a]", "c": "[b]", "d": "[a]", "e": "[c d]"}
	for id, up := range g.upstreamTasks() {
		if got := fmt.Sprint(up); got != want[id] {
			t.Errorf("%s waits for %s, want %s", id, got, want[id])
		}
	}
}

// TestFaults: every fault of a file comes at once, at the line of the value that is wrong;
// one that needs a run comes with the run. What a native job would be refused for is said
// in the same words.
func TestFaultsAreReported(t *testing.T) {
	head := "dag_id: g\ndefault_args: {class: c, team: t, image: i, cpus: 1}\ntasks:\n"
	for name, c := range map[string]struct {
		text string
		want []string // line: path: part of what
	}{
		"several": {"dag_id: a b\nschedule: '61 * * * *'\ntimezone: Nowhere/At\ncolour: red\ntasks:\n- {task_id: a, cpus: many, colour: red}\n- {task_id: a, upstream_task_ids: [x]}\n",
			[]string{"1: /: colour", "1: /dag_id: pattern", "2: /schedule: 61", "3: /timezone: Nowhere", "6: /tasks/0/cpus: number", "6: /tasks/0/colour: unknown field", "7: /tasks/1/task_id: a stands twice", "7: /tasks/1/upstream_task_ids/0: no task or group x"}},
		"itself":            {head + "- {task_id: a, upstream_task_ids: [a]}\n", []string{"4: /tasks/0/upstream_task_ids: a cycle: a <- a", "4: /tasks/0/upstream_task_ids/0: its own upstream"}},
		"no yaml":           {"tasks: [", []string{"0: /: line 1"}},
		"two documents":     {"dag_id: a\n---\ndag_id: b\n", []string{"0: /: more than one document"}},
		"key twice":         {head + "- task_id: a\n  task_id: b\n", []string{"4: /tasks/0/task_id: stands twice"}},
		"no start":          {"schedule: '@daily'\n" + head + "- task_id: a\n", []string{"1: /schedule: start_date"}},
		"no such date":      {"start_date: 2026-02-30\n" + head + "- task_id: a\n", []string{"1: /start_date: neither"}},
		"no group":          {head + "- {task_id: a, task_group: x}\n", []string{"4: /tasks/0/task_group: no group x"}},
		"no such parameter": {head + "- {task_id: a, expand: {param: x}}\n", []string{"4: /tasks/0/expand: no parameter x"}},
		"missing":           {"dag_id: g\ntasks:\n- {task_id: a, team: t, image: i, cpus: 1}\n", []string{"3: /tasks/0/class: class is missing"}},
		"a name not there":  {head + "- {task_id: a, image: '{{ params.x }}'}\n", []string{"4: /tasks/0/image: x"}},
		"half":              {head + "- {task_id: a, count: '{{ 1 / 2 }}'}\n", []string{"4: /tasks/0/count: whole number"}},
		"beyond the class":  {head + "- {task_id: a, retries: 4}\n", []string{"4: /tasks/0/retries: repeats: 4, its class allows 3"}},
		"unknown team":      {head + "- {task_id: a, team: x}\n", []string{"4: /tasks/0: unknown team"}},
		"over the limit":    {head + "- {task_id: a, kind: gang, gpus: 3, count: 3}\n", []string{"4: /tasks/0: more than the team's limit"}},
		"takes nothing":     {head + "- {task_id: a, cpus: 0}\n", []string{"4: /tasks/0: a task must take something"}},
		"too many awaits":   {head + "- {task_id: a, expand: [" + strings.Repeat("1, ", tuning.GraphAwaits) + "1]}\n- {task_id: b, upstream_task_ids: [a]}\n", []string{"5: /tasks/1/upstream_task_ids: waits for 49 jobs"}},
	} {
		t.Run(name, func(t *testing.T) {
			g, faults := Parse("f", []byte(c.text))
			if len(faults) == 0 {
				_, faults = g.Compile(testRun, testRules)
			}
			var got []string
			for _, f := range faults {
				got = append(got, fmt.Sprintf("%d: %s: %s", f.Line, f.Path, f.Message))
			}
			for _, want := range c.want {
				line, path, what := strings.SplitN(want, ": ", 3)[0], strings.SplitN(want, ": ", 3)[1], strings.SplitN(want, ": ", 3)[2]
				if !slices.ContainsFunc(got, func(s string) bool { return strings.HasPrefix(s, line+": "+path+": ") && strings.Contains(s, what) }) {
					t.Errorf("not told: %s", want)
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("%d faults, want %d: %q", len(got), len(c.want), got)
			}
		})
	}
}

// TestTemplatesReachNothing: a template has the run's names and nothing else; statements,
// functions, other files, and what makes much of little are refused.
func TestTemplatesAreSandboxed(t *testing.T) {
	names := map[string]any{"ds": "2026-03-08", "params": map[string]any{"x": "v", "list": []any{"a", "b"}, "deep": map[string]any{"y": 1.0}}}
	for text, want := range map[string]string{
		"{{ ds }}": "2026-03-08", "a-{{ params.x | upper }}": "a-V", "{{ params.list | join('+') }}": "a+b", "{{ params.deep.y + 1 }}": "2.0", "{{ params['x'] }}{# note #}": "v",
		"{{ 'yes' if params.x == 'v' else 'no' }}": "yes",
	} {
		if got, err := render(text, names); err != nil || got != want {
			t.Errorf("%s: %q, %v; want %q", text, got, err, want)
		}
	}
	for _, text := range []string{
		"{{ dss }}", "{{ params.z }}", "{{ params.deep.z }}", "{{ 'a' * 1000000000 }}", "{{ 9 ** 999999 }}", "{% for i in params.list %}x{% endfor %}",
		"{% include '/etc/hostname' %}", "{% set a = 1 %}", "{{ range(9) }}", "{{ lipsum() }}", "{{ ds | random }}", "{{ ds | center(100000000) }}", "{{ ds", "{{ ds.upper }", "{{ }}",
		"{{ [].append(1) }}", "{{ namespace() }}",
	} {
		if got, err := render(text, names); err == nil {
			t.Errorf("%s gave %q", text, got)
		}
	}
}

// TestAnyBytes: whatever a file holds, faults come back and nothing panics; an alias that
// refers to itself over and over makes no file large.
func TestAnyBytes(t *testing.T) {
	example, err := os.ReadFile("../../examples/photo_sorting.json")
	if err != nil {
		t.Fatal(err)
	}
	try := func(b []byte) []Fault {
		g, faults := Parse("f", b)
		if len(faults) == 0 {
			_, faults = g.Compile(testRun, Rules{})
		}
		return faults
	}
	rapid.Check(t, func(t *rapid.T) {
		b := slices.Clone(example)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				b[i] = rapid.Byte().Draw(t, "byte")
			case 1:
				b = slices.Delete(b, i, min(len(b), i+rapid.IntRange(1, 20).Draw(t, "cut")))
			default:
				b = slices.Insert(b, i, rapid.SliceOfN(rapid.SampledFrom([]byte("{}[]\",:&*{{ %}}<<-#'\n0e9")), 1, 6).Draw(t, "put")...)
			}
			if len(b) == 0 {
				break
			}
		}
		try(b)
	})
	bomb := "dag_id: g\na: &a [x, x, x, x, x, x, x, x, x]\n"
	for c := 'b'; c <= 'j'; c++ {
		bomb += fmt.Sprintf("%c: &%c [%s]\n", c, c, strings.TrimSuffix(strings.Repeat(fmt.Sprintf("*%c, ", c-1), 9), ", "))
	}
	for _, text := range []string{"", "null", "[]", "5", "dag_id: &x {a: *x}\n", bomb, "<<: 5\n", "&a a: *a\n"} {
		if faults := try([]byte(text)); len(faults) == 0 {
			t.Errorf("%.20q is no graph", text)
		}
	}
}

// TestExamples: the graphs that the documentation shows are good, against the classes that
// deploy has.
func TestExamplesCompile(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*")
	op, err := config.LoadOperator("../../deploy/classes.xml")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		g, faults := Parse(f, b)
		if len(faults) == 0 {
			var jobs []Job
			if jobs, faults = g.Compile(testRun, Rules{RetryPolicies: retry.NewPolicies(op.Classes)}); len(jobs) < 4 {
				t.Errorf("%s: %d jobs", f, len(jobs))
			}
		}
		if len(faults) > 0 {
			t.Errorf("%v", faults)
		}
	}
}

// BenchmarkLargeGraph checks and compiles a graph of 10,000 tasks.
func BenchmarkLargeGraph(b *testing.B) {
	var tasks []map[string]any
	for i := range 10_000 {
		t := map[string]any{"task_id": fmt.Sprint("t", i), "image": "i-{{ ds_nodash }}"}
		if i >= 100 {
			t["upstream_task_ids"] = []string{fmt.Sprint("t", i-100), fmt.Sprint("t", i-37)}
		}
		tasks = append(tasks, t)
	}
	text := encodeYAML(newFile(tasks, nil))
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		g, faults := Parse("f", text)
		if len(faults) > 0 {
			b.Fatal(faults)
		}
		if jobs, faults := g.Compile(testRun, testRules); len(jobs) != 10_000 || len(faults) > 0 {
			b.Fatal(len(jobs), faults)
		}
	}
}
