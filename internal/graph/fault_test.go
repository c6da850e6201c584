package graph

import (
	"slices"
	"strings"
	"testing"

	"sableusher/internal/tuning"
)

// fileHead precedes the tasks of most of the faulty files. The first task is in line 4.
const fileHead = "dag_id: g\ndefault_args: {class: c, team: t, image: i, cpus: 1}\ntasks:\n"

// expectedFault describes a fault whose message contains the given text.
type expectedFault struct {
	line    int
	path    string
	message string
}

func (e expectedFault) matches(fault Fault) bool {
	return fault.Line == e.line && fault.Path == e.path && strings.Contains(fault.Message, e.message)
}

// faultyFiles are invalid files, each with all of its faults.
var faultyFiles = []struct {
	name string
	text string
	want []expectedFault
}{
	{
		name: "several faults",
		text: "dag_id: a b\n" +
			"schedule: '61 * * * *'\n" +
			"timezone: Nowhere/At\n" +
			"colour: red\n" +
			"tasks:\n" +
			"- {task_id: a, cpus: many, colour: red}\n" +
			"- {task_id: a, upstream_task_ids: [x]}\n",
		want: []expectedFault{
			{line: 1, path: "/", message: "colour"},
			{line: 1, path: "/dag_id", message: "pattern"},
			{line: 2, path: "/schedule", message: "61"},
			{line: 3, path: "/timezone", message: "Nowhere"},
			{line: 6, path: "/tasks/0/cpus", message: "number"},
			{line: 6, path: "/tasks/0/colour", message: "unknown field"},
			{line: 7, path: "/tasks/1/task_id", message: "a stands twice"},
			{line: 7, path: "/tasks/1/upstream_task_ids/0", message: "no task or group x"},
		},
	},
	{
		name: "task that depends on itself",
		text: fileHead + "- {task_id: a, upstream_task_ids: [a]}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/upstream_task_ids", message: "a cycle: a <- a"},
			{line: 4, path: "/tasks/0/upstream_task_ids/0", message: "its own upstream"},
		},
	},
	{
		name: "invalid YAML",
		text: "tasks: [",
		want: []expectedFault{
			{line: 0, path: "/", message: "line 1"},
		},
	},
	{
		name: "two documents",
		text: "dag_id: a\n---\ndag_id: b\n",
		want: []expectedFault{
			{line: 0, path: "/", message: "more than one document"},
		},
	},
	{
		name: "duplicate key",
		text: fileHead + "- task_id: a\n  task_id: b\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/task_id", message: "stands twice"},
		},
	},
	{
		name: "schedule without start date",
		text: "schedule: '@daily'\n" + fileHead + "- task_id: a\n",
		want: []expectedFault{
			{line: 1, path: "/schedule", message: "start_date"},
		},
	},
	{
		name: "invalid date",
		text: "start_date: 2026-02-30\n" + fileHead + "- task_id: a\n",
		want: []expectedFault{
			{line: 1, path: "/start_date", message: "neither"},
		},
	},
	{
		name: "unknown group",
		text: fileHead + "- {task_id: a, task_group: x}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/task_group", message: "no group x"},
		},
	},
	{
		name: "unknown parameter",
		text: fileHead + "- {task_id: a, expand: {param: x}}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/expand", message: "no parameter x"},
		},
	},
	{
		name: "missing class",
		text: "dag_id: g\ntasks:\n- {task_id: a, team: t, image: i, cpus: 1}\n",
		want: []expectedFault{
			{line: 3, path: "/tasks/0/class", message: "class is missing"},
		},
	},
	{
		name: "undefined template variable",
		text: fileHead + "- {task_id: a, image: '{{ params.x }}'}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/image", message: "x"},
		},
	},
	{
		name: "fractional count",
		text: fileHead + "- {task_id: a, count: '{{ 1 / 2 }}'}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/count", message: "whole number"},
		},
	},
	{
		name: "more retries than the class allows",
		text: fileHead + "- {task_id: a, retries: 4}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0/retries", message: "repeats: 4, its class allows 3"},
		},
	},
	{
		name: "unknown team",
		text: fileHead + "- {task_id: a, team: x}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0", message: "unknown team"},
		},
	},
	{
		name: "over the team limit",
		text: fileHead + "- {task_id: a, kind: gang, gpus: 3, count: 3}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0", message: "more than the team's limit"},
		},
	},
	{
		name: "no resources",
		text: fileHead + "- {task_id: a, cpus: 0}\n",
		want: []expectedFault{
			{line: 4, path: "/tasks/0", message: "a task must take something"},
		},
	},
	{
		name: "too many dependencies",
		text: fileHead + "- {task_id: a, expand: [" + strings.Repeat("1, ", tuning.GraphMaxDependencies) + "1]}\n" +
			"- {task_id: b, upstream_task_ids: [a]}\n",
		want: []expectedFault{
			{line: 5, path: "/tasks/1/upstream_task_ids", message: "waits for 49 jobs"},
		},
	},
}

// TestFaultsAreReported checks that all faults of a file are reported at once, each with the
// line of the invalid value. Parse reports the faults that do not depend on a run, and Compile
// the others. A fault for which a native job would be rejected has the same text as the rejection of
// a direct submission.
func TestFaultsAreReported(t *testing.T) {
	for _, test := range faultyFiles {
		t.Run(test.name, func(t *testing.T) {
			graph, faults := Parse("f", []byte(test.text))
			if len(faults) == 0 {
				_, faults = graph.Compile(testRun, testRules)
			}
			for _, want := range test.want {
				if !slices.ContainsFunc(faults, want.matches) {
					t.Errorf("not reported: %+v", want)
				}
			}
			if len(faults) != len(test.want) {
				t.Errorf("%d faults, want %d: %q", len(faults), len(test.want), faults)
			}
		})
	}
}
