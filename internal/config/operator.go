package config

import (
	"bytes"
	_ "embed"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"

	"sableusher/internal/tuning"
)

//go:embed operator.xml
var defaultOperator []byte

// Operator holds the operators' own settings.
type Operator struct {
	XMLName     xml.Name `xml:"sableusher"`
	Lambda      float64  `xml:"lambda"`
	Exploration float64  `xml:"exploration"`
	LearnRate   float64  `xml:"learn-rate"`
	Discount    float64  `xml:"discount"`
	ColdPayoffs int      `xml:"cold-payoffs"`
	PoolMin     int      `xml:"pool-minimum"`
	PoolStep    int      `xml:"pool-step"`
	PoolHoldS   float64  `xml:"pool-hold-s"`
	RefitS      float64  `xml:"refit-s"`
	Learn       bool     `xml:"learn"`
	OwnedFleet  bool     `xml:"owned-fleet"`
	// ZoneReserve is the share of the services of the zone with most of them for which room is
	// kept free in the other zones, from 0 to 1.
	ZoneReserve float64 `xml:"zone-reserve"`
	// SpreadServices puts the replicas of services that don't ask for it into several zones too,
	// at most half of them in one as long as another has room.
	SpreadServices bool `xml:"spread-services"`
	// Classes of jobs whose tasks may fail so often only; none by default.
	Classes []Class `xml:"classes>class"`
	// CellName is this deployment among its operator's cells, CellEpoch counts how often its state
	// service lost writes, from 1 on; both are empty where there are no others.
	CellName  string `xml:"cell-name"`
	CellEpoch uint64 `xml:"cell-epoch"`
	// CellGuests is how many tasks of others' jobs may be here at once.
	CellGuests int `xml:"cell-guests"`
	// CellDrain: this cell takes nothing new and sends home what has not started.
	CellDrain bool `xml:"cell-drain"`
	// Cells are the others.
	Cells []Cell `xml:"cells>cell"`
	// Forgotten are those of them that are gone for good: what is there may start here again.
	Forgotten []Forgotten `xml:"cells-forgotten>cell"`
}

// Forgotten is an operator's word that a cell, under an epoch, is gone for good.
type Forgotten struct {
	Name  string `xml:"name,attr"`
	Epoch uint64 `xml:"epoch,attr"` // as the log line that it is lost tells
}

// Cell is another deployment that work is exchanged with.
type Cell struct {
	Name      string  `xml:"name,attr"`
	Nodes     string  `xml:"nodes,attr"`      // its controllers' back endpoints, separated by spaces
	TransferS float64 `xml:"transfer-s,attr"` // what moving a job there costs, in seconds
}

// Class limits the repeats of tasks of a class.
type Class struct {
	Name      string  `xml:"name,attr"`
	Repeats   int     `xml:"repeats,attr"`     // the most starts after a failure of a task's own
	PauseS    float64 `xml:"pause-s,attr"`     // seconds before the first repeat, doubled for each further one
	PauseMaxS float64 `xml:"pause-max-s,attr"` // the longest such pause, in seconds
}

