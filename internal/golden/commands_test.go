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

// buildCommand builds the program and gives its path.
func buildCommand(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sableusher")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "sableusher/cmd/sableusher")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return program
}

// runCommand gives what a command prints, without the path of the program, and how it ends.
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

// Lines of a command's help: those that name a subcommand, and those that name a flag with its type and default.
var (
	subcommandLine = regexp.MustCompile(`^  ([a-z][a-z-]*) {2,}\S`)
	flagLine       = regexp.MustCompile(`^ +((?:-[a-z], )?--[a-z-]+(?: [a-zA-Z]+)?) .*?(\(default [^)]*\))?$`)
)

// writeHelp prints the verbs and flags of a command and of all below it. Descriptions may change.
func writeHelp(t *testing.T, out *strings.Builder, program string, verbs ...string) {
	t.Helper()
	help, exitCode := runCommand(t, program, append(slices.Clone(verbs), "--help")...)
	fmt.Fprintf(out, "command %s, exit code %d\n", strings.Join(verbs, " "), exitCode)
	var below []string
	for line := range strings.Lines(help) {
		line = strings.TrimRight(line, "\n")
		if flag := flagLine.FindStringSubmatch(line); flag != nil {
			fmt.Fprintf(out, "  %s %s\n", flag[1], flag[2])
		} else if verb := subcommandLine.FindStringSubmatch(line); verb != nil {
			below = append(below, verb[1])
		}
	}
	for _, verb := range below {
		writeHelp(t, out, program, append(slices.Clone(verbs), verb)...)
	}
}

// TestCommandLine: the verbs, flags and defaults of the program, and what it prints of graph files.
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
