package record_test

import (
	"encoding/hex"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"

	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// The record types as they were before schema version 1. They are frozen and must not
// change with the code. Until all nodes read a newer version, every record must survive
// decoding and encoding with these types, because older nodes rewrite records they read.
type (
	oldSpec struct {
		ID          string   `cbor:"id"`
		Class       string   `cbor:"lot"`
		Team        string   `cbor:"crew"`
		Kind        string   `cbor:"rig"`
		Priority    string   `cbor:"precedence"`
		Tasks       int      `cbor:"hauls"`
		CPUs        float64  `cbor:"vcpus"`
		GPUs        float64  `cbor:"cards"`
		MemoryGB    float64  `cbor:"memory_gb"`
		Image       string   `cbor:"tackle"`
		ImageGB     float64  `cbor:"size_gb"`
		Types       []string `cbor:"hulls,omitempty"`
		Zone        string   `cbor:"harbor,omitempty"`
		OneZone     bool     `cbor:"same_place"`
		Spread      bool     `cbor:"spread"`
		Spot        bool     `cbor:"standby"`
		EstimateS   float64  `cbor:"reckon_s"`
		CheckpointS float64  `cbor:"landfall_s"`
		SaveS       float64  `cbor:"stow_s"`
		DeadlineS   float64  `cbor:"cutoff_s,omitempty"`
	}
	oldTask struct {
		_       struct{} `cbor:",toarray"`
		Index   int
		State   int
		Attempt uint64
		Machine string
		Session uint64
		Charge  int
	}
	oldJob struct {
		Spec     oldSpec   `cbor:"s"`
		AtMs     int64     `cbor:"t"`
		CancelMs int64     `cbor:"x,omitempty"`
		Yield    uint64    `cbor:"y,omitempty"`
		Tasks    []oldTask `cbor:"k,omitempty"`
	}
	oldChunk struct {
		Tasks []oldTask `cbor:"k"`
	}
	oldMachine struct {
		Type    string `cbor:"h"`
		Zone    string `cbor:"z"`
		Spot    bool   `cbor:"o"`
		Address string `cbor:"a,omitempty"`
		AtMs    int64  `cbor:"t"`
		Up      bool   `cbor:"u,omitempty"`
		Session uint64 `cbor:"s,omitempty"`
		Drain   bool   `cbor:"d,omitempty"`
		Gone    bool   `cbor:"g,omitempty"`
	}
	oldShard struct {
		Owner string `cbor:"o"`
		Inc   uint64 `cbor:"i"`
		Token uint64 `cbor:"e"`
		Given bool   `cbor:"g,omitempty"`
		Touch uint64 `cbor:"c,omitempty"`
	}
	oldNode struct {
		Inc uint64 `cbor:"i"`
	}
	oldAmount struct {
		CPUs float64 `cbor:"c"`
		GPUs float64 `cbor:"g"`
		Mem  float64 `cbor:"m,omitempty"`
	}
	oldQuota struct {
		Grants map[string]oldAmount `cbor:"g"`
	}
	oldRental struct {
		Type     string   `cbor:"h"`
		Zone     string   `cbor:"z"`
		Spot     bool     `cbor:"o"`
		Count    int      `cbor:"n"`
		AtMs     int64    `cbor:"t"`
		Machines []string `cbor:"m,omitempty"`
	}
	oldFinal struct {
		Status string `cbor:"s"`
		Tasks  int    `cbor:"n"`
		Done   int    `cbor:"d"`
		AtMs   int64  `cbor:"t"`
	}
	oldMachineType struct {
		Name      string   `cbor:"sku"`
		CPUs      float64  `cbor:"vcpus"`
		GPUs      float64  `cbor:"cards"`
		MemoryGB  float64  `cbor:"memory_gb"`
		CacheGB   float64  `cbor:"cache_gb"`
		FetchGBps float64  `cbor:"fetch_gb_per_s"`
		Price     float64  `cbor:"rate"`
		SpotPrice float64  `cbor:"market_price"`
		BootS     float64  `cbor:"boot_s"`
		Zones     []string `cbor:"harbors"`
	}
	oldCatalog struct {
		Types []oldMachineType `cbor:"hulls"`
	}
	oldLearnerCheckpoint struct {
		Form    int                  `cbor:"f"`
		Weights []float64            `cbor:"w"`
		Paid    int                  `cbor:"p"`
		Runs    map[string][]float64 `cbor:"r"`
		Ratios  map[string][]float64 `cbor:"q"`
	}
)

// readFixture returns encoded records of schema version 0, by name.
func readFixture(t *testing.T) map[string][]byte {
	t.Helper()
	fixture, err := os.ReadFile("testdata/schemaversion0.txt")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string][]byte{}
	for line := range strings.Lines(string(fixture)) {
		name, code, _ := strings.Cut(strings.TrimSpace(line), " ")
		if records[name], err = hex.DecodeString(code); err != nil {
			t.Fatal(err)
		}
	}
	return records
}

