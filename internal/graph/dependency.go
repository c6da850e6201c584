package graph

import "slices"

// upstreamTasks returns the ids of the tasks that each task waits for, in order: those that
// it names, the last tasks of groups that it names, and what its group waits for if it is
// one of the group's first tasks.
func (g *Graph) upstreamTasks() map[string][]string {
	groups := indexGroups(g)
	upstream := make(map[string][]string, len(g.Tasks))
	for i := range g.Tasks {
		task := &g.Tasks[i]
		ids := slices.Clone(task.Upstream)
		if groups.isFirst(task) {
			ids = append(ids, groups.upstream[task.GroupID]...)
		}
		tasks := groups.resolve(ids)
		slices.Sort(tasks)
		upstream[task.ID] = slices.Compact(tasks)
	}
	return upstream
}

// groupIndex tells which tasks a group stands for.
type groupIndex struct {
	groupOf  map[string]string   // group of each task; empty for none
	members  map[string][]string // tasks of each group that has any
	upstream map[string][]string // what each group waits for
	notLast  map[string]bool     // tasks that another one of their group waits for
}

func indexGroups(g *Graph) *groupIndex {
	index := &groupIndex{
		groupOf:  map[string]string{},
		members:  map[string][]string{},
		upstream: map[string][]string{},
		notLast:  map[string]bool{},
	}
	for i := range g.Tasks {
		task := &g.Tasks[i]
		index.groupOf[task.ID] = task.GroupID
		if task.GroupID != "" {
			index.members[task.GroupID] = append(index.members[task.GroupID], task.ID)
		}
	}
	for _, group := range g.Groups {
		index.upstream[group.ID] = group.Upstream
	}
	for i := range g.Tasks {
		task := &g.Tasks[i]
		for _, id := range task.Upstream {
			if id != task.ID && index.sameGroup(task, id) {
				index.notLast[id] = true
			}
		}
	}
	return index
}

// sameGroup reports whether a task has a group and another task is in it.
func (x *groupIndex) sameGroup(task *Task, other string) bool {
	return task.GroupID != "" && x.groupOf[other] == task.GroupID
}

// isFirst reports whether a task has a group and waits for none of its tasks.
func (x *groupIndex) isFirst(task *Task) bool {
	if task.GroupID == "" {
		return false
	}
	return !slices.ContainsFunc(task.Upstream, func(id string) bool { return x.sameGroup(task, id) })
}

// resolve replaces groups by their last tasks and leaves out ids that don't exist.
func (x *groupIndex) resolve(ids []string) []string {
	var tasks []string
	for _, id := range ids {
		if members, ok := x.members[id]; ok {
			tasks = append(tasks, x.lastOf(members)...)
		} else if _, ok := x.groupOf[id]; ok {
			tasks = append(tasks, id)
		}
	}
	return tasks
}

func (x *groupIndex) lastOf(members []string) []string {
	var last []string
	for _, id := range members {
		if !x.notLast[id] {
			last = append(last, id)
		}
	}
	return last
}

// findCycle returns tasks each of which waits for the next, the first one again at the end;
// nil if no task waits for itself.
func (g *Graph) findCycle() []string {
	finder := cycleFinder{upstream: g.upstreamTasks(), states: map[string]visitState{}}
	for i := range g.Tasks {
		id := g.Tasks[i].ID
		if finder.states[id] != notVisited {
			continue
		}
		if cycle := finder.visit(id); cycle != nil {
			return cycle
		}
	}
	return nil
}

// visitState is how far a depth-first search is with a task.
type visitState int

const (
	notVisited visitState = iota
	visiting
	visited
)

// cycleFinder searches depth first along upstream tasks.
type cycleFinder struct {
	upstream map[string][]string
	states   map[string]visitState
	path     []string // tasks that are being visited
}

func (f *cycleFinder) visit(id string) []string {
	f.states[id] = visiting
	f.path = append(f.path, id)
	for _, upstreamID := range f.upstream[id] {
		switch f.states[upstreamID] {
		case visiting:
			start := slices.Index(f.path, upstreamID)
			return append(slices.Clone(f.path[start:]), upstreamID)
		case notVisited:
			if cycle := f.visit(upstreamID); cycle != nil {
				return cycle
			}
		case visited:
		}
	}
	f.states[id] = visited
	f.path = f.path[:len(f.path)-1]
	return nil
}

// topologicalOrder returns the tasks' indexes, each after those of its upstream tasks, and
// otherwise in the order of the file. The graph must have no cycle.
func (g *Graph) topologicalOrder(upstream map[string][]string) []int {
	sorter := topologicalSorter{upstream: upstream, indexes: map[string]int{}, visited: map[string]bool{}}
	for i := range g.Tasks {
		sorter.indexes[g.Tasks[i].ID] = i
	}
	for i := range g.Tasks {
		sorter.visit(g.Tasks[i].ID)
	}
	return sorter.order
}

// topologicalSorter appends tasks after all that they wait for.
type topologicalSorter struct {
	upstream map[string][]string
	indexes  map[string]int // by task
	visited  map[string]bool
	order    []int
}

func (s *topologicalSorter) visit(id string) {
	if s.visited[id] {
		return
	}
	s.visited[id] = true
	for _, upstreamID := range s.upstream[id] {
		s.visit(upstreamID)
	}
	s.order = append(s.order, s.indexes[id])
}
