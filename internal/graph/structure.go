package graph

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// checkStructure checks what JSON Schema can't express: dates, the schedule, and references between tasks and groups.
func (g *Graph) checkStructure(faults *faultCollector) {
	g.checkDates(faults)
	g.checkSchedule(faults)
	groups := g.checkGroups(faults)
	tasks := g.checkTasks(groups, faults)
	g.checkUpstream(tasks, groups, faults)
	g.checkCycles(faults)
}

func (g *Graph) checkDates(faults *faultCollector) {
	zone, err := g.Location()
	if err != nil {
		faults.add("/timezone", "%v", err)
		zone = time.UTC
	}
	checkDate := func(path, text string) {
		if _, err := ParseDate(text, zone); text != "" && err != nil {
			faults.add(path, "%v", err)
		}
	}
	checkDate("/start_date", g.StartDate)
	checkDate("/end_date", g.EndDate)
}

func (g *Graph) checkSchedule(faults *faultCollector) {
	if g.Schedule == nil || *g.Schedule == "" {
		return
	}
	if _, err := cron.ParseStandard(*g.Schedule); err != nil {
		faults.add("/schedule", "%v", err)
	} else if g.StartDate == "" {
		faults.add("/schedule", "a scheduled graph needs a start_date")
	}
}

// checkGroups checks that the ids of the groups are unique, and returns the set of ids.
func (g *Graph) checkGroups(faults *faultCollector) map[string]bool {
	ids := map[string]bool{}
	for i, group := range g.Groups {
		if ids[group.ID] {
			faults.add(fmt.Sprintf("/task_groups/%d/group_id", i), "%s stands twice", group.ID)
		}
		ids[group.ID] = true
	}
	return ids
}

// checkTasks checks the ids, groups and mapping of the tasks, and returns the set of their ids.
func (g *Graph) checkTasks(groups map[string]bool, faults *faultCollector) map[string]bool {
	ids := map[string]bool{}
	for i := range g.Tasks {
		task := &g.Tasks[i]
		path := taskPath(i)
		switch {
		case ids[task.ID]:
			faults.add(path+"/task_id", "%s stands twice", task.ID)
		case groups[task.ID]:
			faults.add(path+"/task_id", "%s is a group's name", task.ID)
		}
		ids[task.ID] = true
		if task.GroupID != "" && !groups[task.GroupID] {
			faults.add(path+"/task_group", "there is no group %s", task.GroupID)
		}
		g.checkExpand(task, path, faults)
	}
	return ids
}

// checkExpand checks that the parameter that a task is mapped over has a non-empty list as its default value. A run
// may replace the list.
func (g *Graph) checkExpand(task *Task, path string, faults *faultCollector) {
	if name, ok := task.expandParam(); ok {
		if list, ok := g.Params[name].([]any); !ok || len(list) == 0 {
			faults.add(path+"/expand", "there is no parameter %s that is a list with items", name)
		}
	}
}

// checkUpstream checks that the upstream ids of tasks and groups exist, and that none depends directly on itself.
func (g *Graph) checkUpstream(tasks, groups map[string]bool, faults *faultCollector) {
	checkIDs := func(path, self string, upstream []string) {
		for i, id := range upstream {
			idPath := fmt.Sprintf("%s/upstream_task_ids/%d", path, i)
			switch {
			case id == self:
				faults.add(idPath, "%s is its own upstream", id)
			case !tasks[id] && !groups[id]:
				faults.add(idPath, "there is no task or group %s", id)
			}
		}
	}
	for i, group := range g.Groups {
		checkIDs(fmt.Sprintf("/task_groups/%d", i), group.ID, group.Upstream)
	}
	for i := range g.Tasks {
		checkIDs(taskPath(i), g.Tasks[i].ID, g.Tasks[i].Upstream)
	}
}

func (g *Graph) checkCycles(faults *faultCollector) {
	cycle := g.findCycle()
	if cycle == nil {
		return
	}
	first := slices.IndexFunc(g.Tasks, func(task Task) bool { return task.ID == cycle[0] })
	faults.add(taskPath(first)+"/upstream_task_ids", "a cycle: %s", strings.Join(cycle, " <- "))
}

// taskPath returns the path of a task in the file, as Fault.Path has it.
func taskPath(index int) string { return fmt.Sprintf("/tasks/%d", index) }