// checkRoundTrip decodes an old record into the old and into the current type, encodes the current value and decodes
// the result into the old type again. Both values of the old type must be equal and not zero.
func checkRoundTrip[Old, New any](t *testing.T, name string, encoded []byte) {
	t.Helper()
	var before, after Old
	var current New
	for _, err := range []error{
		wire.Decode(encoded, &before),
		wire.Decode(encoded, &current),
		wire.Decode(wire.MustEncode(current), &after),
	} {
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if reflect.ValueOf(before).IsZero() || !reflect.DeepEqual(before, after) {
		t.Errorf("%s: %+v became %+v", name, before, after)
	}
}

// TestOldRecordsRoundTrip checks that each kind of record survives the conversion from schema version 0 to the current
// one and back.
func TestOldRecordsRoundTrip(t *testing.T) {
	records := readFixture(t)
	checkRoundTrip[oldJob, record.Job](t, "job", records["job"])
	checkRoundTrip[oldJob, record.Job](t, "job-cancelled", records["job-cancelled"])
	checkRoundTrip[oldChunk, record.FixedChunk](t, "chunk", records["chunk"])
	checkRoundTrip[oldMachine, record.Machine](t, "machine", records["machine"])
	checkRoundTrip[oldShard, record.Shard](t, "part", records["part"])
	checkRoundTrip[oldNode, record.Node](t, "node", records["node"])
	checkRoundTrip[oldQuota, record.Quota](t, "quota", records["quota"])
	checkRoundTrip[oldRental, record.Rental](t, "rental", records["rental"])
	checkRoundTrip[oldFinal, record.Final](t, "final", records["final"])
	checkRoundTrip[oldCatalog, wire.Catalog](t, "catalog", records["catalog"])
	checkRoundTrip[oldLearnerCheckpoint, learner.Checkpoint](t, "learned", records["learned"])

	// A node that knows no schema versions must be able to read a session with one.
	var node oldNode
	encoded := wire.MustEncode(record.Node{Incarnation: 77, SchemaVersion: 3})
	if err := wire.Decode(encoded, &node); err != nil || node.Inc != 77 {
		t.Errorf("session with a schema version: %+v, %v", node, err)
	}
}

// TestOldJobKeepsItsLayout checks that a job of schema version 0 that was not migrated is written again under the same
// key and in the same layout, so that older nodes can read it.
func TestOldJobKeepsItsLayout(t *testing.T) {
	encoded := readFixture(t)["job"]
	state := clusterstate.New(3, slog.New(slog.DiscardHandler))
	state.BeginUpdate()
	state.Put(record.JobKey("run-000412"), encoded, 9)
	state.EndUpdate()
	op := state.Jobs["run-000412"].EncodeChunk(0, map[int]record.Task{
		2: {Index: 2, State: record.TaskBound, Attempt: 1, Machine: "vm-5", Session: 1},
	})
	var before, after oldJob
	if err := wire.Decode(encoded, &before); err != nil {
		t.Fatal(err)
	}
	if err := wire.Decode(op.Value, &after); err != nil || op.PutKey != "s/j/run-000412" {
		t.Fatalf("%s: %v", op.PutKey, err)
	}
	want := oldTask{Index: 2, State: 1, Attempt: 1, Machine: "vm-5", Session: 1}
	sameSpec := reflect.DeepEqual(after.Spec, before.Spec)
	if len(after.Tasks) != len(before.Tasks)+1 || after.Tasks[2] != want || !sameSpec {
		t.Errorf("%+v became %+v", before, after)
	}
}

// TestNewKeysAreUnknownToOldNodes checks that new kinds of records have keys that older nodes do not read as records of
// a kind they know.
func TestNewKeysAreUnknownToOldNodes(t *testing.T) {
	for _, key := range []string{
		record.SchemaVersionKey, record.GroupedChunkKey("run-000412", 1), record.MachineTypeKey("g8"),
	} {
		for _, known := range []string{"s/j/", "s/t/", "s/m/", "s/p/", "s/n/", "s/q/", "s/r/", "f/", "l/"} {
			if strings.HasPrefix(key, known) || key == "s/catalog" {
				t.Errorf("an older node would read %s as another kind of record", key)
			}
		}
	}
}
