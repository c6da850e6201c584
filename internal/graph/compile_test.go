package graph

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/retry"
	"sableusher/internal/wire"
)

// generatedGraph is a generated graph without cycles, with the expected properties of its jobs by task id.
type generatedGraph struct {
	tasks     []map[string]any // as a file describes them
	upstream  map[string][]string
	rules     map[string]TriggerRule
	instances map[string]int // number of instances
}

func drawGraph(t *rapid.T) *generatedGraph {
	graph := &generatedGraph{
		upstream:  map[string][]string{},
		rules:     map[string]TriggerRule{},
		instances: map[string]int{},
	}
	taskCount := rapid.IntRange(1, 20).Draw(t, "tasks")
	for i := range taskCount {
		graph.tasks = append(graph.tasks, graph.drawTask(t, i))
	}
	graph.tasks = rapid.Permutation(graph.tasks).Draw(t, "order")
	return graph
}

// drawTask draws a task that depends on some of the tasks with lower indexes.
func (g *generatedGraph) drawTask(t *rapid.T, index int) map[string]any {
	id := taskID(index)
	task := map[string]any{"task_id": id}
	for upstream := range index {
		if rapid.IntRange(0, 3).Draw(t, "edge") == 0 && len(g.upstream[id]) < 6 {
			g.upstream[id] = append(g.upstream[id], taskID(upstream))
		}
	}
	if len(g.upstream[id]) > 0 {
		task["upstream_task_ids"] = g.upstream[id]
	}
	g.instances[id] = 1
	if rapid.IntRange(0, 3).Draw(t, "mapped") == 0 {
		g.instances[id] = rapid.IntRange(1, 5).Draw(t, "width")
		task["expand"], task["image"] = itemNames(g.instances[id]), "{{ item }}-{{ map_index }}"
	}
	g.rules[id] = TriggerAllSuccess
	if rapid.IntRange(0, 5).Draw(t, "rule") == 0 {
		others := []TriggerRule{
			TriggerAllDone, TriggerOneSuccess, TriggerOneFailed, TriggerNoneFailed, TriggerAlways,
		}
		g.rules[id] = rapid.SampledFrom(others).Draw(t, "which")
		task["trigger_rule"] = g.rules[id]
	}
	return task
}

func taskID(index int) string { return fmt.Sprint("t", index) }

func itemNames(count int) []any {
	names := []any{}
	for i := range count {
		names = append(names, fmt.Sprint("item-", i))
	}
	return names
}

// compiledRun holds the jobs of a run, with an index by task id.
type compiledRun struct {
	jobs     []Job
	ids      map[string][]string // job ids by task id
	deferred map[string]bool     // by task id
}

func indexJobs(jobs []Job) *compiledRun {
	run := &compiledRun{jobs: jobs, ids: map[string][]string{}, deferred: map[string]bool{}}
	for _, job := range jobs {
		run.ids[job.TaskID] = append(run.ids[job.TaskID], job.Spec.ID)
		run.deferred[job.TaskID] = job.Deferred
	}
	return run
}

// upstreamIDs returns the sorted ids of the jobs that a job depends on, and checks that they
// precede it.
func (r *compiledRun) upstreamIDs(t *rapid.T, position int) []string {
	var ids []string
	for _, upstream := range r.jobs[position].Upstream {
		if upstream >= position {
			t.Errorf("%s precedes a job that it depends on", r.jobs[position].TaskID)
		}
		ids = append(ids, r.jobs[upstream].Spec.ID)
	}
	slices.Sort(ids)
	return ids
}

// TestGeneratedGraphsCompile compiles generated graphs and compares the jobs with the edges of
// the graph. Each instance of a task must be one job that depends on all instances of the task's
// upstream tasks, follows them, and is a valid submission. A job must be deferred if and only if
// its trigger rule, or that of a job upstream of it, is not TriggerAllSuccess. JSON and YAML
// files must compile to the same jobs, which also shows that compilation is deterministic.
func TestGeneratedGraphsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generated := drawGraph(t)
		file := newFile(generated.tasks, nil)
		jobs := mustCompile(t, encodeYAML(file))
		fromJSON := mustCompile(t, encodeJSON(file))
		if !slices.Equal(encodeJSON(fromJSON), encodeJSON(jobs)) {
			t.Error("JSON and YAML compile to different jobs")
		}
		checkUniqueIDs(t, jobs)
		run := indexJobs(jobs)
		for position := range jobs {
			checkUpstreamJobs(t, generated, run, position)
			checkDependencies(t, run, position)
			checkJobSpec(t, &jobs[position])
		}
	})
}

