// Package golden_test compares everything that leaves a process with recorded encodings: durable records, messages to
// agents, users, the key-value store, the cloud and other controllers, metrics, and the settings that are read. It
// contains only tests. A change to one of these encodings breaks nodes of another version, stored data or clients. Run
// the tests with -update only for an intended change.
package golden_test

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"sableusher/internal/wire"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// message is a value with the name of its encoding in a golden file.
type message struct {
	name  string
	value any
}

// checkText compares a text with a golden file. With -update it writes the file instead.
func checkText(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if g, w := lineAt(gotLines, i), lineAt(wantLines, i); g != w {
			t.Errorf("%s:%d:\n got %s\nwant %s", path, i+1, g, w)
		}
	}
}

// lineAt returns the line at an index, or a placeholder beyond the last line.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// readEncodings returns the encodings in a golden file by name.
func readEncodings(t *testing.T, file string) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	encodings := map[string][]byte{}
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, encodedHex, ok := strings.Cut(strings.TrimSpace(line), " ")
		if _, duplicate := encodings[name]; !ok || duplicate {
			t.Fatalf("%s: %q is not a name and its encoding, or is a duplicate", file, name)
		}
		if encodings[name], err = hex.DecodeString(encodedHex); err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
	}
	return encodings
}

// checkCBOR compares the encodings of messages with a golden file. The recorded encodings must also decode
// to the same values, and these must encode to the same bytes again.
func checkCBOR(t *testing.T, file string, messages []message) {
	t.Helper()
	var out strings.Builder
	for _, m := range messages {
		encoded, err := wire.Encode(m.value)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		text, err := cbor.Diagnose(encoded)
		if err != nil {
			t.Fatalf("%s: %v", m.name, err)
		}
		fmt.Fprintf(&out, "# %s, %d bytes as JSON\n%s %x\n", text, wire.JSONSize(encoded), m.name, encoded)
	}
	checkText(t, file, out.String())
	stored := readEncodings(t, file)
	if len(stored) != len(messages) {
		t.Errorf("%s holds %d encodings, want %d", file, len(stored), len(messages))
	}
	for _, m := range messages {
		decoded := reflect.New(reflect.TypeOf(m.value))
		if err := wire.Decode(stored[m.name], decoded.Interface()); err != nil {
			t.Errorf("%s: %v", m.name, err)
			continue
		}
		// A missing wire.RawValue is encoded, and therefore decoded, as null, so empty messages may differ.
		isEmpty := strings.HasSuffix(m.name, "/empty")
		if !isEmpty && !reflect.DeepEqual(decoded.Elem().Interface(), m.value) {
			t.Errorf("%s: %+v was decoded as %+v", m.name, m.value, decoded.Elem().Interface())
		}
		if reencoded := wire.MustEncode(decoded.Elem().Interface()); !reflect.DeepEqual(
			[]byte(reencoded), stored[m.name],
		) {
			t.Errorf("%s: decoded and encoded again:\n got %x\nwant %x", m.name, reencoded, stored[m.name])
		}
	}
}
