package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync"
)

// logBuffer keeps what the controllers of a day log. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends a line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(line)
}

// logger logs to the buffer from a level on.
func (l *logBuffer) logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(l, &slog.HandlerOptions{Level: level}))
}

// countMessages counts the lines with a message.
func (l *logBuffer) countMessages(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buffer.String(), fmt.Sprintf("msg=%q", message))
}

// lines takes all lines out of the buffer.
func (l *logBuffer) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for scanner := bufio.NewScanner(&l.buffer); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines
}

var sessionLogPattern = regexp.MustCompile(`msg="session open" node=(\S+) .*incarnation=(\S+)`)

var zoneLogPattern = regexp.MustCompile(`msg="zone changes" node=(\S+) zone=(\S+) state=(\S+)`)

// zoneObserver is a controller together with a zone that it judges.
type zoneObserver struct{ node, zone string }

// zoneStates gives the states that each controller's last process has logged of each zone, in turn.
func zoneStates(lines []string) map[zoneObserver][]string {
	states, incarnations := map[zoneObserver][]string{}, map[string]string{}
	for _, line := range lines {
		if match := sessionLogPattern.FindStringSubmatch(line); match != nil && incarnations[match[1]] != match[2] {
			incarnations[match[1]] = match[2]
			for observer := range states {
				if observer.node == match[1] {
					delete(states, observer)
				}
			}
		}
		if match := zoneLogPattern.FindStringSubmatch(line); match != nil {
			observer := zoneObserver{match[1], match[2]}
			states[observer] = append(states[observer], match[3])
		}
	}
	return states
}

var deletionLogPattern = regexp.MustCompile(
	`msg="deleting a machine" node=(\S+) machine=\S+ why="silent for [^,]*, (service|gang|array|holds)`)

// evacuationOrder is the order in which machines are given up, by what they hold.
var evacuationOrder = map[string]int{"service": 0, "gang": 1, "array": 2, "holds": 3}

// outOfOrderDeletions finds deletions that one controller decided at one time, but not in the order of the
// plan: services, gangs, arrays, nothing.
func outOfOrderDeletions(lines []string) (out []string) {
	previous := map[string]string{} // what the last machine held, by controller and time
	for _, line := range lines {
		match := deletionLogPattern.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		decision := match[1] + " " + strings.Fields(line)[0]
		if held, ok := previous[decision]; ok && evacuationOrder[match[2]] < evacuationOrder[held] {
			out = append(out, line)
		}
		previous[decision] = match[2]
	}
	return out
}
