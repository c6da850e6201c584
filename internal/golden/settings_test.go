package golden_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"sableusher/internal/config"
)

// TestSettings checks that the platform's settings keep their names and are decoded to the same values.
func TestSettings(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.Parse(content)
	if err != nil {
		t.Fatal(err)
	}
	w := tagWriter{format: "toml", everyField: true}
	w.write(t, "", reflect.ValueOf(*settings))
	checkText(t, "settings.txt", w.out.String())
}

// TestSettingsRejected checks that the errors for missing and out-of-range settings keep their text.
func TestSettingsRejected(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for line := range strings.Lines(string(content)) {
		name, _, ok := strings.Cut(line, " = ")
		if !ok {
			continue
		}
		_, err := config.Parse([]byte(strings.Replace(string(content), line, "", 1)))
		fmt.Fprintf(&out, "without %s: %v\n", strings.TrimSpace(line), err)
		if strings.Contains(line, "\"") {
			continue
		}
		_, err = config.Parse([]byte(strings.Replace(string(content), line, name+" = -1\n", 1)))
		fmt.Fprintf(&out, "%s = -1: %v\n", name, err)
	}
	checkText(t, "settings_refused.txt", out.String())
}

// TestOperatorSettings checks that the operators' settings keep their names and are decoded to the same values.
func TestOperatorSettings(t *testing.T) {
	var out strings.Builder
	for _, file := range []string{
		"", "testdata/operator.xml", "../../deploy/cells.xml", "../../deploy/classes.xml", "../../deploy/zones.xml",
	} {
		settings, err := config.LoadOperator(file)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		w := tagWriter{format: "xml", everyField: file == "testdata/operator.xml"}
		w.write(t, "", reflect.ValueOf(*settings))
		fmt.Fprintf(&out, "file %q\n%s", file, w.out.String())
	}
	checkText(t, "operator.txt", out.String())
}
