package graph

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// Trigger rules: when a task may start, given how its upstream tasks ended.
const (
	TriggerAllSuccess = "all_success" // the default, and what awaits of native jobs mean
	TriggerAllDone    = "all_done"
	TriggerOneSuccess = "one_success"
	TriggerOneFailed  = "one_failed"
	TriggerNoneFailed = "none_failed"
	TriggerAlways     = "always"
)

// ParseDate reads a date, or a time as in RFC 3339, in a graph's time zone.
func ParseDate(text string, zone *time.Location) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, "2006-01-02T15:04:05", "2006-01-02 15:04:05", time.DateOnly} {
		if t, err := time.ParseInLocation(layout, text, zone); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is neither a date nor a time", text)
}

// Location is the graph's time zone.
func (g *Graph) Location() (*time.Location, error) {
	if g.Timezone == "" {
		return time.UTC, nil
	}
	return time.LoadLocation(g.Timezone)
}

// checkStructure checks what no schema can say.
func (g *Graph) checkStructure(out *[]Fault) {
	zone, err := g.Location()
	if err != nil {
		g.fault(out, "/timezone", "%v", err)
		zone = time.UTC
	}
	for path, text := range map[string]string{"/start_date": g.StartDate, "/end_date": g.EndDate} {
		if _, err := ParseDate(text, zone); text != "" && err != nil {
			g.fault(out, path, "%v", err)
		}
	}
	if g.Schedule != nil && *g.Schedule != "" {
		if _, err := cron.ParseStandard(*g.Schedule); err != nil {
			g.fault(out, "/schedule", "%v", err)
		} else if g.StartDate == "" {
			g.fault(out, "/schedule", "a scheduled graph needs a start_date")
		}
	}
	groups := map[string]bool{}
	for i, gr := range g.Groups {
		if groups[gr.ID] {
			g.fault(out, fmt.Sprintf("/task_groups/%d/group_id", i), "%s stands twice", gr.ID)
		}
		groups[gr.ID] = true
	}
	known := map[string]bool{}
	for i, t := range g.Tasks {
		path := fmt.Sprintf("/tasks/%d", i)
		switch {
		case known[t.ID]:
			g.fault(out, path+"/task_id", "%s stands twice", t.ID)
		case groups[t.ID]:
			g.fault(out, path+"/task_id", "%s is a group's name", t.ID)
		}
		known[t.ID] = true
		if t.GroupID != "" && !groups[t.GroupID] {
			g.fault(out, path+"/task_group", "there is no group %s", t.GroupID)
		}
		if m, ok := t.Expand.(map[string]any); ok {
			name, _ := m["param"].(string)
			if list, ok := g.Params[name].([]any); !ok || len(list) == 0 {
				g.fault(out, path+"/expand", "there is no parameter %s that is a list with items", name)
			}
		}
	}
	names := func(path string, list []string, self string) {
		for k, u := range list {
			switch {
			case u == self:
				g.fault(out, fmt.Sprintf("%s/upstream_task_ids/%d", path, k), "%s is its own upstream", u)
			case !known[u] && !groups[u]:
				g.fault(out, fmt.Sprintf("%s/upstream_task_ids/%d", path, k), "there is no task or group %s", u)
			}
		}
	}
	for i, gr := range g.Groups {
		names(fmt.Sprintf("/task_groups/%d", i), gr.Upstream, gr.ID)
	}
	for i, t := range g.Tasks {
		names(fmt.Sprintf("/tasks/%d", i), t.Upstream, t.ID)
	}
	if cycle := g.findCycle(); cycle != nil {
		i := slices.IndexFunc(g.Tasks, func(t Task) bool { return t.ID == cycle[0] })
		g.fault(out, fmt.Sprintf("/tasks/%d/upstream_task_ids", i), "a cycle: %s", strings.Join(cycle, " <- "))
	}
}

// upstreamTasks gives the tasks that a task waits for: those that it names, the ends of
// groups that it names, and what its group waits for if it is one of the group's first.
func (g *Graph) upstreamTasks() map[string][]string {
	group, members, above := map[string]string{}, map[string][]string{}, map[string][]string{}
	for _, t := range g.Tasks {
		group[t.ID] = t.GroupID
		if t.GroupID != "" {
			members[t.GroupID] = append(members[t.GroupID], t.ID)
		}
	}
	for _, gr := range g.Groups {
		above[gr.ID] = gr.Upstream
	}
	inner := map[string]bool{} // tasks that another one of their group waits for
	for _, t := range g.Tasks {
		for _, u := range t.Upstream {
			if t.GroupID != "" && group[u] == t.GroupID && u != t.ID {
				inner[u] = true
			}
		}
	}
	out := map[string][]string{}
	for _, t := range g.Tasks {
		list := slices.Clone(t.Upstream)
		if t.GroupID != "" && !slices.ContainsFunc(t.Upstream, func(u string) bool { return group[u] == t.GroupID }) {
			list = append(list, above[t.GroupID]...)
		}
		var all []string
		for _, u := range list {
			if m, ok := members[u]; ok {
				for _, id := range m {
					if !inner[id] {
						all = append(all, id)
					}
				}
			} else if _, ok := group[u]; ok {
				all = append(all, u)
			}
		}
		slices.Sort(all)
		out[t.ID] = slices.Compact(all)
	}
	return out
}

// findCycle gives tasks that wait for each other, the first one again at the end; nil if
// there are none.
func (g *Graph) findCycle() []string {
	up := g.upstreamTasks()
	const fresh, open, closed = 0, 1, 2
	state, path := map[string]int{}, []string{}
	var visit func(id string) []string
	visit = func(id string) []string {
		state[id] = open
		path = append(path, id)
		for _, u := range up[id] {
			switch state[u] {
			case open:
				return append(slices.Clone(path[slices.Index(path, u):]), u)
			case fresh:
				if c := visit(u); c != nil {
					return c
				}
			}
		}
		state[id] = closed
		path = path[:len(path)-1]
		return nil
	}
	for _, t := range g.Tasks {
		if state[t.ID] == fresh {
			if c := visit(t.ID); c != nil {
				return c
			}
		}
	}
	return nil
}

// instanceCount is how many tasks a run has, mapped ones counted each.
func (g *Graph) instanceCount(params map[string]any) int {
	n := 0
	for i := range g.Tasks {
		n += max(1, len(g.Tasks[i].mappedItems(params)))
	}
	return n
}

// mappedItems gives what a mapped task is mapped over; nil if it is not.
func (t *Task) mappedItems(params map[string]any) []any {
	switch e := t.Expand.(type) {
	case []any:
		return e
	case map[string]any:
		name, _ := e["param"].(string)
		list, _ := params[name].([]any)
		return list
	}
	return nil
}
