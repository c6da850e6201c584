package graph

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"

	"sableusher/internal/tuning"
)

// Parse parses the content of a graph file and returns every fault that can be found without
// the date and parameters of a run. The graph is nil if the content can't be decoded as a graph.
// A graph with faults must not be compiled.
func Parse(file string, content []byte) (*Graph, []Fault) {
	root, err := decodeDocument(content)
	if err != nil {
		return nil, wholeFileFault(file, err)
	}
	source := source{file: file, root: root}
	faults := faultCollector{source: source}
	value, err := readDocument(root, &faults)
	if err != nil {
		return nil, wholeFileFault(file, err)
	}
	if err := checkSchema(value, &faults); err != nil {
		return nil, wholeFileFault(file, err)
	}
	graph := &Graph{source: source}
	if err := decodeGraph(value, graph); err != nil {
		if len(faults.faults) == 0 {
			return nil, wholeFileFault(file, err)
		}
		return nil, faults.sorted()
	}
	graph.checkStructure(&faults)
	return graph, faults.sorted()
}

// decodeDocument returns the root node of a YAML or JSON file, which must have exactly one document.
func decodeDocument(content []byte) (*yaml.Node, error) {
	if len(content) > tuning.GraphFileMaxBytes {
		return nil, errFileTooLarge
	}
	var document yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	if err := decoder.Decode(&document); err != nil {
		return nil, err
	}
	if err := decoder.Decode(new(yaml.Node)); err == nil {
		return nil, errManyDocuments
	}
	return document.Content[0], nil
}

// checkSchema validates a value against the schema and adds a fault for each violation.
func checkSchema(value any, faults *faultCollector) error {
	err := compiledSchema().Validate(value)
	if err == nil {
		return nil
	}
	var violation *jsonschema.ValidationError
	if !errors.As(err, &violation) {
		return err
	}
	faults.addViolations(violation)
	return nil
}

func decodeGraph(value any, graph *Graph) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, graph)
}
