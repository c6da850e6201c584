package graph

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestAnyBytes checks that Parse and Compile do not panic on corrupted files, and that invalid
// files have faults. These include files in which nested or recursive aliases would expand without bound.
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
			t.Errorf("%.20q: no faults, but it is not a graph", text)
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

// drawChange replaces a byte, deletes some bytes, or inserts some that have a meaning in YAML,
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
		syntax := rapid.SampledFrom([]byte("{}[]\",:&*{{ %}}<<-#'\n0e9"))
		return slices.Insert(content, i, rapid.SliceOfN(syntax, 1, 6).Draw(t, "put")...)
	}
}

// aliasBomb returns a short YAML document of nested lists, each of which holds nine aliases of the previous one.
func aliasBomb() string {
	bomb := "dag_id: g\na: &a [x, x, x, x, x, x, x, x, x]\n"
	for name := 'b'; name <= 'j'; name++ {
		aliases := strings.Repeat(fmt.Sprintf("*%c, ", name-1), 9)
		bomb += fmt.Sprintf("%c: &%c [%s]\n", name, name, strings.TrimSuffix(aliases, ", "))
	}
	return bomb
}
