package graph

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Run is one run of a graph.
type Run struct {
	ID          string
	LogicalDate time.Time
	Params      map[string]any // override the graph's default values
}

// Rules are the limits that a deployment imposes on jobs. If Teams is nil, teams and machine types are not checked.
type Rules struct {
	Teams         map[string]config.Team
	MachineTypes  map[string]wire.MachineType
	RetryPolicies retry.Policies
}

// notMapped is the MapIndex of the single instance of a task that is not mapped.
const notMapped = -1

// Job is the native job of one instance of a task.
type Job struct {
	TaskID      string
	MapIndex    int // index of the instance of a mapped task; -1 if the task is not mapped
	TriggerRule TriggerRule
	Spec        wire.JobSpec
	Upstream    []int // positions, in the list that Compile returns, of the jobs that this one depends on
	// Deferred is true if the trigger rule of the job, or of any job upstream of it, is not
	// TriggerAllSuccess. The owner of the run must submit such a job only once its trigger rule is met.
	// Other jobs can be submitted at once: the scheduler holds them back until their dependencies succeed.
	Deferred bool
}

// JobID returns the id of the job of a task's instance in a run: "run-9" and 19 digits of a hash of the arguments.
// The id is deterministic, so that repeated submissions of the same job use the same id. It has the maximum number of
// digits; the ids that users choose are expected to be shorter, and so don't collide with it.
func JobID(graphID, runID, taskID string, mapIndex int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %d", graphID, runID, taskID, mapIndex))
	return fmt.Sprintf("run-9%019d", binary.BigEndian.Uint64(sum[:])%1e19)
}

// Compile returns the jobs of a run and the faults that it finds in them. Each job follows the
// jobs that it depends on. A graph for which Parse returned faults must not be compiled.
func (g *Graph) Compile(run Run, rules Rules) ([]Job, []Fault) {
	faults := &faultCollector{source: g.source}
	params := g.runParams(run, faults)
	if count := g.instanceCount(params); count > tuning.GraphMaxTasks {
		faults.add("/tasks", "%d tasks with those that are mapped, at most %d", count, tuning.GraphMaxTasks)
		return nil, faults.faults
	}
	c := compiler{
		graph:      g,
		runID:      run.ID,
		rules:      rules,
		params:     params,
		variables:  g.templateVariables(run, params),
		upstream:   g.upstreamTasks(),
		faults:     faults,
		jobsOfTask: map[string][]int{},
		deferred:   map[string]bool{},
	}
	for _, index := range g.topologicalOrder(c.upstream) {
		c.compileTask(index)
	}
	return c.jobs, faults.sorted()
}

// runParams returns the graph's parameters, overridden by those of the run. It adds a fault for each parameter of the
// run that the graph does not define.
func (g *Graph) runParams(run Run, faults *faultCollector) map[string]any {
	params := maps.Clone(g.Params)
	for name, value := range run.Params {
		if _, ok := g.Params[name]; !ok {
			faults.add("/params", "a run was given %s, which is no parameter", name)
			continue
		}
		params[name] = value
	}
	return params
}

// templateVariables returns the variables that the templates of all tasks of a run may use.
func (g *Graph) templateVariables(run Run, params map[string]any) map[string]any {
	date := run.LogicalDate
	if zone, err := g.Location(); err == nil {
		date = date.In(zone)
	}
	return map[string]any{
		"ds":           date.Format(time.DateOnly),
		"ds_nodash":    date.Format("20060102"),
		"ts":           date.Format(time.RFC3339),
		"ts_nodash":    date.Format("20060102T150405"),
		"logical_date": date.Format(time.RFC3339),
		"run_id":       run.ID,
		"params":       params,
		"dag":          map[string]any{"dag_id": g.ID},
	}
}

// compiler compiles one run of a graph, task by task in topological order.
type compiler struct {
	graph     *Graph
	runID     string
	rules     Rules
	params    map[string]any
	variables map[string]any      // template variables that all tasks share
	upstream  map[string][]string // ids of upstream tasks by task id
	faults    *faultCollector

	jobs       []Job
	jobsOfTask map[string][]int // positions in jobs, by task id
	deferred   map[string]bool  // by task id
}

// compileTask appends the jobs of the task with the given index.
func (c *compiler) compileTask(index int) {
	task := &c.graph.Tasks[index]
	args := task.withDefaults(c.graph.DefaultArgs)
	rule := cmp.Or(args.TriggerRule, TriggerAllSuccess)
	c.deferred[task.ID] = rule != TriggerAllSuccess || c.hasDeferredUpstream(task.ID)
	upstreamJobs := c.upstreamJobs(task.ID)
	path := taskPath(index)
	if len(upstreamJobs) > tuning.GraphMaxDependencies && !c.deferred[task.ID] {
		c.faults.add(path+"/upstream_task_ids",
			"waits for %d jobs, at most %d", len(upstreamJobs), tuning.GraphMaxDependencies)
	}
	items := task.mappedItems(c.params)
	for i := range max(1, len(items)) {
		variables := maps.Clone(c.variables)
		variables["task"] = map[string]any{"task_id": task.ID}
		mapIndex := notMapped
		if task.isMapped() {
			mapIndex = i
			variables["item"], variables["map_index"] = items[i], i
		}
		builder := specBuilder{faults: c.faults, path: path, args: &args, variables: variables, rules: &c.rules}
		c.appendJob(Job{
			TaskID:      task.ID,
			MapIndex:    mapIndex,
			TriggerRule: rule,
			Spec:        builder.build(),
			Upstream:    upstreamJobs,
			Deferred:    c.deferred[task.ID],
		})
	}
}

// appendJob sets the id and dependencies of a job and appends it. A deferred job gets no dependencies.
func (c *compiler) appendJob(job Job) {
	job.Spec.ID = JobID(c.graph.ID, c.runID, job.TaskID, job.MapIndex)
	if !job.Deferred {
		for _, position := range job.Upstream {
			job.Spec.Dependencies = append(job.Spec.Dependencies, c.jobs[position].Spec.ID)
		}
	}
	c.jobsOfTask[job.TaskID] = append(c.jobsOfTask[job.TaskID], len(c.jobs))
	c.jobs = append(c.jobs, job)
}

func (c *compiler) hasDeferredUpstream(taskID string) bool {
	return slices.ContainsFunc(c.upstream[taskID], func(id string) bool { return c.deferred[id] })
}

// upstreamJobs returns the positions of the jobs of all instances of a task's upstream tasks.
func (c *compiler) upstreamJobs(taskID string) []int {
	var positions []int
	for _, id := range c.upstream[taskID] {
		positions = append(positions, c.jobsOfTask[id]...)
	}
	return positions
}

// withDefaults returns the arguments, with each unset one replaced by its default.
func (a TaskArgs) withDefaults(defaults TaskArgs) TaskArgs {
	setDefaults(reflect.ValueOf(&a).Elem(), reflect.ValueOf(defaults))
	return a
}

// setDefaults sets the zero fields of a struct to the defaults, and those of embedded structs as well.
func setDefaults(value, defaults reflect.Value) {
	for i := range value.NumField() {
		field := value.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			setDefaults(field, defaults.Field(i))
		case field.IsZero():
			field.Set(defaults.Field(i))
		}
	}
}
