package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex // guards the fields below
	file       *os.File
	out        *bufio.Writer
	started    time.Time
	violations []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// logf writes one line with the time since the start, in seconds.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// violation writes and keeps one breach of a rule.
func (r *recorder) violation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := rule + ": " + fmt.Sprintf(format, args...)
	r.violations = append(r.violations, line)
	r.write("BROKEN " + line)
}

// write writes a line. The caller must hold mu.
func (r *recorder) write(line string) {
	if _, err := fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// broken returns the breaches of the rule, or of all rules if rule is empty.
func (r *recorder) broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
