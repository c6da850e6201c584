package graph

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Fault is an error in a graph file, with the location of the invalid value.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1; 0 if it concerns the whole file
	Column  int    `json:"column"` // from 1; 0 if it concerns the whole file
	Path    string `json:"path"`   // path of the value, such as /tasks/3/image
	Message string `json:"what"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// source is a parsed file. It maps paths to lines and columns.
type source struct {
	file string
	root *yaml.Node
}

// locate returns the node at a path, or the innermost ancestor of it that exists.
func (s source) locate(path string) *yaml.Node {
	node := s.root
	for step := range strings.SplitSeq(strings.Trim(path, "/"), "/") {
		child := childNode(node, step)
		if child == nil {
			break
		}
		node = child
	}
	return node
}

// childNode returns the child of a mapping with a key or of a sequence at an index. It returns nil if there is none.
func childNode(node *yaml.Node, step string) *yaml.Node {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(step); err == nil && i >= 0 && i < len(node.Content) {
			return node.Content[i]
		}
	}
	return nil
}

// faultCollector collects the faults of a file.
type faultCollector struct {
	source source
	faults []Fault
}

// add records a fault of the value at a path.
func (c *faultCollector) add(path, format string, args ...any) {
	node := c.source.locate(path)
	c.faults = append(c.faults, Fault{
		File:    c.source.file,
		Line:    node.Line,
		Column:  node.Column,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// sorted returns the faults sorted by line and column, without duplicates.
func (c *faultCollector) sorted() []Fault {
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(c.faults)
}

// wholeFileFault returns the single fault of a file that can't be read as a graph.
func wholeFileFault(file string, err error) []Fault {
	return []Fault{{File: file, Path: "/", Message: err.Error()}}
}
