package config

import (
	"errors"
	"strings"
	"testing"
)

// validSettings is a file that Parse accepts.
const validSettings = `
node_name = "n0"
area = "a"
listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"
of_later = 1
[[siblings]]
node_name = "n1"
area = "b"
endpoint = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
size = 2
zones = ["a", "b"]
time_bound_ms = 25.0
[[deployment.teams]]
name = "t"
gpus = 2.0
gpus_max = 4.0
[deployment.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 44.0
[deployment.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 32
[deployment.cloud]
rps = 10.0
list_lag_s = 10.0
[deployment.machine_limits]
cpu_share = 0.24
mem_mb = 179.0
max_sockets = 1200
`

func TestSettings(t *testing.T) {
	settings, err := Parse([]byte(validSettings))
	if err != nil || settings.Deployment.Teams[0].GPUsMax != 4 || settings.NodeNames()[1] != "n1" {
		t.Fatalf("unexpected settings %+v, error %v", settings, err)
	}
}

// TestMissingSettings: a file that lacks a required setting is rejected, and the error names the
// setting.
func TestMissingSettings(t *testing.T) {
	for _, test := range []struct {
		line string
		want string
	}{
		{line: `node_name = "n0"`, want: "node_name"},
		{line: `listen = "10.0.0.1:8080"`, want: "listen"},
		{line: `state = "10.2.0.1:2379"`, want: "outside.state"},
		{line: `size = 2`, want: "deployment.size"},
		{line: `cancel_s = 44.0`, want: "cancel_s"},
		{line: `rps = 200.0`, want: "state.rps"},
		{line: `mem_mb = 179.0`, want: "mem_mb"},
		{line: `zones = ["a", "b"]`, want: "area"},
		{line: `area = "b"`, want: "siblings[0].area"},
		{line: `value_kb = 16.0`, want: "value_kb"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, test.line, "", 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("without %s: no error, or one that does not name the setting: %v", test.line, err)
		}
	}
}

// TestManyFaultsInOneLine: all faults of a file are reported together, in a message of one line.
func TestManyFaultsInOneLine(t *testing.T) {
	_, err := Parse([]byte(`node_name = "a"`))
	if err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatalf("error %v, want one of a single line", err)
	}
	var invalid *ValidationError
	if !errors.As(err, &invalid) || len(invalid.Faults) < 2 {
		t.Errorf("%v is no ValidationError of several faults", err)
	}
	var outOfRange *RangeError
	if !errors.As(err, &outOfRange) || outOfRange.Setting != "deployment.size" {
		t.Errorf("%v: the first RangeError is %v", err, outOfRange)
	}
}

// TestInvalidSettings: a value out of range or a repeated name is rejected, and the error names
// the setting.
func TestInvalidSettings(t *testing.T) {
	for _, test := range []struct {
		line        string
		replacement string
		want        string
	}{
		{line: "cancel_s = 44.0", replacement: "cancel_s = 20.0", want: "cancel_s"},
		{line: "write_rps = 80.0", replacement: "write_rps = nan", want: "write_rps"},
		{line: "value_kb = 16.0", replacement: "value_kb = 4.0", want: "value_kb"},
		{line: "txn_ops = 32", replacement: "txn_ops = 3", want: "txn_ops"},
		{line: `node_name = "n1"`, replacement: `node_name = "n0"`, want: "node_name"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, test.line, test.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: no error, or one that does not name the setting: %v", test.replacement, err)
		}
	}
}

// TestUpcomingLimits: upcoming limits of the key-value store are optional, may be lower than the
// minimum of the current limits, and are validated.
func TestUpcomingLimits(t *testing.T) {
	with := func(next string) (*Settings, error) {
		return Parse([]byte(strings.Replace(validSettings, "[deployment.cloud]", next+"\n[deployment.cloud]", 1)))
	}
	for _, test := range []struct {
		name string
		next string
		want KVLimits
	}{
		{
			name: "no upcoming limits",
			want: KVLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32},
		},
		{
			name: "lower upcoming limits",
			next: "[deployment.state.next]\nwrite_rps = 56.0\nvalue_kb = 2.0\ntxn_ops = 10",
			want: KVLimits{RPS: 200, WriteRPS: 56, ValueKB: 2, TxnOps: 10},
		},
		{
			name: "higher planned limit",
			next: "[deployment.state.next]\nvalue_kb = 64.0",
			want: KVLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32},
		},
	} {
		settings, err := with(test.next)
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
		} else if got := settings.UpcomingKVLimits(); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
	for _, invalid := range []string{"value_kb = 0.1", "txn_ops = 1", "write_rps = nan", "rps = -1.0"} {
		_, err := with("[deployment.state.next]\n" + invalid)
		if err == nil || !strings.Contains(err.Error(), "state.next") {
			t.Errorf("%s: no error, or one that does not name state.next: %v", invalid, err)
		}
	}
}