func mustCompile(t *rapid.T, content []byte) []Job {
	graph, faults := Parse("f", content)
	if len(faults) > 0 {
		t.Fatalf("%v", faults)
	}
	jobs, faults := graph.Compile(testRun, testRules)
	if len(faults) > 0 {
		t.Fatalf("%v", faults)
	}
	return jobs
}

func checkUniqueIDs(t *rapid.T, jobs []Job) {
	ids := map[string]bool{}
	for _, job := range jobs {
		ids[job.Spec.ID] = true
	}
	if len(ids) != len(jobs) {
		t.Error("job ids are not unique")
	}
}

// checkUpstreamJobs checks a job's upstream jobs, the number of its task's instances, and whether the job is deferred.
func checkUpstreamJobs(t *rapid.T, generated *generatedGraph, run *compiledRun, position int) {
	job := &run.jobs[position]
	var want []string
	wantDeferred := generated.rules[job.TaskID] != TriggerAllSuccess
	for _, upstream := range generated.upstream[job.TaskID] {
		want = append(want, run.ids[upstream]...)
		wantDeferred = wantDeferred || run.deferred[upstream]
	}
	slices.Sort(want)
	if got := run.upstreamIDs(t, position); !slices.Equal(want, got) {
		t.Errorf("%s has upstream jobs %v, want %v", job.TaskID, got, want)
	}
	if got := len(run.ids[job.TaskID]); got != generated.instances[job.TaskID] {
		t.Errorf("%s has %d instances, want %d", job.TaskID, got, generated.instances[job.TaskID])
	}
	if job.Deferred != wantDeferred {
		t.Errorf("%s is deferred: %v, want %v", job.TaskID, job.Deferred, wantDeferred)
	}
}

// checkDependencies checks that a job depends on its upstream jobs, or on no job if it is deferred.
func checkDependencies(t *rapid.T, run *compiledRun, position int) {
	job := &run.jobs[position]
	got := slices.Sorted(slices.Values(job.Spec.Dependencies))
	var want []string
	if !job.Deferred {
		want = run.upstreamIDs(t, position)
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s depends on %v, want %v", job.TaskID, got, want)
	}
}

// checkJobSpec checks that a job is a valid submission and that its image template was rendered.
func checkJobSpec(t *rapid.T, job *Job) {
	if _, err := wire.DecodeSubmission(wire.MustEncode(job.Spec)); err != nil {
		t.Errorf("%s: %v", job.TaskID, err)
	}
	if job.MapIndex >= 0 && job.Spec.Image != fmt.Sprintf("item-%d-%d", job.MapIndex, job.MapIndex) {
		t.Errorf("%s[%d]: image %s", job.TaskID, job.MapIndex, job.Spec.Image)
	}
}

// TestExamplesCompile checks that the example graphs of the documentation have no faults with the
// classes that deploy/classes.xml defines.
func TestExamplesCompile(t *testing.T) {
	files, err := filepath.Glob("../../examples/*")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	operator, err := config.LoadOperator("../../deploy/classes.xml")
	if err != nil {
		t.Fatal(err)
	}
	rules := Rules{RetryPolicies: retry.NewPolicies(operator.Classes)}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		graph, faults := Parse(file, content)
		if len(faults) > 0 {
			t.Errorf("%v", faults)
			continue
		}
		jobs, faults := graph.Compile(testRun, rules)
		if len(jobs) < 4 || len(faults) > 0 {
			t.Errorf("%s: %d jobs, %v", file, len(jobs), faults)
		}
	}
}

// BenchmarkLargeGraph parses and compiles a graph of 10,000 tasks.
func BenchmarkLargeGraph(b *testing.B) {
	const taskCount = 10_000
	var tasks []map[string]any
	for i := range taskCount {
		task := map[string]any{"task_id": taskID(i), "image": "i-{{ ds_nodash }}"}
		if i >= 100 {
			task["upstream_task_ids"] = []string{taskID(i - 100), taskID(i - 37)}
		}
		tasks = append(tasks, task)
	}
	content := encodeYAML(newFile(tasks, nil))
	b.SetBytes(int64(len(content)))
	b.ReportAllocs()
	for b.Loop() {
		graph, faults := Parse("f", content)
		if len(faults) > 0 {
			b.Fatal(faults)
		}
		jobs, faults := graph.Compile(testRun, testRules)
		if len(jobs) != taskCount || len(faults) > 0 {
			b.Fatal(len(jobs), faults)
		}
	}
}
