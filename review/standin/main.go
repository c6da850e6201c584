package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios by name.
var cases = map[string]func(w *world, trouble bool) error{
	"dependents": playDependents,
	"grants":     playGrants,
	"mistakes":   playMistakes,
}

// places are the deployments of the scenarios.
var places = map[string]func() site{
	"dependents": ondaviva,
	"grants":     mazad,
	"mistakes":   mazad,
}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", ".", "the folder for record.txt")
	rule := flag.String("rule", "", "the rule that is checked; empty: all")
	flag.Parse()
	os.Exit(run(*name, *folder, *rule))
}

func run(name, folder, rule string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "standin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temp) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", temp)
	}
	w := newWorld(rec, places[name](), temp)
	err = play(w, os.Getenv("TROUBLE") != "0")
	w.close()
	return conclude(rec, rule, err)
}

func conclude(rec *recorder, rule string, err error) int {
	if err != nil {
		rec.logf("could not run: %v", err)
		_ = rec.close() // the error that matters is reported
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	status := exitHeld
	for _, line := range rec.broken() {
		fmt.Println(line)
		if rule == "" || strings.HasPrefix(line, rule+":") {
			status = exitBroken
		}
	}
	rec.logf("exit %d", status)
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return status
}
