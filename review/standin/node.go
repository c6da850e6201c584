package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

var errNoRunCommand = errors.New("deploy/service.toml has no run command")

// node is one controller process. It is safe for concurrent use.
type node struct {
	name, zone, listen, back, store, cloud string
	index                                  int

	mu      sync.Mutex // guards the fields below
	process *os.Process
	ended   chan struct{}
}

// runCommand returns the run command of the deploy file.
func runCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errNoRunCommand
}

// start starts the node's process with the command of the deploy file.
func (w *world) start(n *node) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	path := filepath.Join(w.folder, n.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(n)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own handle
	cmd := exec.Command(command[0], append(command[1:], path)...)
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended = cmd.Process, ended
	n.mu.Unlock()
	w.rec.logf("controller %s started", n.name)
	go func() {
		err := cmd.Wait()
		w.rec.logf("controller %s ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// running reports whether the node's process runs.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the node's process.
func (n *node) signal(signal os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(signal) // it may have ended already
	}
}

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}
