package graph

// expandParamKey is the only key that Task.Expand has if it names a parameter.
const expandParamKey = "param"

// expandParam returns the name of the parameter that a task is mapped over, if it is mapped
// over one.
func (t *Task) expandParam() (string, bool) {
	mapping, ok := t.Expand.(map[string]any)
	if !ok {
		return "", false
	}
	name, _ := mapping[expandParamKey].(string)
	return name, true
}

// isMapped reports whether a task has an instance for each item of a list.
func (t *Task) isMapped() bool { return t.Expand != nil }

// mappedItems returns what a task is mapped over in a run with parameters; nil if it is not
// mapped.
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

// instanceCount returns how many jobs a run with parameters has. A mapped task without items
// has one too.
func (g *Graph) instanceCount(params map[string]any) int {
	count := 0
	for i := range g.Tasks {
		count += max(1, len(g.Tasks[i].mappedItems(params)))
	}
	return count
}
