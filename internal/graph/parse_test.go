package graph

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestAnyBytes: whatever a file holds, faults come back and nothing panics; an alias that
// refers to itself over and over makes no file large.
func TestAnyBytes(t *testing.T) {
	example, err := os.ReadFile("../../examples/photo_sorting.json")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		content := slices.Clone(example)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			content = drawChange(t, content)
			if len(content) == 0 {
				break
			}
		}
		parseAndCompile(content)
	})
	invalid := []string{"", "null", "[]", "5", "dag_id: &x {a: *x}\n", aliasBomb(), "<<: 5\n", "&a a: *a\n"}
	for _, text := range invalid {
		if faults := parseAndCompile([]byte(text)); len(faults) == 0 {
			t.Errorf("%.20q is no graph", text)
		}
	}
}

func parseAndCompile(content []byte) []Fault {
	graph, faults := Parse("f", content)
	if len(faults) == 0 {
		_, faults = graph.Compile(testRun, Rules{})
	}
	return faults
}

// drawChange changes a byte, cuts some out or inserts some that have a meaning in YAML,
// JSON or templates.
func drawChange(t *rapid.T, content []byte) []byte {
	i := rapid.IntRange(0, len(content)-1).Draw(t, "at")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		content[i] = rapid.Byte().Draw(t, "byte")
		return content
	case 1:
		return slices.Delete(content, i, min(len(content), i+rapid.IntRange(1, 20).Draw(t, "cut")))
	default:
		meaningful := rapid.SampledFrom([]byte("{}[]\",:&*{{ %}}<<-#'\n0e9"))
		return slices.Insert(content, i, rapid.SliceOfN(meaningful, 1, 6).Draw(t, "put")...)
	}
}

// aliasBomb is a short text of lists each of which holds the one before it nine times.
func aliasBomb() string {
	bomb := "dag_id: g\na: &a [x, x, x, x, x, x, x, x, x]\n"
	for name := 'b'; name <= 'j'; name++ {
		aliases := strings.Repeat(fmt.Sprintf("*%c, ", name-1), 9)
		bomb += fmt.Sprintf("%c: &%c [%s]\n", name, name, strings.TrimSuffix(aliases, ", "))
	}
	return bomb
}
