package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// rootElement is the root element of the operators' file.
const rootElement = "sableusher"

// Depths of elements in the operators' file: the number of enclosing elements.
const (
	rootDepth = iota
	settingDepth
	itemDepth
)

// listElement describes the items of an element that is a list.
type listElement struct {
	itemName string
	itemType reflect.Type // struct whose fields are the item's attributes
}

// elementNames holds the elements that are allowed in the operators' file.
type elementNames struct {
	known map[string]bool
	lists map[string]listElement
}

// operatorElements derives the known elements from the tags of Operator.
func operatorElements() elementNames {
	names := elementNames{known: map[string]bool{}, lists: map[string]listElement{}}
	for field := range reflect.TypeFor[Operator]().Fields() {
		name, itemName, isList := strings.Cut(field.Tag.Get("xml"), ">")
		names.known[name] = true
		if isList {
			names.lists[name] = listElement{itemName: itemName, itemType: field.Type.Elem()}
		}
	}
	return names
}

// elementChecker rejects unknown and repeated elements of a file. Package encoding/xml would
// ignore unknown elements and use the last one of repeated elements.
type elementChecker struct {
	names   elementNames
	seen    map[string]bool
	depth   int
	current string // last opened element that is not an item of a list
}

// checkElements returns an error for unknown and repeated elements, and for missing, unknown and
// repeated attributes.
func checkElements(content []byte) error {
	checker := elementChecker{names: operatorElements(), seen: map[string]bool{}}
	decoder := xml.NewDecoder(bytes.NewReader(content))
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return checker.finish()
		}
		if err != nil {
			return err
		}
		switch element := token.(type) {
		case xml.StartElement:
			if err := checker.start(element); err != nil {
				return err
			}
			checker.depth++
		case xml.EndElement:
			checker.depth--
		}
	}
}

// start checks the start tag of an element.
func (c *elementChecker) start(element xml.StartElement) error {
	name := element.Name.Local
	list := c.names.lists[c.current]
	if c.depth == itemDepth && name == list.itemName {
		return checkAttributes(element, list.itemType)
	}
	isRoot := name == rootElement
	if (c.depth == rootDepth) != isRoot || c.depth > settingDepth || !c.names.known[name] {
		return &ElementError{Element: name, Problem: "unknown element"}
	}
	c.current = name
	if c.seen[name] {
		return &ElementError{Element: name, Problem: "stands twice"}
	}
	if len(element.Attr) > 0 {
		return &ElementError{Element: name, Problem: "takes no attributes"}
	}
	c.seen[name] = true
	return nil
}

// finish checks, at the end of the file, that there was a root element.
func (c *elementChecker) finish() error {
	if !c.seen[rootElement] {
		return ErrNoRootElement
	}
	return nil
}

// checkAttributes returns an ElementError for an item of a list that has missing, unknown or
// repeated attributes. Attributes have no defaults: a missing one, such as a pause, must not be
// read as 0.
func checkAttributes(element xml.StartElement, itemType reflect.Type) error {
	var missing []string
	for field := range itemType.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("xml"), ",")
		missing = append(missing, name)
	}
	for _, attribute := range element.Attr {
		i := slices.Index(missing, attribute.Name.Local)
		if i < 0 {
			return &ElementError{
				Element: element.Name.Local,
				Problem: fmt.Sprintf("attribute %s is unknown or stands twice", attribute.Name.Local),
			}
		}
		missing = slices.Delete(missing, i, i+1)
	}
	if len(missing) > 0 {
		return &ElementError{
			Element: element.Name.Local,
			Problem: fmt.Sprintf("attribute %s is missing", strings.Join(missing, ", ")),
		}
	}
	return nil
}
