package config

import (
	"errors"
	"strings"
	"testing"
)

func TestOperator(t *testing.T) {
	defaults, err := LoadOperator("")
	if err != nil || defaults.ResponsivenessWeight != 0.7 || defaults.MinMachines != 2 {
		t.Fatalf("unexpected defaults %+v, error %v", defaults, err)
	}
	got, err := ParseOperator([]byte("<sableusher><lambda>0.25</lambda></sableusher>"), defaults)
	if err != nil || got.ResponsivenessWeight != 0.25 || got.Exploration != defaults.Exploration {
		t.Fatalf("unexpected settings %+v, error %v", got, err)
	}
}

// inRoot returns a document with the elements inside the root element.
func inRoot(elements string) string { return "<sableusher>" + elements + "</sableusher>" }

// invalidOperatorDocuments are documents that ParseOperator rejects.
var invalidOperatorDocuments = []struct {
	document string
	want     string // part of the error's text
}{
	{
		document: inRoot("<lamda>1</lamda>"),
		want:     "lamda",
	},
	{
		document: inRoot("<lambda>1.5</lambda>"),
		want:     "lambda",
	},
	{
		document: inRoot("<lambda>NaN</lambda>"),
		want:     "lambda",
	},
	{
		document: inRoot("<lambda>1</lambda><lambda>1</lambda>"),
		want:     "lambda",
	},
	{
		document: inRoot("<lambda x='1'>1</lambda>"),
		want:     "lambda",
	},
	{
		document: "<other/>",
		want:     "other",
	},
	{
		document: "",
		want:     "sableusher",
	},
	{
		document: inRoot("<classes><class name='a' repeats='1' pause-s='1'/></classes>"),
		want:     "pause-max-s",
	},
	{
		document: inRoot("<classes><class name='a' repeats='-1' pause-s='1' pause-max-s='2'/></classes>"),
		want:     "repeats",
	},
	{
		document: inRoot("<classes><class name='a' repeats='1' pause-s='3' pause-max-s='2'/></classes>"),
		want:     "pause-max-s",
	},
	{
		document: inRoot("<classes><class name='' repeats='1' pause-s='1' pause-max-s='2'/></classes>"),
		want:     "name",
	},
	{
		document: inRoot("<classes><class name='a' repeats='1' pause-s='1' pause-max-s='2'/>" +
			"<class name='a' repeats='1' pause-s='1' pause-max-s='2'/></classes>"),
		want: "twice",
	},
	{
		document: inRoot("<classes><class name='a' repeats='x' pause-s='1' pause-max-s='2'/></classes>"),
		want:     "",
	},
	{
		document: inRoot("<classes>" +
			"<class name='a' repeats='1' pause-s='1' pause-max-s='2' colour='red'/></classes>"),
		want: "colour",
	},
	{
		document: inRoot("<classes><kind/></classes>"),
		want:     "kind",
	},
	{
		document: inRoot("<class name='a' repeats='1' pause-s='1' pause-max-s='2'/>"),
		want:     "class",
	},
	{
		document: inRoot("<zone-reserve>1.1</zone-reserve>"),
		want:     "zone-reserve",
	},
	{
		document: inRoot("<cell-name>a</cell-name>"),
		want:     "cell-epoch",
	},
	{
		document: inRoot("<cell-name>a/b</cell-name><cell-epoch>1</cell-epoch>"),
		want:     "cell-name",
	},
	{
		document: inRoot("<cell-name>a</cell-name><cell-epoch>1</cell-epoch>" +
			"<cells><cell name='a' nodes='x:1' transfer-s='0'/></cells>"),
		want: "twice",
	},
	{
		document: inRoot("<cell-name>a</cell-name><cell-epoch>1</cell-epoch>" +
			"<cells><cell name='b' nodes=' ' transfer-s='0'/></cells>"),
		want: "nodes",
	},
	{
		document: inRoot("<cell-name>a</cell-name><cell-epoch>1</cell-epoch>" +
			"<cells><cell name='b' nodes='x:1' transfer-s='-1'/></cells>"),
		want: "transfer-s",
	},
	{
		document: inRoot("<cell-name>a</cell-name><cell-epoch>1</cell-epoch>" +
			"<cells><cell name='b' nodes='x:1'/></cells>"),
		want: "transfer-s",
	},
	{
		document: inRoot("<cell-guests>-1</cell-guests>"),
		want:     "cell-guests",
	},
	{
		document: "<sableusher><lambda>",
		want:     "",
	},
	{
		document: inRoot("<pool-minimum>two</pool-minimum>"),
		want:     "",
	},
}

