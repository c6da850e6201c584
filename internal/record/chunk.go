package record

import (
	"fmt"
	"slices"

	"sableusher/internal/tuning"
)

// FixedChunk is a further chunk of tasks.
type FixedChunk struct {
	Tasks    []Task `cbor:"k"`
	Failures []int  `cbor:"f,omitempty"`
}

// GroupedChunk holds further tasks of a job with a Width.
type GroupedChunk struct {
	Groups   []TaskGroup `cbor:"g"`
	Failures []int       `cbor:"f,omitempty"`
}

// FixedChunkCount is the number of records a job's tasks take.
func FixedChunkCount(tasks int) int { return (tasks + tuning.ChunkTasks - 1) / tuning.ChunkTasks }

// TaskGroup is a number of tasks that are alike but for their numbers.
type TaskGroup struct {
	_            struct{} `cbor:",toarray"`
	State        int
	Attempt      uint64
	Machine      string
	Session      uint64
	ChargedShard int
	IndexRuns    []int // numbers: the first, how many more follow it, and so on
}

// GroupTasks puts tasks that are alike together, in the order of their numbers.
func GroupTasks(tasks []Task) []TaskGroup {
	var out []TaskGroup
	at := map[Task]int{}
	for _, t := range tasks {
		like := t
		like.Index, like.Failures = 0, 0
		g, ok := at[like]
		if !ok {
			g = len(out)
			at[like] = g
			out = append(out, TaskGroup{State: t.State, Attempt: t.Attempt, Machine: t.Machine, Session: t.Session, ChargedShard: t.ChargedShard})
		}
		s := out[g].IndexRuns
		if n := len(s); n > 0 && s[n-2]+s[n-1]+1 == t.Index {
			s[n-1]++
			continue
		}
		out[g].IndexRuns = append(s, t.Index, 0)
	}
	return out
}

func ExpandGroups(groups []TaskGroup) ([]Task, error) {
	var out []Task
	for _, g := range groups {
		if len(g.IndexRuns)%2 != 0 {
			return nil, fmt.Errorf("odd spans")
		}
		for s := 0; s < len(g.IndexRuns); s += 2 {
			from, more := g.IndexRuns[s], g.IndexRuns[s+1]
			if from < 0 || from >= tuning.MaxTasks || more < 0 || len(out)+more >= tuning.ChunkTasks {
				return nil, fmt.Errorf("spans out of range")
			}
			for i := range more + 1 {
				out = append(out, Task{Index: from + i, State: g.State, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, ChargedShard: g.ChargedShard})
			}
		}
	}
	return out, nil
}

// countFailures gives the failures of tasks as their record holds them.
func countFailures(tasks []Task) []int {
	var out []int
	for _, t := range tasks {
		if t.Failures > 0 {
			out = append(out, t.Index, t.Failures)
		}
	}
	return out
}

// AttachFailures gives tasks the failures that stand beside them in their record.
func AttachFailures(tasks []Task, failures []int) []Task {
	if len(failures) == 0 {
		return tasks
	}
	count := map[int]int{}
	for pair := range slices.Chunk(failures, 2) {
		count[pair[0]] = pair[len(pair)-1]
	}
	for i := range tasks {
		tasks[i].Failures = count[tasks[i].Index]
	}
	return tasks
}
