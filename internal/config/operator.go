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
	if err := oneLine(errs); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	return &op, nil
}

func checkElements(b []byte) error {
	known := map[string]bool{}
	t := reflect.TypeFor[Operator]()
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("xml")] = true
	}
	dec := xml.NewDecoder(bytes.NewReader(b))
	depth, seen := 0, map[string]bool{}
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
			if (depth == 0) != (n == "sableusher") || depth > 1 || !known[n] {
				return fmt.Errorf("<%s>: unknown element", n)
			}
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
