package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"strings"

	"sableusher/internal/knownfailures"
)

// listError is returned for an invalid list.
type listError struct {
	path string
	err  error
}

// Error names the file and the fault.
func (e *listError) Error() string { return fmt.Sprintf("%s: %v", e.path, e.err) }

// Unwrap returns the fault.
func (e *listError) Unwrap() error { return e.err }

// listFile is the file that contains the list.
type listFile struct{ path string }

// read parses the list and checks it against the tests of this module. It returns a listError if the list is invalid or
// can't be checked.
func (l *listFile) read(ctx context.Context) ([]knownfailures.Test, error) {
	tests, err := l.parse()
	if err == nil && len(tests) > 0 {
		var names map[string][]string
		if names, err = testNames(ctx); err == nil {
			err = knownfailures.CheckExist(tests, names)
		}
	}
	if err != nil {
		return nil, &listError{l.path, err}
	}
	return tests, nil
}

// parse parses the list. A missing file is an empty list.
func (l *listFile) parse() (tests []knownfailures.Test, err error) {
	file, err := os.Open(l.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return knownfailures.Read(file)
}

// testNames returns the names of the test functions of this module by package, with package paths relative to the
// working directory.
func testNames(ctx context.Context) (map[string][]string, error) {
	directories, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Dir}}", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("packages: %w", err)
	}
	workingDirectory, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	names := map[string][]string{}
	for directory := range strings.FieldsSeq(string(directories)) {
		pkg := "." + strings.TrimPrefix(directory, workingDirectory)
		listed, err := exec.CommandContext(ctx, "go", "test", "-list", "^Test", pkg).Output()
		if err != nil {
			return nil, fmt.Errorf("tests of %s: %w", pkg, err)
		}
		names[pkg] = strings.Fields(string(listed))
	}
	return names, nil
}
