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

// listError is a fault of the list; all other errors are wrong use.
type listError struct {
	path string
	err  error
}

// Error names the file and its fault.
func (e *listError) Error() string { return fmt.Sprintf("%s: %v", e.path, e.err) }

// Unwrap gives the fault.
func (e *listError) Unwrap() error { return e.err }

// listFile is the file that holds the list.
type listFile struct{ path string }

// read reads the list and holds it against the tests of this module. What is wrong with it is a listError.
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

// testNames gives the names of this module's tests, by package.
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