// TestInvalidOperatorSettings: unknown, repeated or missing elements and attributes and values
// out of range are rejected, and the error names them.
func TestInvalidOperatorSettings(t *testing.T) {
	defaults, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range invalidOperatorDocuments {
		_, err := ParseOperator([]byte(test.document), defaults)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: no error, or one without the expected text: %v", test.document, err)
		}
	}
}

// TestOperatorErrorTypes: callers can distinguish the faults of operators' settings by type.
func TestOperatorErrorTypes(t *testing.T) {
	if _, err := ParseOperator(nil, nil); !errors.Is(err, ErrNoRootElement) {
		t.Errorf("an empty file: %v", err)
	}
	if _, err := ParseOperator([]byte(inRoot("<cell-name>a</cell-name>")), nil); !errors.Is(err, ErrCellIdentity) {
		t.Errorf("a cell without epoch: %v", err)
	}
	var unknown *ElementError
	if _, err := ParseOperator([]byte(inRoot("<lamda>1</lamda>")), nil); !errors.As(err, &unknown) ||
		unknown.Element != "lamda" {
		t.Errorf("an unknown element: %v", err)
	}
}

// TestDeployedFiles: the deployed files that enable the zone reserve and cells are valid. By
// default both are disabled.
func TestDeployedFiles(t *testing.T) {
	zones, err := LoadOperator("../../deploy/zones.xml")
	if err != nil || zones.ZoneReserve != 0.5 || !zones.SpreadServices || len(zones.Cells) != 0 {
		t.Errorf("zones.xml: unexpected settings %+v, error %v", zones, err)
	}
	cells, err := LoadOperator("../../deploy/cells.xml")
	if err != nil || cells.CellName != "a" || cells.CellEpoch != 1 {
		t.Errorf("cells.xml: unexpected settings %+v, error %v", cells, err)
	}
	if len(cells.Cells) != 2 || cells.Cells[1].TransferSeconds != 10 {
		t.Errorf("cells.xml: unexpected cells %+v", cells.Cells)
	}
	defaults, err := LoadOperator("")
	if err != nil || defaults.ZoneReserve != 0 || defaults.SpreadServices {
		t.Errorf("zone reserve enabled by default: %+v, %v", defaults, err)
	}
	if defaults.CellName != "" || len(defaults.Cells) != 0 {
		t.Errorf("cells enabled by default: %+v", defaults)
	}
}

// TestClassesFile: the deployed file that limits the retries of classes is valid. By default no
// class has a limit.
func TestClassesFile(t *testing.T) {
	operator, err := LoadOperator("../../deploy/classes.xml")
	if err != nil || len(operator.Classes) == 0 || operator.MinMachines != 2 {
		t.Fatalf("classes.xml: unexpected settings %+v, error %v", operator, err)
	}
	for _, class := range operator.Classes {
		if class.Name == "" || class.MaxRetryBackoffSeconds < class.RetryBackoffSeconds {
			t.Errorf("classes.xml: unexpected class %+v", class)
		}
	}
	if defaults, err := LoadOperator(""); err != nil || len(defaults.Classes) != 0 {
		t.Errorf("classes with limits by default: %+v, %v", defaults.Classes, err)
	}
}