// LoadOperator reads the operators' file over the embedded defaults; an empty
// path gives the defaults.
func LoadOperator(path string) (*Operator, error) {
	op, err := ParseOperator(defaultOperator, nil)
	if err != nil {
		return nil, fmt.Errorf("embedded defaults: %w", err)
	}
	if path == "" {
		return op, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	return ParseOperator(b, op)
}

// ParseOperator reads b over base. Elements that are unknown or stand twice,
// attributes and figures out of range are refused by name.
func ParseOperator(b []byte, base *Operator) (*Operator, error) {
	op := Operator{}
	if base != nil {
		op = *base
		op.Classes, op.Cells, op.Forgotten = nil, nil, nil // a list is replaced, not added to
	}
	if err := checkElements(b); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	if err := xml.Unmarshal(b, &op); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	var errs []error
	num := func(name string, v, lo, hi float64) {
		if math.IsNaN(v) || v < lo || v > hi {
			errs = append(errs, fmt.Errorf("<%s>: %v is not within %v to %v", name, v, lo, hi))
		}
	}
	num("lambda", op.Lambda, 0, 1)
	num("exploration", op.Exploration, 0, 1)
	num("learn-rate", op.LearnRate, 0, 1)
	num("discount", op.Discount, 0, 0.999)
	num("cold-payoffs", float64(op.ColdPayoffs), 0, 1e6)
	num("pool-minimum", float64(op.PoolMin), 0, 10000)
	num("pool-step", float64(op.PoolStep), 0, 1000)
	num("pool-hold-s", op.PoolHoldS, 0, 86400)
	num("refit-s", op.RefitS, 0.5, 3600)
	num("zone-reserve", op.ZoneReserve, 0, 1)
	if len(op.Classes) > tuning.MaxClasses {
		errs = append(errs, fmt.Errorf("<classes>: more than %d", tuning.MaxClasses))
	}
	names := map[string]bool{}
	for _, c := range op.Classes {
		if c.Name == "" || len(c.Name) > tuning.MaxNameBytes || names[c.Name] {
			errs = append(errs, fmt.Errorf("<class name=%q>: empty, too long or named twice", c.Name))
		}
		names[c.Name] = true
		num(fmt.Sprintf("class name=%q repeats", c.Name), float64(c.Repeats), 0, tuning.MaxRepeats)
		num(fmt.Sprintf("class name=%q pause-s", c.Name), c.PauseS, 0, tuning.MaxPauseS)
		num(fmt.Sprintf("class name=%q pause-max-s", c.Name), c.PauseMaxS, c.PauseS, tuning.MaxPauseS)
	}
	errs = append(errs, op.checkCells()...)
	if err := oneLine(errs); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	return &op, nil
}

// checkCells finds faults in what is said of cells.
func (op *Operator) checkCells() (errs []error) {
	fault := func(format string, a ...any) { errs = append(errs, fmt.Errorf(format, a...)) }
	if len(op.Cells) > tuning.MaxCells {
		fault("<cells>: more than %d", tuning.MaxCells)
	}
	if on := op.CellName != "" || op.CellEpoch > 0 || len(op.Cells) > 0; on && (!cellName(op.CellName) || op.CellEpoch == 0) {
		fault("<cell-name> and <cell-epoch>: both are needed, a name of letters, digits and dashes and a number from 1")
	}
	if op.CellGuests < 0 || op.CellGuests > tuning.MaxTasks {
		fault("<cell-guests>: %d is not within 0 to %d", op.CellGuests, tuning.MaxTasks)
	}
	names := map[string]bool{op.CellName: true}
	for _, c := range op.Cells {
		if !cellName(c.Name) || names[c.Name] {
			fault("<cell name=%q>: no name of letters, digits and dashes, or one named twice", c.Name)
		}
		names[c.Name] = true
		if len(strings.Fields(c.Nodes)) == 0 {
			fault("<cell name=%q>: nodes names no controller", c.Name)
		}
		if math.IsNaN(c.TransferS) || c.TransferS < 0 || c.TransferS > 3600 {
			fault("<cell name=%q>: transfer-s %v is not within 0 to 3600", c.Name, c.TransferS)
		}
	}
	for _, f := range op.Forgotten {
		if !slices.ContainsFunc(op.Cells, func(c Cell) bool { return c.Name == f.Name }) || f.Epoch == 0 {
			fault("<cells-forgotten>: %q is not one of <cells>, or its epoch is none", f.Name)
		}
	}
	return errs
}

// cellName tells whether a name may stand in keys of records.
func cellName(s string) bool {
	for _, c := range s {
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return s != "" && len(s) <= tuning.MaxCellName
}

func checkElements(b []byte) error {
	known, lists := map[string]bool{}, map[string]string{}
	items := map[string]reflect.Type{}
	t := reflect.TypeFor[Operator]()
	for i := range t.NumField() {
		name, item, list := strings.Cut(t.Field(i).Tag.Get("xml"), ">")
		known[name] = true
		if list {
			lists[name] = item
			items[name] = t.Field(i).Type.Elem()
		}
	}
	dec := xml.NewDecoder(bytes.NewReader(b))
	depth, seen, within := 0, map[string]bool{}, ""
	for {
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			if !seen["sableusher"] {
				return errors.New("no <sableusher> element")
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch el := tok.(type) {
		case xml.StartElement:
			n := el.Name.Local
			if depth == 2 && n == lists[within] {
				if err := checkAttributes(el, items[within]); err != nil {
					return err
				}
				depth++
				continue
			}
			if (depth == 0) != (n == "sableusher") || depth > 1 || !known[n] {
				return fmt.Errorf("<%s>: unknown element", n)
			}
			within = n
			if seen[n] {
				return fmt.Errorf("<%s>: stands twice", n)
			}
			if len(el.Attr) > 0 {
				return fmt.Errorf("<%s>: takes no attributes", n)
			}
			seen[n] = true
			depth++
		case xml.EndElement:
			depth--
		}
	}
}

// checkAttributes refuses an item of a list that lacks an attribute, has an unknown one,
// or one twice. Each is needed: a pause left out is no pause that anyone chose.
func checkAttributes(el xml.StartElement, t reflect.Type) error {
	var want []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("xml"), ",")
		want = append(want, name)
	}
	for _, a := range el.Attr {
		i := slices.Index(want, a.Name.Local)
		if i < 0 {
			return fmt.Errorf("<%s>: attribute %s is unknown or stands twice", el.Name.Local, a.Name.Local)
		}
		want = slices.Delete(want, i, i+1)
	}
	if len(want) > 0 {
		return fmt.Errorf("<%s>: attribute %s is missing", el.Name.Local, strings.Join(want, ", "))
	}
	return nil
}
