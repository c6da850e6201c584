package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns an error if the case could not run, and adds violations to the world otherwise.
type scenario struct {
	options func(trouble bool) options
	play    func(w *world, trouble bool) error
}

// maxRunTime is the longest time that a case may take.
const maxRunTime = 116 * time.Second

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case; there are", strings.Join(names(), " "))
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(s.options(trouble), filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	finished := make(chan error, 1)
	go func() { finished <- s.play(w, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-finished:
	case <-time.After(maxRunTime):
		err = fmt.Errorf("not finished after %v", maxRunTime)
	case <-signals:
		err = fmt.Errorf("interrupted")
	}
	broken := w.broken()
	w.close()
	switch {
	case len(broken) > 0:
		fmt.Println("rule broken:", broken[0])
		return exitBroken
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	fmt.Println("the rule held")
	return exitHeld
}

func names() []string {
	var out []string
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
