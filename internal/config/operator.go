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

// Operator holds the operators' own settings. Element names and attributes are part of the
// file's form; see operator.xml for the defaults.
type Operator struct {
	XMLName              xml.Name `xml:"sableusher"`
	ResponsivenessWeight float64  `xml:"lambda"`       // weight of responsiveness in rewards, from 0 to 1
	Exploration          float64  `xml:"exploration"`  // probability of a random action, 0 to 1
	LearningRate         float64  `xml:"learn-rate"`   // step towards newly fitted weights, 0 to 1
	Discount             float64  `xml:"discount"`     // of the next decision's value, below 1
	WarmUpRewards        int      `xml:"cold-payoffs"` // rewards before the learner's choices are used
	MinMachines          int      `xml:"pool-minimum"` // machines that are always rented
	MinHeadroom          int      `xml:"pool-step"`    // least headroom, in machines
	IdleHoldSeconds      float64  `xml:"pool-hold-s"`  // seconds that an idle machine is kept
	RefitIntervalSeconds float64  `xml:"refit-s"`      // seconds between fits of the learner
	LearningEnabled      bool     `xml:"learn"`
	FixedFleet           bool     `xml:"owned-fleet"` // machines are neither rented nor returned
	// ZoneReserve is the share of the services of the zone with most of them for which
	// capacity is kept free in the other zones, from 0 to 1.
	ZoneReserve float64 `xml:"zone-reserve"`
	// SpreadServices puts the replicas of services that don't ask for it into several zones
	// too, at most half of them in one as long as another has capacity.
	SpreadServices bool `xml:"spread-services"`
	// Classes are the classes of jobs whose tasks have a limit of retries; none by default.
	Classes []Class `xml:"classes>class"`
	// CellName is this deployment's name among its operator's cells. CellEpoch counts from 1
	// how often its key-value store has lost writes. Both are empty without other cells.
	CellName  string `xml:"cell-name"`
	CellEpoch uint64 `xml:"cell-epoch"`
	// MaxOffloadedTasks is how many tasks of jobs offloaded by other cells may be here at once.
	MaxOffloadedTasks int `xml:"cell-guests"`
	// CellDraining makes this cell accept no offloaded jobs and return those not yet started.
	CellDraining bool `xml:"cell-drain"`
	// Cells are the other cells.
	Cells []Cell `xml:"cells>cell"`
	// ForgottenCells are those of Cells that are lost for good: jobs that were offloaded to them
	// may start here again.
	ForgottenCells []ForgottenCell `xml:"cells-forgotten>cell"`
}

// ForgottenCell is an operator's statement that a cell, under an epoch, is lost for good.
type ForgottenCell struct {
	Name  string `xml:"name,attr"`
	Epoch uint64 `xml:"epoch,attr"` // as logged when the cell was found lost
}

// Cell is another deployment that jobs are exchanged with.
type Cell struct {
	Name            string  `xml:"name,attr"`
	Nodes           string  `xml:"nodes,attr"`      // back addresses of its controller nodes, separated by spaces
	TransferSeconds float64 `xml:"transfer-s,attr"` // cost of offloading a job to it, in seconds
}

// Class limits the retries of the tasks of a class.
type Class struct {
	Name                 string  `xml:"name,attr"`
	MaxRetries           int     `xml:"repeats,attr"`     // most retries after failures of a task's own
	RetryPauseSeconds    float64 `xml:"pause-s,attr"`     // seconds before the first retry, doubled for each next
	MaxRetryPauseSeconds float64 `xml:"pause-max-s,attr"` // longest such pause, in seconds
}

// LoadOperator reads the operators' file over the embedded defaults, as ParseOperator does;
// an empty path gives the defaults.
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

// ParseOperator reads content over base, which stays unchanged and may be nil. Unknown or
// repeated elements and attributes give an ElementError; values that can't be used give a
// ValidationError with every fault.
func ParseOperator(content []byte, base *Operator) (*Operator, error) {
	operator := Operator{}
	if base != nil {
		operator = *base
		// Lists in content replace those of base; they are not added to them.
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

// validate checks all values; it returns nil or a ValidationError.
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

// checkMachines checks what the number of machines and their free capacity follow from.
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
		faults.checkElementRange(element+" pause-s", class.RetryPauseSeconds, 0, tuning.MaxRetryPauseSeconds)
		faults.checkElementRange(element+" pause-max-s", class.MaxRetryPauseSeconds,
			class.RetryPauseSeconds, tuning.MaxRetryPauseSeconds)
	}
}

// checkOwnCell checks what is said of this cell. Its name and epoch are needed as soon as
// one of them or another cell is given.
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

// checkCells checks the other cells, and that those to forget are among them.
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
		if outside(cell.TransferSeconds, 0, maxTransferSeconds) {
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

// isCellName reports whether a name consists of what the keys of records allow.
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
