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

// schemaName is what the compiler of the schema knows it by.
const schemaName = "graph.json"

// Schema returns the JSON Schema (draft 2020-12) that files are checked against.
func Schema() []byte { return slices.Clone(schemaText) }

// compiledSchema panics only if the embedded schema is not valid itself.
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

// knownFields are the names of the fields of tasks and of their default arguments.
var knownFields = func() map[string]bool {
	names := map[string]bool{}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Task]()) {
		names[field.Tag.Get("json")] = true
	}
	return names
}()

// addViolations adds the innermost causes of a violation of the schema. Where one of several
// forms is allowed, the causes for each of them are one fault.
func (c *faultCollector) addViolations(violation *jsonschema.ValidationError) {
	path := jsonPointer(violation.InstanceLocation)
	switch violated := violation.ErrorKind.(type) {
	case *kind.FalseSchema:
		// Beside another fault in the same mapping the schema takes its known fields for
		// unknown ones as well.
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
