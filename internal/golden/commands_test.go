package golden_test

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// buildCommand builds the program and returns its path.
func buildCommand(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sableusher")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "sableusher/cmd/sableusher")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return program
}

// runCommand runs the program and returns its standard output and exit code.
func runCommand(t *testing.T, program string, arguments ...string) (stdout string, exitCode int) {
	t.Helper()
	output, err := exec.Command(program, arguments...).Output()
	var failed *exec.ExitError
	switch {
	case errors.As(err, &failed):
		exitCode = failed.ExitCode()
	case err != nil:
		t.Fatal(err)
	}
	return string(output), exitCode
}

// Patterns of the help lines that name a subcommand, or a flag with its type and default.
var (
	subcommandLine = regexp.MustCompile(`^  ([a-z][a-z-]*) {2,}\S`)
	flagLine       = regexp.MustCompile(`^ +((?:-[a-z], )?--[a-z-]+(?: [a-zA-Z]+)?) .*?(\(default [^)]*\))?$`)
)

// writeHelp writes the subcommands and flags of a command and, recursively, of its subcommands. It leaves out the
// descriptions, which may change. path holds the names of the command and its parents below the root command.
func writeHelp(t *testing.T, out *strings.Builder, program string, path ...string) {
	t.Helper()
	help, exitCode := runCommand(t, program, append(slices.Clone(path), "--help")...)
	fmt.Fprintf(out, "command %s, exit code %d\n", strings.Join(path, " "), exitCode)
	var subcommands []string
	for line := range strings.Lines(help) {
		line = strings.TrimRight(line, "\n")
		if flag := flagLine.FindStringSubmatch(line); flag != nil {
			fmt.Fprintf(out, "  %s %s\n", flag[1], flag[2])
		} else if name := subcommandLine.FindStringSubmatch(line); name != nil {
			subcommands = append(subcommands, name[1])
		}
	}
	for _, subcommand := range subcommands {
		writeHelp(t, out, program, append(slices.Clone(path), subcommand)...)
	}
}

// TestCommandLine checks the program's subcommands, flags and defaults, and the output of its check commands.
func TestCommandLine(t *testing.T) {
	program := buildCommand(t)
	var out strings.Builder
	writeHelp(t, &out, program)
	for _, arguments := range [][]string{
		{"graph", "check", "../../examples/nightly_loudness.yaml", "--run-date", "2026-03-01"},
		{"graph", "check", "../../examples/nightly_loudness.yaml", "--run-date", "2026-03-01", "--output", "json"},
		{"graph", "check", "../../examples/photo_sorting.json", "--run-date", "2026-03-01", "--output", "json"},
		{"graph", "check", "testdata/operator.xml", "--output", "json"},
		{"graph", "check", "testdata/operator.xml", "--output", "xml"},
		{"check", "--config", "testdata/settings.toml"},
		{"check", "--config", "testdata/operator.xml"},
	} {
		stdout, exitCode := runCommand(t, program, arguments...)
		fmt.Fprintf(&out, "%s\n%sexit code %d\n", strings.Join(arguments, " "), stdout, exitCode)
	}
	checkText(t, "commands.txt", out.String())
}
