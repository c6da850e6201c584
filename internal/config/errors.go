package config

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNoRootElement is returned for operators' settings without the root element.
	ErrNoRootElement = errors.New("no <sableusher> element")
	// ErrCellIdentity is returned for settings of several cells that lack a valid name and epoch of this cell.
	ErrCellIdentity = errors.New("<cell-name> and <cell-epoch>: both are needed, " +
		"a name of letters, digits and dashes and a number from 1")
)

// ValidationError reports all faults found in a settings file.
type ValidationError struct {
	Faults []error
}

// Error returns all faults in one line, so that a node that can't start logs a single line.
func (e *ValidationError) Error() string {
	texts := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the faults, for errors.Is and errors.As.
func (e *ValidationError) Unwrap() []error { return e.Faults }

// SettingError reports a fault of a setting in the platform's file.
type SettingError struct {
	Setting string // path of the setting, such as deployment.teams[0].name
	Problem string
}

func (e *SettingError) Error() string { return e.Setting + ": " + e.Problem }

// RangeError reports a number outside its bounds, in either file.
type RangeError struct {
	Setting  string // path of the setting, or its element in angle brackets
	Value    float64
	Min, Max float64 // inclusive
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: %v is not within %v to %v", e.Setting, e.Value, e.Min, e.Max)
}

// ElementError reports a fault of an element in the operators' file.
type ElementError struct {
	Element string // name of the element, with its identifying attribute if it is an item of a list
	Problem string
}

func (e *ElementError) Error() string { return "<" + e.Element + ">: " + e.Problem }
