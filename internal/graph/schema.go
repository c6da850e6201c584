package graph

import (
	"bytes"
	_ "embed"
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaText []byte

// schemaName is the name under which the schema is registered with its compiler.
const schemaName = "graph.json"

// Schema returns the JSON Schema (draft 2020-12) that graph files are validated against.
func Schema() []byte { return slices.Clone(schemaText) }

// compiledSchema returns the compiled schema. It panics if the embedded schema is invalid.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaName)
})

// knownFields holds the JSON names of the fields of tasks and of their default arguments.
var knownFields = func() map[string]bool {
	names := map[string]bool{}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Task]()) {
		names[field.Tag.Get("json")] = true
	}
	return names
}()

// addViolations adds a fault for each innermost cause of a violation of the schema. For a value that matches none of
// several alternatives (oneOf), it adds a single fault with the causes of all alternatives.
func (c *faultCollector) addViolations(violation *jsonschema.ValidationError) {
	path := jsonPointer(violation.InstanceLocation)
	switch violated := violation.ErrorKind.(type) {
	case *kind.FalseSchema:
		// If a mapping violates the schema elsewhere, the validator reports its known fields as
		// unevaluated, too. Only unknown fields are faults.
		name := violation.InstanceLocation[len(violation.InstanceLocation)-1]
		if !knownFields[name] {
			c.add(path, "unknown field")
		}
	case *kind.OneOf:
		alternatives := faultCollector{source: c.source}
		for _, cause := range violation.Causes {
			alternatives.addViolations(cause)
		}
		var messages []string
		for _, fault := range alternatives.faults {
			messages = append(messages, fault.Message)
		}
		c.add(path, "%s", strings.Join(messages, ", or "))
	default:
		if len(violation.Causes) == 0 {
			c.add(path, "%s", violated.LocalizedString(message.NewPrinter(language.English)))
		}
		for _, cause := range violation.Causes {
			c.addViolations(cause)
		}
	}
}

func jsonPointer(steps []string) string { return "/" + strings.Join(steps, "/") }
