package graph

import (
	"encoding/json"
	"strconv"

	"go.yaml.in/yaml/v3"

	"sableusher/internal/tuning"
)

// documentReader converts a YAML document to the values that JSON has. It counts them, as
// aliases let a short file expand without bound.
type documentReader struct {
	remainingValues int // negative once the document has too many
	depth           int
	faults          *faultCollector
}

// precedence says which value a key gets that a mapping has already.
type precedence int

const (
	replaceExisting precedence = iota // of entries of the mapping itself
	keepExisting                      // of entries that are merged in
)

// readDocument converts the document below root. It fails with errTooManyValues.
func readDocument(root *yaml.Node, faults *faultCollector) (any, error) {
	reader := documentReader{remainingValues: tuning.GraphMaxValues, faults: faults}
	value := reader.value(root, "")
	if reader.exhausted() {
		return nil, errTooManyValues
	}
	return value, nil
}

func (r *documentReader) exhausted() bool { return r.remainingValues < 0 }

// value converts a node and all below it; nil once the document has too many values.
func (r *documentReader) value(node *yaml.Node, path string) any {
	if r.remainingValues--; r.exhausted() {
		return nil
	}
	if r.depth++; r.depth > tuning.GraphMaxDepth {
		r.remainingValues = -1 // an alias within what it stands for never ends
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

// scalar converts a single value. What is neither null, truth value nor number is a text;
// so are dates, whose meaning their field knows.
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

// isJSONNumber reports whether JSON can express a number: it has no infinities and no NaN.
func isJSONNumber(number float64) bool {
	return json.Valid([]byte(strconv.FormatFloat(number, 'g', -1, 64)))
}

// mapping reads the entries of a mapping into out; those that it merges in give way to its
// own.
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

// merge reads the entries of mappings, of aliases of them and of lists of both into out.
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
