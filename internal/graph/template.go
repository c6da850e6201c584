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

// filters are those that templates may use: what depends on nothing but its input, and
// whose output is not longer than a constant times that.
var filters = func() *exec.FilterSet {
	out := map[string]exec.FilterFunction{}
	for _, name := range []string{"abs", "capitalize", "first", "float", "int", "join", "last", "length", "lower", "max", "min",
		"replace", "round", "sort", "string", "sum", "title", "trim", "unique", "upper"} {
		if f, ok := builtins.Filters.Get(name); ok {
			out[name] = f
		}
	}
	return exec.NewFilterSet(out)
}()

// environment has expressions, some filters and tests; no statements, so that nothing
// loops or reads files, and no functions.
var environment = &exec.Environment{
	Context: exec.EmptyContext(), Filters: filters, Tests: builtins.Tests,
	ControlStructures: exec.NewControlStructureSet(map[string]parser.ControlStructureParser{}),
}

// isTemplate tells whether a text has to be rendered.
func isTemplate(text string) bool {
	return strings.Contains(text, "{{") || strings.Contains(text, "{%")
}

// render gives a template's text for some names; one that is not there is an error.
func render(text string, names map[string]any) (out string, err error) {
	// The library panics on some inputs that no template should have.
	defer func() {
		if p := recover(); p != nil {
			out, err = "", fmt.Errorf("template: %v", p)
		}
	}()
	c := gonja.New()
	c.StrictUndefined = true
	for stream := tokens.LexAll(text, c); !stream.End(); stream.Next() {
		// "x" times a billion is one short expression.
		if t := stream.Current(); t.Type == tokens.Multiply || t.Type == tokens.Power {
			return "", fmt.Errorf("template: %s is not allowed", t.Val)
		}
	}
	loader, err := loaders.NewMemoryLoader(map[string]string{"/t": text})
	if err != nil {
		return "", fmt.Errorf("template: %w", err)
	}
	t, err := exec.NewTemplate("/t", c, loader, environment)
	if err != nil {
		return "", fmt.Errorf("template: %w", err)
	}
	if out, err = t.ExecuteToString(exec.NewContext(names)); err != nil {
		return "", fmt.Errorf("template: %w", err)
	}
	if len(out) > tuning.GraphText {
		return "", fmt.Errorf("template: gives more than %d bytes", tuning.GraphText)
	}
	return out, nil
}

// renderNumber reads an amount, which may be a template.
func renderNumber(v any, names map[string]any) (float64, error) {
	return renderValue(v, names, "no number", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// renderBool reads a yes or no, which may be a template.
func renderBool(v any, names map[string]any) (bool, error) {
	return renderValue(v, names, "neither true nor false", func(text string) (bool, error) { return strconv.ParseBool(strings.ToLower(text)) })
}

// renderValue gives a value that a file has as it is, or as a template for its text; its zero if
// it is left out. not says what a text is that can't be parsed.
func renderValue[T float64 | bool](v any, names map[string]any, not string, parse func(string) (T, error)) (T, error) {
	var zero T
	switch v := v.(type) {
	case nil:
		return zero, nil
	case T:
		return v, nil
	case string:
		text, err := render(v, names)
		if err != nil {
			return zero, err
		}
		out, err := parse(strings.TrimSpace(text))
		if err != nil {
			return zero, fmt.Errorf("%q is %s", text, not)
		}
		return out, nil
	}
	return zero, fmt.Errorf("%v is %s", v, not)
}
