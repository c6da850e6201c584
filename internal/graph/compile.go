package graph

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"

	"sableusher/internal/admission"
	"sableusher/internal/config"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Run is one run of a graph.
type Run struct {
	ID          string
	LogicalDate time.Time      // its logical date
	Params      map[string]any // over the graph's own
}

// Rules is what a deployment allows. Without teams none are checked.
type Rules struct {
	Teams         map[string]config.Team
	MachineTypes  map[string]wire.MachineType
	RetryPolicies retry.Policies
}

// Job is one instance of a task, as a native job.
type Job struct {
	TaskID      string // its id in the graph
	MapIndex    int    // its number among a mapped task's instances; -1 if the task is not mapped
	TriggerRule string // its trigger rule
	Spec        wire.JobSpec
	Upstream    []int // jobs that it waits for, by their place in the list
	// Deferred tells that a run's owner has to submit it once its rule, or that of one before
	// it, is met; all others can be submitted at once, as what they await releases them.
	Deferred bool
}

// JobID is the id of a task's job in a run: 20 digits from a 9 on, from a hash of what names
// it, so that whoever submits it again names the same. Users' own ids are shorter.
func JobID(dag, run, task string, index int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %d", dag, run, task, index))
	return fmt.Sprintf("run-9%019d", binary.BigEndian.Uint64(sum[:])%1e19)
}

// Compile gives the jobs of a run, each after those that it waits for, and what is wrong
// with them. A graph with faults of its own must not be compiled.
func (g *Graph) Compile(run Run, rules Rules) ([]Job, []Fault) {
	var faults []Fault
	params := maps.Clone(g.Params)
	for name, v := range run.Params {
		if _, ok := g.Params[name]; !ok {
			g.fault(&faults, "/params", "a run was given %s, which is no parameter", name)
			continue
		}
		params[name] = v
	}
	if n := g.instanceCount(params); n > tuning.GraphTasks {
		g.fault(&faults, "/tasks", "%d tasks with those that are mapped, at most %d", n, tuning.GraphTasks)
		return nil, faults
	}
	up := g.upstreamTasks()
	place := map[string]int{}
	for i, t := range g.Tasks {
		place[t.ID] = i
	}
	var jobs []Job
	of := map[string][]int{} // a task's jobs
	held := map[string]bool{}
	base := g.templateVariables(run, params)
	for _, i := range g.topologicalOrder(up, place) {
		t := &g.Tasks[i]
		args := t.TaskArgs.withDefaults(g.DefaultArgs)
		rule := cmp.Or(args.TriggerRule, TriggerAllSuccess)
		held[t.ID] = rule != TriggerAllSuccess || slices.ContainsFunc(up[t.ID], func(u string) bool { return held[u] })
		var before []int
		for _, u := range up[t.ID] {
			before = append(before, of[u]...)
		}
		path := fmt.Sprintf("/tasks/%d", i)
		if len(before) > tuning.GraphAwaits && !held[t.ID] {
			g.fault(&faults, path+"/upstream_task_ids", "waits for %d jobs, at most %d", len(before), tuning.GraphAwaits)
		}
		items, mapped := t.mappedItems(params), t.Expand != nil
		for k := range max(1, len(items)) {
			j := Job{TaskID: t.ID, MapIndex: -1, TriggerRule: rule, Upstream: before, Deferred: held[t.ID]}
			names := maps.Clone(base)
			names["task"] = map[string]any{"task_id": t.ID}
			if mapped {
				j.MapIndex = k
				names["item"], names["map_index"] = items[k], k
			}
			j.Spec = g.jobSpec(&faults, path, &args, names, rules)
			j.Spec.ID = JobID(g.ID, run.ID, t.ID, j.MapIndex)
			if !j.Deferred {
				for _, b := range before {
					j.Spec.Dependencies = append(j.Spec.Dependencies, jobs[b].Spec.ID)
				}
			}
			of[t.ID] = append(of[t.ID], len(jobs))
			jobs = append(jobs, j)
		}
	}
	return jobs, sortFaults(faults)
}

// topologicalOrder gives the tasks' places, each after its upstream, else as in the file.
func (g *Graph) topologicalOrder(up map[string][]string, place map[string]int) []int {
	var out []int
	done := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		if done[id] {
			return
		}
		done[id] = true
		for _, u := range up[id] {
			visit(u)
		}
		out = append(out, place[id])
	}
	for _, t := range g.Tasks {
		visit(t.ID)
	}
	return out
}

// withDefaults gives the arguments with a graph's defaults where they say nothing.
func (a TaskArgs) withDefaults(defaults TaskArgs) TaskArgs {
	v, d := reflect.ValueOf(&a).Elem(), reflect.ValueOf(defaults)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			v.Field(i).Set(d.Field(i))
		}
	}
	return a
}

