package config

import (
	_ "embed"
	"encoding/xml"
	"fmt"
	"os"
	"slices"
	"strings"

	"sableusher/internal/tuning"
)

//go:embed operator.xml
var defaultOperator []byte

// Operator holds the operators' settings. The names of elements and attributes are part of the
// file format; operator.xml holds the defaults.
type Operator struct {
	XMLName              xml.Name `xml:"sableusher"`
	ResponsivenessWeight float64  `xml:"lambda"`       // weight of responsiveness against utilization, 0 to 1
	Exploration          float64  `xml:"exploration"`  // probability of a random action, 0 to 1
	LearningRate         float64  `xml:"learn-rate"`   // SARSA's learning rate, 0 to 1
	Discount             float64  `xml:"discount"`     // SARSA's discount of the next decision's value, below 1
	WarmUpRewards        int      `xml:"cold-payoffs"` // rewards to collect before learned values are used
	MinMachines          int      `xml:"pool-minimum"` // least number of machines
	MinHeadroom          int      `xml:"pool-step"`    // least headroom above the booked machines, in machines
	IdleHoldSeconds      float64  `xml:"pool-hold-s"`  // time before an idle machine may be deleted, in seconds
	RefitIntervalSeconds float64  `xml:"refit-s"`      // interval between fits of the learner, in seconds
	LearningEnabled      bool     `xml:"learn"`
	FixedFleet           bool     `xml:"owned-fleet"` // the machines are owned: none are rented or deleted
	// ZoneReserve is the capacity kept free in the other zones for the loss of the zone with the
	// most services, as a share of the capacity that its services use, 0 to 1.
	ZoneReserve float64 `xml:"zone-reserve"`
	// SpreadServices also spreads the replicas of services that don't request it over several
	// zones: at most half of them run in one zone as long as another has capacity.
	SpreadServices bool `xml:"spread-services"`
	// Classes are the classes of jobs with limited retries of tasks; empty by default.
	Classes []Class `xml:"classes>class"`
	// CellName is this deployment's name among the operator's cells; empty if it is not one of several cells.
	CellName string `xml:"cell-name"`
	// CellEpoch is a number from 1 that the operator increases whenever this cell's key-value store
	// has lost writes, so that jobs accepted from other cells before the loss are dropped. It is 0 if
	// CellName is empty.
	CellEpoch uint64 `xml:"cell-epoch"`
	// MaxOffloadedTasks bounds the tasks that jobs offloaded by other cells have in this cell at
	// any time.
	MaxOffloadedTasks int `xml:"cell-guests"`
	// CellDraining makes this cell reject offloaded jobs and return those not yet started.
	CellDraining bool `xml:"cell-drain"`
	// Cells are the other cells.
	Cells []Cell `xml:"cells>cell"`
	// ForgottenCells are those of Cells that are permanently lost: jobs that were offloaded to
	// them may start in this cell again.
	ForgottenCells []ForgottenCell `xml:"cells-forgotten>cell"`
}

// ForgottenCell states that another cell is permanently lost in an epoch.
type ForgottenCell struct {
	Name  string `xml:"name,attr"`
	Epoch uint64 `xml:"epoch,attr"` // the highest received from the cell, as logged when the cell was found lost
}

// Cell is another deployment with which this one exchanges jobs.
type Cell struct {
	Name            string  `xml:"name,attr"`
	Nodes           string  `xml:"nodes,attr"`      // peer addresses of its controller nodes, separated by spaces
	TransferSeconds float64 `xml:"transfer-s,attr"` // cost of offloading a job to it, in seconds
}

// Class limits the retries of the tasks of jobs in a class.
type Class struct {
	Name                   string  `xml:"name,attr"`
	MaxRetries             int     `xml:"repeats,attr"`     // limit of retries after failures of the task itself
	RetryBackoffSeconds    float64 `xml:"pause-s,attr"`     // seconds before the first retry; doubled for each next
	MaxRetryBackoffSeconds float64 `xml:"pause-max-s,attr"` // longest such backoff, in seconds
}

