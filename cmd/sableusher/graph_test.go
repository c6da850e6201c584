package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// errFullDisk is the error that writes to a fullDisk return.
var errFullDisk = errors.New("full disk")

// fullDisk is a writer whose writes fail with errFullDisk.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errFullDisk }

// runCommand runs the command with args and writes its standard output to out. It returns its
// standard error.
func runCommand(out io.Writer, args ...string) (string, error) {
	var stderr bytes.Buffer
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(&stderr)
	err := cmd.Execute()
	return stderr.String(), err
}

// writeGraph writes a graph with one task to a file and returns the path. The fields are appended to the task's.
func writeGraph(t *testing.T, fields string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "graph.yaml")
	content := "dag_id: g\ntasks:\n- {task_id: a, class: c, team: t, image: i, cpus: 1" + fields + "}\n"
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestGraphCheckPrintsJobs: graph check prints the jobs of a valid graph as a table or as JSON.
func TestGraphCheckPrintsJobs(t *testing.T) {
	path := writeGraph(t, ", expand: [x, y]")
	var table bytes.Buffer
	if _, err := runCommand(&table, "graph", "check", path); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{path + ": good, 2 jobs\n", "a[0]", "a[1]", "records"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("%q is not in the table:\n%s", want, table.String())
		}
	}
	var encoded bytes.Buffer
	if _, err := runCommand(&encoded, "graph", "check", path, "--output", "json"); err != nil {
		t.Fatal(err)
	}
	var reports []graphReport
	if err := json.Unmarshal(encoded.Bytes(), &reports); err != nil {
		t.Fatal(err)
	}
	if len(reports) != 1 || len(reports[0].Faults) != 0 || len(reports[0].Jobs) != 2 {
		t.Errorf("unexpected reports %+v", reports)
	}
}

// TestGraphCheckFailsOnFaults: graph check prints faults to standard error and fails.
func TestGraphCheckFailsOnFaults(t *testing.T) {
	path := writeGraph(t, ", colour: red")
	var out bytes.Buffer
	stderr, err := runCommand(&out, "graph", "check", path)
	if err == nil || err.Error() != "faults: 1" {
		t.Errorf("error %v, want \"faults: 1\"", err)
	}
	if !strings.Contains(stderr, path+":3:") || !strings.Contains(stderr, "unknown field") || out.Len() > 0 {
		t.Errorf("standard error %q, output %q; want the fault only on standard error", stderr, out.String())
	}
}

// TestWriteErrorsAreReturned: a command fails if its output can't be written.
func TestWriteErrorsAreReturned(t *testing.T) {
	path := writeGraph(t, "")
	for _, args := range [][]string{
		{"version"},
		{"graph", "schema"},
		{"graph", "check", path},
		{"graph", "check", path, "--output", "json"},
		{"check", "--config", "../../internal/golden/testdata/settings.toml"},
	} {
		if _, err := runCommand(fullDisk{}, args...); !errors.Is(err, errFullDisk) {
			t.Errorf("%v: error %v, want errFullDisk", args, err)
		}
	}
}
