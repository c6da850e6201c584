package graph

import (
	"encoding/json"
	"maps"
	"time"

	"go.yaml.in/yaml/v3"

	"sableusher/internal/config"
	"sableusher/internal/retry"
)

var (
	testRun   = Run{ID: "r", LogicalDate: time.Date(2026, 3, 8, 2, 30, 0, 0, time.UTC)}
	testRules = Rules{
		RetryPolicies: retry.NewPolicies([]config.Class{{Name: "c", MaxRetries: 3}}),
		Teams:         map[string]config.Team{"t": {Name: "t", GPUsMax: 8}},
	}
)

// newFile returns the content of a graph file with the given tasks and additional fields.
func newFile(tasks []map[string]any, extraFields map[string]any) map[string]any {
	file := map[string]any{
		"dag_id":       "g",
		"tasks":        tasks,
		"default_args": map[string]any{"class": "c", "team": "t", "image": "i", "cpus": 1},
	}
	maps.Copy(file, extraFields)
	return file
}

func mustEncode(encoded []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return encoded
}

func encodeYAML(value any) []byte { return mustEncode(yaml.Marshal(value)) }

func encodeJSON(value any) []byte { return mustEncode(json.Marshal(value)) }
