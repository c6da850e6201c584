package graph

import (
	"errors"
	"fmt"

	"sableusher/internal/tuning"
)

// Reasons to refuse a whole file; Parse reports them as a Fault without line.
var (
	errFileTooLarge  = fmt.Errorf("more than %d bytes", tuning.GraphFileMaxBytes)
	errManyDocuments = errors.New("more than one document")
	errTooManyValues = fmt.Errorf("more than %d values, or more than %d within each other",
		tuning.GraphMaxValues, tuning.GraphMaxDepth)
)

// errTemplateTooLong is the cause of a TemplateError whose template gives too long a text.
var errTemplateTooLong = fmt.Errorf("gives more than %d bytes", tuning.GraphTextMaxBytes)

// DateError reports a text that ParseDate can't read.
type DateError struct {
	Text string
}

func (e *DateError) Error() string {
	return fmt.Sprintf("%q is neither a date nor a time", e.Text)
}

// TemplateError reports a template that can't be rendered.
type TemplateError struct {
	Err error // cause
}

func (e *TemplateError) Error() string { return "template: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *TemplateError) Unwrap() error { return e.Err }

// OperatorError is the cause of a TemplateError for an operator that templates may not use.
type OperatorError struct {
	Operator string
}

func (e *OperatorError) Error() string { return e.Operator + " is not allowed" }

// ValueError reports a value that is not of the type that its field has.
type ValueError struct {
	Value   any // a string if it was rendered from a template
	Problem string
}

func (e *ValueError) Error() string {
	if text, ok := e.Value.(string); ok {
		return fmt.Sprintf("%q is %s", text, e.Problem)
	}
	return fmt.Sprintf("%v is %s", e.Value, e.Problem)
}
