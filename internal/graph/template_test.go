package graph

import (
	"errors"
	"testing"
)

// TestTemplatesAreSandboxed checks that templates can use the run's variables, and that statements,
// functions, access to files, and operators and filters that repeat or pad a text to any length are
// rejected.
func TestTemplatesAreSandboxed(t *testing.T) {
	variables := map[string]any{
		"ds": "2026-03-08",
		"params": map[string]any{
			"x":    "v",
			"list": []any{"a", "b"},
			"deep": map[string]any{"y": 1.0},
		},
	}
	for text, want := range map[string]string{
		"{{ ds }}":                                 "2026-03-08",
		"a-{{ params.x | upper }}":                 "a-V",
		"{{ params.list | join('+') }}":            "a+b",
		"{{ params.deep.y + 1 }}":                  "2.0",
		"{{ params['x'] }}{# note #}":              "v",
		"{{ 'yes' if params.x == 'v' else 'no' }}": "yes",
	} {
		if got, err := render(text, variables); err != nil || got != want {
			t.Errorf("%s: %q, %v; want %q", text, got, err, want)
		}
	}
	for _, text := range []string{
		"{{ dss }}",
		"{{ params.z }}",
		"{{ params.deep.z }}",
		"{{ 'a' * 1000000000 }}",
		"{{ 9 ** 999999 }}",
		"{% for i in params.list %}x{% endfor %}",
		"{% include '/etc/hostname' %}",
		"{% set a = 1 %}",
		"{{ range(9) }}",
		"{{ lipsum() }}",
		"{{ ds | random }}",
		"{{ ds | center(100000000) }}",
		"{{ ds",
		"{{ ds.upper }",
		"{{ }}",
		"{{ [].append(1) }}",
		"{{ namespace() }}",
	} {
		got, err := render(text, variables)
		var rejected *TemplateError
		if !errors.As(err, &rejected) {
			t.Errorf("%s rendered to %q, %v; want a TemplateError", text, got, err)
		}
	}
}

// TestTemplateOperatorIsNamed checks that the error for a rejected operator is an OperatorError that names it.
func TestTemplateOperatorIsNamed(t *testing.T) {
	_, err := render("{{ 9 ** 999999 }}", nil)
	var rejected *OperatorError
	if !errors.As(err, &rejected) || rejected.Operator != "**" {
		t.Errorf("%v", err)
	}
}
