package graph

// expandParamKey is the only key of Task.Expand if that is a map with the name of a parameter.
const expandParamKey = "param"

// expandParam returns the name of the parameter that the task is mapped over, and whether the
// task is mapped over a parameter.
func (t *Task) expandParam() (string, bool) {
	mapping, ok := t.Expand.(map[string]any)
	if !ok {
		return "", false
	}
	name, _ := mapping[expandParamKey].(string)
	return name, true
}

// isMapped reports whether the task is mapped, so that it has one instance for each item of a list.
func (t *Task) isMapped() bool { return t.Expand != nil }

// mappedItems returns the items that the task is mapped over in a run with the given parameters. It returns nil if
// the task is not mapped.
func (t *Task) mappedItems(params map[string]any) []any {
	if list, ok := t.Expand.([]any); ok {
		return list
	}
	name, ok := t.expandParam()
	if !ok {
		return nil
	}
	list, _ := params[name].([]any)
	return list
}

// instanceCount returns the number of jobs of a run with the given parameters. A mapped task without items counts as
// one job.
func (g *Graph) instanceCount(params map[string]any) int {
	count := 0
	for i := range g.Tasks {
		count += max(1, len(g.Tasks[i].mappedItems(params)))
	}
	return count
}
