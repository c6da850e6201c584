package graph

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/nikolalohinski/gonja/v2/builtins"
	gonja "github.com/nikolalohinski/gonja/v2/config"
	"github.com/nikolalohinski/gonja/v2/exec"
	"github.com/nikolalohinski/gonja/v2/loaders"
	"github.com/nikolalohinski/gonja/v2/parser"
	"github.com/nikolalohinski/gonja/v2/tokens"

	"sableusher/internal/tuning"
)

// allowedFilters depend on nothing but their input, and their output is at most a constant
// times as long as it.
var allowedFilters = []string{
	"abs", "capitalize", "first", "float", "int", "join", "last", "length", "lower", "max",
	"min", "replace", "round", "sort", "string", "sum", "title", "trim", "unique", "upper",
}

// environment has expressions, tests and some filters. It has no statements, so that nothing
// loops or reads files, and no functions.
var environment = &exec.Environment{
	Context:           exec.EmptyContext(),
	Filters:           allowedFilterSet(),
	Tests:             builtins.Tests,
	ControlStructures: exec.NewControlStructureSet(map[string]parser.ControlStructureParser{}),
}

func allowedFilterSet() *exec.FilterSet {
	filters := map[string]exec.FilterFunction{}
	for _, name := range allowedFilters {
		if filter, ok := builtins.Filters.Get(name); ok {
			filters[name] = filter
		}
	}
	return exec.NewFilterSet(filters)
}

// templateName is what the template library knows a text by.
const templateName = "/t"

// isTemplate reports whether a text has to be rendered.
func isTemplate(text string) bool {
	return strings.Contains(text, "{{") || strings.Contains(text, "{%")
}

// render returns the text that a template gives for variables. It fails with a
// TemplateError, also for a variable that does not exist.
func render(text string, variables map[string]any) (rendered string, err error) {
	// The library panics on some inputs that no template should have.
	defer func() {
		if cause := recover(); cause != nil {
			rendered, err = "", &TemplateError{Err: fmt.Errorf("%v", cause)}
		}
	}()
	rendered, err = execute(text, variables)
	if err != nil {
		return "", &TemplateError{Err: err}
	}
	return rendered, nil
}

// execute compiles and runs a template; its errors are the causes of a TemplateError.
func execute(text string, variables map[string]any) (string, error) {
	settings := gonja.New()
	settings.StrictUndefined = true
	if err := checkOperators(text, settings); err != nil {
		return "", err
	}
	loader, err := loaders.NewMemoryLoader(map[string]string{templateName: text})
	if err != nil {
		return "", err
	}
	template, err := exec.NewTemplate(templateName, settings, loader, environment)
	if err != nil {
		return "", err
	}
	rendered, err := template.ExecuteToString(exec.NewContext(variables))
	if err != nil {
		return "", err
	}
	if len(rendered) > tuning.GraphTextMaxBytes {
		return "", errTemplateTooLong
	}
	return rendered, nil
}

// checkOperators refuses operators by which a short template takes unbounded memory, such as
// a text times a billion.
func checkOperators(text string, settings *gonja.Config) error {
	for stream := tokens.LexAll(text, settings); !stream.End(); stream.Next() {
		token := stream.Current()
		if token.Type == tokens.Multiply || token.Type == tokens.Power {
			return &OperatorError{Operator: token.Val}
		}
	}
	return nil
}

// renderNumber reads a number, which may be a template; 0 if it is left out.
func renderNumber(value any, variables map[string]any) (float64, error) {
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return renderValue(value, variables, parse, "no number")
}

// renderBool reads a truth value, which may be a template; false if it is left out.
func renderBool(value any, variables map[string]any) (bool, error) {
	parse := func(text string) (bool, error) { return strconv.ParseBool(strings.ToLower(text)) }
	return renderValue(value, variables, parse, "neither true nor false")
}

// renderValue returns a value of type T as it is, and parses what a template gives for it;
// the zero value if it is left out. Others give a ValueError with the problem.
func renderValue[T float64 | bool](
	value any, variables map[string]any, parse func(string) (T, error), problem string,
) (T, error) {
	var zero T
	switch value := value.(type) {
	case nil:
		return zero, nil
	case T:
		return value, nil
	case string:
		text, err := render(value, variables)
		if err != nil {
			return zero, err
		}
		parsed, err := parse(strings.TrimSpace(text))
		if err != nil {
			return zero, &ValueError{Value: text, Problem: problem}
		}
		return parsed, nil
	}
	return zero, &ValueError{Value: value, Problem: problem}
}
