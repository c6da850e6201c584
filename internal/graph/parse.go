package graph

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"go.yaml.in/yaml/v3"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"sableusher/internal/tuning"
)

//go:embed schema.json
var schemaText []byte

// Schema is the JSON Schema (draft 2020-12) that files are checked against.
func Schema() []byte { return slices.Clone(schemaText) }

var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("graph.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("graph.json")
})

// Fault is something wrong with a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1; 0 if it concerns the whole file
	Column  int    `json:"column"` // from 1
	Path    string `json:"path"`   // of the value, as /tasks/3/image
	Message string `json:"what"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// Graph is a graph as its file describes it.
type Graph struct {
	ID            string         `json:"dag_id"`
	Description   string         `json:"description"`
	Tags          []string       `json:"tags"`
	Schedule      *string        `json:"schedule"`
	Timezone      string         `json:"timezone"`
	StartDate     string         `json:"start_date"`
	EndDate       string         `json:"end_date"`
	Catchup       bool           `json:"catchup"`
	MaxActiveRuns int            `json:"max_active_runs"`
	DefaultArgs   TaskArgs       `json:"default_args"`
	Params        map[string]any `json:"params"`
	Groups        []Group        `json:"task_groups"`
	Tasks         []Task         `json:"tasks"`

	file string
	root *yaml.Node
}

// Group is a name for tasks.
type Group struct {
	ID       string   `json:"group_id"`
	Upstream []string `json:"upstream_task_ids"`
}

// TaskArgs is what a task says of its job; any value but a name may be a template.
type TaskArgs struct {
	Owner                     string   `json:"owner"` // for people only
	Retries                   any      `json:"retries"`
	RetryDelaySeconds         *float64 `json:"retry_delay"` // seconds
	TriggerRule               string   `json:"trigger_rule"`
	Class                     string   `json:"class"`
	Team                      string   `json:"team"`
	Kind                      string   `json:"kind"`
	Priority                  string   `json:"priority"`
	TaskCount                 any      `json:"count"`
	CPUs                      any      `json:"cpus"`
	GPUs                      any      `json:"gpus"`
	MemoryGB                  any      `json:"memory_gb"`
	Image                     string   `json:"image"`
	ImageSizeGB               any      `json:"image_gb"`
	MachineTypes              []string `json:"types"`
	Zone                      string   `json:"zone"`
	SameZone                  any      `json:"one_zone"`
	Spread                    any      `json:"spread"`
	AllowSpot                 any      `json:"spot"`
	RuntimeEstimateSeconds    any      `json:"estimate_s"`
	CheckpointIntervalSeconds any      `json:"checkpoint_s"`
	CheckpointSaveSeconds     any      `json:"save_s"`
	DeadlineSeconds           any      `json:"deadline_s"`
}

// Task is one task of a graph.
type Task struct {
	ID       string   `json:"task_id"`
	Upstream []string `json:"upstream_task_ids"`
	GroupID  string   `json:"task_group"`
	Expand   any      `json:"expand"` // a list, or a map with the name of a parameter
	TaskArgs
}

// knownFields are the names that tasks and their defaults know.
var knownFields = func() map[string]bool {
	out := map[string]bool{}
	for _, t := range []reflect.Type{reflect.TypeFor[Task](), reflect.TypeFor[TaskArgs]()} {
		for i := range t.NumField() {
			out[t.Field(i).Tag.Get("json")] = true
		}
	}
	return out
}()

// Parse reads a graph from a file's content and gives every fault that the file alone
// shows. The graph is nil if its shape is not that of one.
func Parse(file string, content []byte) (*Graph, []Fault) {
	whole := func(what string) []Fault { return []Fault{{File: file, Path: "/", Message: what}} }
	if len(content) > tuning.GraphBytes {
		return nil, whole(fmt.Sprintf("more than %d bytes", tuning.GraphBytes))
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(content))
	if err := dec.Decode(&doc); err != nil {
		return nil, whole(err.Error())
	}
	if err := dec.Decode(new(yaml.Node)); err == nil {
		return nil, whole("more than one document")
	}
	g := &Graph{file: file, root: doc.Content[0]}
	r := documentReader{remainingValues: tuning.GraphValues}
	value := r.value(g.root, "")
	var faults []Fault
	for _, f := range r.faults {
		g.fault(&faults, f.path, "%s", f.what)
	}
	if r.remainingValues < 0 {
		return nil, whole(fmt.Sprintf("more than %d values, or more than %d within each other", tuning.GraphValues, tuning.GraphDepth))
	}
	if err := compiledSchema().Validate(value); err != nil {
		var v *jsonschema.ValidationError
		if !errors.As(err, &v) {
			return nil, whole(err.Error())
		}
		g.addSchemaFaults(&faults, v)
	}
	b, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(b, g)
	}
	if err != nil {
		if len(faults) == 0 {
			faults = whole(err.Error())
		}
		return nil, sortFaults(faults)
	}
	g.checkStructure(&faults)
	return g, sortFaults(faults)
}

// sortFaults puts faults in the order of the file, each once.
func sortFaults(faults []Fault) []Fault {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return slices.Compact(faults)
}

// addSchemaFaults gives the innermost causes of a violation of the schema; where one of several
// forms was wanted, all that was in the way of each at once.
func (g *Graph) addSchemaFaults(out *[]Fault, v *jsonschema.ValidationError) {
	path := jsonPointer(v.InstanceLocation)
	switch k := v.ErrorKind.(type) {
	case *kind.FalseSchema:
		// Beside another fault in the same mapping the schema takes its known fields for
		// unknown ones as well.
		if name := v.InstanceLocation[len(v.InstanceLocation)-1]; !knownFields[name] {
			g.fault(out, path, "unknown field")
		}
	case *kind.OneOf:
		var causes []Fault
		for _, c := range v.Causes {
			g.addSchemaFaults(&causes, c)
		}
		var what []string
		for _, c := range causes {
			what = append(what, c.Message)
		}
		g.fault(out, path, "%s", strings.Join(what, ", or "))
	default:
		if len(v.Causes) == 0 {
			g.fault(out, path, "%s", k.LocalizedString(message.NewPrinter(language.English)))
		}
		for _, c := range v.Causes {
			g.addSchemaFaults(out, c)
		}
	}
}

func jsonPointer(path []string) string { return "/" + strings.Join(path, "/") }

// fault adds a fault at a path, with the place where its value stands.
func (g *Graph) fault(out *[]Fault, path, format string, a ...any) {
	n := g.node(path)
	*out = append(*out, Fault{File: g.file, Line: n.Line, Column: n.Column, Path: path, Message: fmt.Sprintf(format, a...)})
}

// node finds the value at a path, or the innermost one on the way to it that exists.
func (g *Graph) node(path string) *yaml.Node {
	n := g.root
	for _, step := range strings.Split(strings.Trim(path, "/"), "/") {
		next := childNode(n, step)
		if next == nil {
			break
		}
		n = next
	}
	return n
}

func childNode(n *yaml.Node, step string) *yaml.Node {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(n.Content) {
			return n.Content[i]
		}
	}
	return nil
}

// documentReader turns a document into the values that JSON has. It counts them, as aliases
// let a short file grow without bound.
type documentReader struct {
	remainingValues int
	depth           int
	faults          []struct{ path, what string }
}

func (r *documentReader) fault(path, what string) {
	r.faults = append(r.faults, struct{ path, what string }{path, what})
}

func (r *documentReader) value(n *yaml.Node, path string) any {
	if r.remainingValues--; r.remainingValues < 0 {
		return nil
	}
	if r.depth++; r.depth > tuning.GraphDepth {
		r.remainingValues = -1 // an alias within what it stands for never ends
	}
	defer func() { r.depth-- }()
	switch n.Kind {
	case yaml.AliasNode:
		return r.value(n.Alias, path)
	case yaml.SequenceNode:
		out := []any{}
		for i, c := range n.Content {
			out = append(out, r.value(c, path+"/"+strconv.Itoa(i)))
		}
		return out
	case yaml.MappingNode:
		out := map[string]any{}
		r.mapping(n, path, out, false)
		return out
	}
	switch n.ShortTag() {
	case "!!null":
		return nil
	case "!!bool":
		var b bool
		if n.Decode(&b) == nil {
			return b
		}
	case "!!int", "!!float":
		var f float64
		if n.Decode(&f) == nil && json.Valid([]byte(strconv.FormatFloat(f, 'g', -1, 64))) {
			return f
		}
		r.fault(path, n.Value+" is no number that can be used")
		return nil
	}
	return n.Value // dates too: what they mean, their field says
}

// mapping reads a mapping; what it merges in gives way to what it says itself.
func (r *documentReader) mapping(n *yaml.Node, path string, out map[string]any, merged bool) {
	own := map[string]bool{}
	var merges []*yaml.Node
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if k.ShortTag() == "!!merge" {
			merges = append(merges, v)
			continue
		}
		if own[k.Value] {
			r.fault(path+"/"+k.Value, "stands twice")
		}
		own[k.Value] = true
		if _, ok := out[k.Value]; ok && merged {
			continue
		}
		out[k.Value] = r.value(v, path+"/"+k.Value)
	}
	for len(merges) > 0 && r.remainingValues >= 0 {
		if r.remainingValues--; r.depth > tuning.GraphDepth {
			r.remainingValues = -1
		}
		m := merges[0]
		merges = merges[1:]
		switch m.Kind {
		case yaml.AliasNode:
			merges = append(merges, m.Alias)
		case yaml.SequenceNode:
			merges = append(merges, m.Content...)
		case yaml.MappingNode:
			r.depth++
			r.mapping(m, path, out, true)
			r.depth--
		default:
			r.fault(path, "only mappings can be merged in")
		}
	}
}
