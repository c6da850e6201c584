package graph

import (
	"errors"
	"fmt"

	"sableusher/internal/tuning"
)

// Errors that apply to a whole file. Parse returns each of them as a Fault without a line.
var (
	errFileTooLarge  = fmt.Errorf("more than %d bytes", tuning.GraphFileMaxBytes)
	errManyDocuments = errors.New("more than one document")
	errTooManyValues = fmt.Errorf("more than %d values, or more than %d within each other",
		tuning.GraphMaxValues, tuning.GraphMaxDepth)
)

// errTemplateTooLong is the cause of a TemplateError if the rendered text is too long.
var errTemplateTooLong = fmt.Errorf("gives more than %d bytes", tuning.GraphTextMaxBytes)

// DateError is returned for a text that ParseDate can't parse.
type DateError struct {
	Text string
}

func (e *DateError) Error() string {
	return fmt.Sprintf("%q is neither a date nor a time", e.Text)
}

// TemplateError is returned for a template that can't be rendered.
type TemplateError struct {
	Err error // cause
}

func (e *TemplateError) Error() string { return "template: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TemplateError) Unwrap() error { return e.Err }

// OperatorError is the cause of a TemplateError if the template uses an operator that is not allowed.
type OperatorError struct {
	Operator string
}

func (e *OperatorError) Error() string { return e.Operator + " is not allowed" }

// ValueError is returned for a value that does not have the type of its field.
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
