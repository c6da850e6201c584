package graph

import "slices"

// upstreamTasks returns the sorted ids of the tasks that each task depends on: the tasks that
// it names, the last tasks of the groups that it names, and, if it is one of the first tasks of
// its group, the upstream tasks of that group.
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

// groupIndex records the members and dependencies of groups.
type groupIndex struct {
	groupOf  map[string]string   // group id by task id; empty for a task without a group
	members  map[string][]string // task ids by group id; has no groups without tasks
	upstream map[string][]string // ids of upstream tasks and groups by group id
	notLast  map[string]bool     // ids of tasks that another task of the same group depends on
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

// sameGroup reports whether a task is in a group that also contains the task with the id other.
func (x *groupIndex) sameGroup(task *Task, other string) bool {
	return task.GroupID != "" && x.groupOf[other] == task.GroupID
}

// isFirst reports whether a task is in a group and depends directly on none of the group's tasks.
func (x *groupIndex) isFirst(task *Task) bool {
	if task.GroupID == "" {
		return false
	}
	return !slices.ContainsFunc(task.Upstream, func(id string) bool { return x.sameGroup(task, id) })
}

// resolve replaces each group id by the ids of the group's last tasks. It drops unknown ids and groups without tasks.
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

// lastOf returns the members on which no other task of their group depends.
func (x *groupIndex) lastOf(members []string) []string {
	var last []string
	for _, id := range members {
		if !x.notLast[id] {
			last = append(last, id)
		}
	}
	return last
}

// findCycle returns the ids of the tasks of a dependency cycle. Each task depends on the next
// one, and the last id equals the first. It returns nil if there is no cycle.
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

// visitState is the state of a task in a depth-first search.
type visitState int

const (
	notVisited visitState = iota
	visiting
	visited
)

// cycleFinder is a depth-first search for cycles along upstream tasks.
type cycleFinder struct {
	upstream map[string][]string
	states   map[string]visitState
	path     []string // ids of the tasks that are being visited, outermost first
}

// visit searches from a task and returns the first cycle that it finds, as findCycle does.
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

// topologicalOrder returns the indexes of the tasks such that each task follows its upstream
// tasks. Apart from that, tasks keep the order of the file. The graph must have no cycle.
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

// topologicalSorter sorts tasks topologically by depth-first search.
type topologicalSorter struct {
	upstream map[string][]string
	indexes  map[string]int // by task id
	visited  map[string]bool
	order    []int
}

// visit appends the index of a task to order, after those of its upstream tasks.
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
