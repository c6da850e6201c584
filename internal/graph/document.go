package graph

import (
	"encoding/json"
	"strconv"

	"go.yaml.in/yaml/v3"

	"sableusher/internal/tuning"
)

// documentReader converts a YAML document to the types that encoding/json decodes into. It limits the number of
// values, because aliases could otherwise let a short file expand without bound.
type documentReader struct {
	remainingValues int // negative once the document has too many
	depth           int // nesting depth of the current node
	faults          *faultCollector
}

// precedence determines which value is kept if a mapping already has the key that is read.
type precedence int

const (
	replaceExisting precedence = iota // for the mapping's own entries
	keepExisting                      // for entries of merged mappings ("<<")
)

// readDocument converts the document with the given root. It returns errTooManyValues if the document has too many
// values or is nested too deeply.
func readDocument(root *yaml.Node, faults *faultCollector) (any, error) {
	reader := documentReader{remainingValues: tuning.GraphMaxValues, faults: faults}
	value := reader.value(root, "")
	if reader.exhausted() {
		return nil, errTooManyValues
	}
	return value, nil
}

// exhausted reports whether the document has too many values or is nested too deeply.
func (r *documentReader) exhausted() bool { return r.remainingValues < 0 }

// value converts a node and its descendants. It returns nil if the reader is exhausted.
func (r *documentReader) value(node *yaml.Node, path string) any {
	if r.remainingValues--; r.exhausted() {
		return nil
	}
	if r.depth++; r.depth > tuning.GraphMaxDepth {
		r.remainingValues = -1 // for example an alias inside its own anchor, which would never end
	}
	defer func() { r.depth-- }()
	switch node.Kind {
	case yaml.AliasNode:
		return r.value(node.Alias, path)
	case yaml.SequenceNode:
		list := []any{}
		for i, item := range node.Content {
			list = append(list, r.value(item, path+"/"+strconv.Itoa(i)))
		}
		return list
	case yaml.MappingNode:
		mapping := map[string]any{}
		r.mapping(node, path, mapping, replaceExisting)
		return mapping
	}
	return r.scalar(node, path)
}

// scalar converts a scalar node. Every value that is neither null, a boolean nor a number becomes a string. This
// includes dates: the field that holds a date parses it.
func (r *documentReader) scalar(node *yaml.Node, path string) any {
	switch node.ShortTag() {
	case "!!null":
		return nil
	case "!!bool":
		var truth bool
		if node.Decode(&truth) == nil {
			return truth
		}
	case "!!int", "!!float":
		var number float64
		if node.Decode(&number) == nil && isJSONNumber(number) {
			return number
		}
		r.faults.add(path, "%s is no number that can be used", node.Value)
		return nil
	}
	return node.Value
}

// isJSONNumber reports whether JSON can represent a number. JSON has neither infinities nor NaN.
func isJSONNumber(number float64) bool {
	return json.Valid([]byte(strconv.FormatFloat(number, 'g', -1, 64)))
}

// mapping adds the entries of a mapping to out. The mapping's own entries take precedence over those of the mappings
// that it merges ("<<").
func (r *documentReader) mapping(node *yaml.Node, path string, out map[string]any, order precedence) {
	seen := map[string]bool{}
	var merges []*yaml.Node
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.ShortTag() == "!!merge" {
			merges = append(merges, value)
			continue
		}
		if seen[key.Value] {
			r.faults.add(path+"/"+key.Value, "stands twice")
		}
		seen[key.Value] = true
		if _, exists := out[key.Value]; exists && order == keepExisting {
			continue
		}
		out[key.Value] = r.value(value, path+"/"+key.Value)
	}
	r.merge(merges, path, out)
}

// merge adds the entries of merged mappings to out. Each node is a mapping, an alias of one, or a list of both.
func (r *documentReader) merge(merges []*yaml.Node, path string, out map[string]any) {
	for len(merges) > 0 && !r.exhausted() {
		if r.remainingValues--; r.depth > tuning.GraphMaxDepth {
			r.remainingValues = -1
		}
		node := merges[0]
		merges = merges[1:]
		switch node.Kind {
		case yaml.AliasNode:
			merges = append(merges, node.Alias)
		case yaml.SequenceNode:
			merges = append(merges, node.Content...)
		case yaml.MappingNode:
			r.depth++
			r.mapping(node, path, out, keepExisting)
			r.depth--
		default:
			r.faults.add(path, "only mappings can be merged in")
		}
	}
}