// LoadOperator reads and parses the operators' file at path. Settings that the file lacks have the
// embedded defaults; an empty path returns the defaults. LoadOperator returns the errors of reading the
// file and of ParseOperator.
func LoadOperator(path string) (*Operator, error) {
	defaults, err := ParseOperator(defaultOperator, nil)
	if err != nil {
		return nil, fmt.Errorf("embedded defaults: %w", err)
	}
	if path == "" {
		return defaults, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	return ParseOperator(content, defaults)
}

// ParseOperator parses and validates operators' settings. Settings that content lacks are taken
// from base, which is not changed and may be nil; the lists of base are never taken. It returns
// the XML decoder's error for a malformed file, ErrNoRootElement for one without the root element, an
// ElementError for elements that are unknown, repeated or have attributes where none are allowed, and
// for attributes of list items that are unknown, repeated or missing, and a ValidationError with all
// faults for invalid values.
func ParseOperator(content []byte, base *Operator) (*Operator, error) {
	operator := Operator{}
	if base != nil {
		operator = *base
		// Decoding appends to lists: without this the items of content would be added to those of base.
		operator.Classes, operator.Cells, operator.ForgottenCells = nil, nil, nil
	}
	if err := checkElements(content); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	if err := xml.Unmarshal(content, &operator); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	if err := operator.validate(); err != nil {
		return nil, fmt.Errorf("operators' settings: %w", err)
	}
	return &operator, nil
}

// validate checks all values. It returns nil or a ValidationError.
func (op *Operator) validate() error {
	var faults faultCollector
	op.checkLearner(&faults)
	op.checkMachines(&faults)
	op.checkClasses(&faults)
	op.checkOwnCell(&faults)
	op.checkCells(&faults)
	return faults.err()
}

func (op *Operator) checkLearner(faults *faultCollector) {
	faults.checkElementRange("lambda", op.ResponsivenessWeight, 0, maxWeight)
	faults.checkElementRange("exploration", op.Exploration, 0, maxWeight)
	faults.checkElementRange("learn-rate", op.LearningRate, 0, maxWeight)
	faults.checkElementRange("discount", op.Discount, 0, maxDiscount)
	faults.checkElementRange("cold-payoffs", float64(op.WarmUpRewards), 0, maxWarmUpRewards)
}

// checkMachines checks the settings of the number of machines and of their free capacity, and also the interval
// between fits of the learner.
func (op *Operator) checkMachines(faults *faultCollector) {
	faults.checkElementRange("pool-minimum", float64(op.MinMachines), 0, maxMinMachines)
	faults.checkElementRange("pool-step", float64(op.MinHeadroom), 0, maxHeadroom)
	faults.checkElementRange("pool-hold-s", op.IdleHoldSeconds, 0, maxIdleHoldSeconds)
	faults.checkElementRange("refit-s", op.RefitIntervalSeconds, minRefitSeconds, maxRefitSeconds)
	faults.checkElementRange("zone-reserve", op.ZoneReserve, 0, maxWeight)
}

func (op *Operator) checkClasses(faults *faultCollector) {
	if len(op.Classes) > tuning.MaxOperatorClasses {
		faults.addElement("classes", "more than %d", tuning.MaxOperatorClasses)
	}
	names := map[string]bool{}
	for _, class := range op.Classes {
		element := fmt.Sprintf("class name=%q", class.Name)
		if class.Name == "" || len(class.Name) > tuning.MaxNameBytes || names[class.Name] {
			faults.addElement(element, "empty, too long or named twice")
		}
		names[class.Name] = true
		faults.checkElementRange(element+" repeats", float64(class.MaxRetries), 0, tuning.MaxClassRetries)
		faults.checkElementRange(element+" pause-s", class.RetryBackoffSeconds, 0, tuning.MaxRetryBackoffSeconds)
		faults.checkElementRange(element+" pause-max-s", class.MaxRetryBackoffSeconds,
			class.RetryBackoffSeconds, tuning.MaxRetryBackoffSeconds)
	}
}

// checkOwnCell checks the settings of this cell, and also the number of other cells. Name and epoch are
// both required if one of them or another cell is set.
func (op *Operator) checkOwnCell(faults *faultCollector) {
	if len(op.Cells) > tuning.MaxCells {
		faults.addElement("cells", "more than %d", tuning.MaxCells)
	}
	federated := op.CellName != "" || op.CellEpoch > 0 || len(op.Cells) > 0
	if federated && (!isCellName(op.CellName) || op.CellEpoch == 0) {
		faults.add(ErrCellIdentity)
	}
	if op.MaxOffloadedTasks < 0 || op.MaxOffloadedTasks > maxOffloadedTasks {
		faults.addElement("cell-guests", "%d is not within 0 to %d", op.MaxOffloadedTasks, maxOffloadedTasks)
	}
}

// checkCells checks the other cells, and that each forgotten cell is one of them and has an epoch.
func (op *Operator) checkCells(faults *faultCollector) {
	names := map[string]bool{op.CellName: true}
	for _, cell := range op.Cells {
		element := fmt.Sprintf("cell name=%q", cell.Name)
		if !isCellName(cell.Name) || names[cell.Name] {
			faults.addElement(element, "no name of letters, digits and dashes, or one named twice")
		}
		names[cell.Name] = true
		if len(strings.Fields(cell.Nodes)) == 0 {
			faults.addElement(element, "nodes names no controller")
		}
		if isOutOfRange(cell.TransferSeconds, 0, maxTransferSeconds) {
			faults.addElement(element, "transfer-s %v is not within 0 to %d", cell.TransferSeconds, maxTransferSeconds)
		}
	}
	for _, forgotten := range op.ForgottenCells {
		isNamed := func(cell Cell) bool { return cell.Name == forgotten.Name }
		if !slices.ContainsFunc(op.Cells, isNamed) || forgotten.Epoch == 0 {
			faults.addElement("cells-forgotten", "%q is not one of <cells>, or its epoch is none", forgotten.Name)
		}
	}
}

// isCellName reports whether a name can be a cell's: not empty, not too long, and only of characters that are allowed
// in the keys of records.
func isCellName(name string) bool {
	for _, char := range name {
		if !isCellNameChar(char) {
			return false
		}
	}
	return name != "" && len(name) <= tuning.MaxCellNameBytes
}

func isCellNameChar(char rune) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z':
		return true
	case char >= '0' && char <= '9':
		return true
	}
	return char == '-'
}