// templateVariables are what the templates of all of a run's tasks may use.
func (g *Graph) templateVariables(run Run, params map[string]any) map[string]any {
	at := run.LogicalDate
	if zone, err := g.Location(); err == nil {
		at = at.In(zone)
	}
	return map[string]any{
		"ds": at.Format(time.DateOnly), "ds_nodash": at.Format("20060102"),
		"ts": at.Format(time.RFC3339), "ts_nodash": at.Format("20060102T150405"),
		"logical_date": at.Format(time.RFC3339), "run_id": run.ID, "params": params,
		"dag": map[string]any{"dag_id": g.ID},
	}
}

// jobSpec gives a task's job without id and awaits, with the faults that its submission would
// be refused for.
func (g *Graph) jobSpec(out *[]Fault, path string, a *TaskArgs, names map[string]any, rules Rules) wire.JobSpec {
	before := len(*out)
	text := func(field, v string, needed bool) string {
		if v == "" && needed {
			g.fault(out, path+"/"+field, "%s is missing, here and in default_args", field)
		}
		if !isTemplate(v) {
			return v
		}
		text, err := render(v, names)
		if err != nil {
			g.fault(out, path+"/"+field, "%v", err)
		} else if text == "" {
			g.fault(out, path+"/"+field, "the template gives nothing")
		}
		return text
	}
	amount := func(field string, v any) float64 {
		n, err := renderNumber(v, names)
		if err != nil {
			g.fault(out, path+"/"+field, "%v", err)
		} else if n < 0 || n > tuning.MaxAmount || math.IsNaN(n) {
			g.fault(out, path+"/"+field, "%v is not from 0 to %v", n, float64(tuning.MaxAmount))
		}
		return n
	}
	whole := func(field string, v any, least, most float64) int {
		n := amount(field, v)
		if n != math.Trunc(n) || n < least || n > most {
			g.fault(out, path+"/"+field, "%v is no whole number from %v to %v", n, least, most)
		}
		return int(n)
	}
	yes := func(field string, v any) bool {
		b, err := renderBool(v, names)
		if err != nil {
			g.fault(out, path+"/"+field, "%v", err)
		}
		return b
	}
	s := wire.JobSpec{
		Class: text("class", a.Class, true), Team: text("team", a.Team, true), Image: text("image", a.Image, true), Zone: text("zone", a.Zone, false),
		Kind:      map[string]wire.JobKind{"": wire.KindArray, "array": wire.KindArray, "gang": wire.KindGang}[a.Kind],
		Priority:  map[string]wire.Priority{"": wire.PriorityNormal, "high": wire.PriorityHigh, "normal": wire.PriorityNormal, "low": wire.PriorityLow}[a.Priority],
		TaskCount: 1, CPUs: amount("cpus", a.CPUs), GPUs: amount("gpus", a.GPUs), MemoryGB: amount("memory_gb", a.MemoryGB), ImageSizeGB: amount("image_gb", a.ImageSizeGB),
		SameZone: yes("one_zone", a.SameZone), Spread: yes("spread", a.Spread), AllowSpot: yes("spot", a.AllowSpot),
		JobTiming: wire.JobTiming{
			RuntimeEstimateSeconds:    amount("estimate_s", a.RuntimeEstimateSeconds),
			CheckpointIntervalSeconds: amount("checkpoint_s", a.CheckpointIntervalSeconds),
			CheckpointSaveSeconds:     amount("save_s", a.CheckpointSaveSeconds),
			DeadlineSeconds:           amount("deadline_s", a.DeadlineSeconds),
		},
	}
	for i, t := range a.MachineTypes {
		s.MachineTypes = append(s.MachineTypes, text(fmt.Sprintf("types/%d", i), t, true))
	}
	if a.TaskCount != nil {
		s.TaskCount = whole("count", a.TaskCount, 1, tuning.MaxTasks)
	}
	var asked *int
	if a.Retries != nil {
		n := whole("retries", a.Retries, 0, tuning.MaxRepeats)
		asked = &n
	}
	if len(*out) > before {
		return s // the rest would only follow from it
	}
	probe := s
	probe.ID = "run-0"
	if _, err := wire.DecodeSubmission(wire.MustEncode(probe)); err != nil {
		g.fault(out, path, "as a job: %v", err)
		return s
	}
	limit, err := rules.RetryPolicies.MaxRetries(s.Class, asked)
	if err != nil {
		g.fault(out, path+"/retries", "%v", err)
	}
	s.MaxRetries = limit
	if rules.Teams != nil {
		if err := admission.Validate(&s, rules.Teams, rules.MachineTypes); err != nil {
			g.fault(out, path, "%v", err)
		}
	}
	return s
}
