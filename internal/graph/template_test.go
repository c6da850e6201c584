package graph

import (
	"errors"
	"testing"
)

// TestTemplatesAreSandboxed: a template has the run's variables and nothing else; statements,
// functions, other files, and what makes much of little are refused.
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
		var refused *TemplateError
		if !errors.As(err, &refused) {
			t.Errorf("%s gave %q, %v", text, got, err)
		}
	}
}

// TestTemplateOperatorIsNamed: a refused operator can be told from other faults.
func TestTemplateOperatorIsNamed(t *testing.T) {
	_, err := render("{{ 9 ** 999999 }}", nil)
	var refused *OperatorError
	if !errors.As(err, &refused) || refused.Operator != "**" {
		t.Errorf("%v", err)
	}
}
