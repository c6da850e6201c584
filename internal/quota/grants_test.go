package quota

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

const (
	testShards = 3
	testLimit  = 12.0 // GPUs
	testTeam   = "t"
)

// grantModel is three nodes with a shard each that share a team's limit.
type grantModel struct {
	state    *clusterstate.State
	managers []*GrantManager
	used     []float64 // GPUs by shard
	now      time.Time
	revision uint64
	inFlight []inFlightChange
}

// inFlightChange is a change that was sent and is not applied yet.
type inFlightChange struct {
	change   Change
	revision uint64 // of the team's record that it rests on
}

func newGrantModel() *grantModel {
	state := clusterstate.New(testShards, slog.New(slog.DiscardHandler))
	model := &grantModel{state: state, used: make([]float64, testShards), now: time.Unix(0, 0)}
	for range testShards {
		model.managers = append(model.managers, New([]config.Team{{Name: testTeam, GPUsMax: testLimit}}, state))
	}
	return model
}

// bind binds one more task in a shard, if its grant allows it.
func (m *grantModel) bind(shard int) {
	if m.managers[shard].Allows(shard, testTeam, record.Resources{GPUs: m.used[shard] + 2}) {
		m.used[shard] += 2
	}
}

// release ends a task of a shard.
func (m *grantModel) release(shard int) { m.used[shard] = max(0, m.used[shard]-2) }

// plan sends the changes that a shard's owner plans.
func (m *grantModel) plan(shard int) {
	usage := func(shard int, _ string) record.Resources { return record.Resources{GPUs: m.used[shard]} }
	for _, change := range m.managers[shard].PlanChanges(m.now, map[int]uint64{shard: 1}, usage) {
		m.inFlight = append(m.inFlight, inFlightChange{change, change.Transaction.Conditions[0].ModRevision})
	}
}

// settle applies one change in flight, or refuses it if the record has changed since.
func (m *grantModel) settle(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "flight")
	arriving := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	if m.state.Quotas[testTeam].ModRevision == arriving.revision {
		m.revision++
		m.state.BeginUpdate()
		m.state.Put(record.QuotaKey(testTeam), arriving.change.Transaction.Ops[0].Value, m.revision)
		m.state.EndUpdate()
	}
	arriving.change.Done()
}

// check checks that no shard uses more than its grant, and that the grants stay within the limit.
func (m *grantModel) check(t *rapid.T) {
	var stored record.Quota
	if err := wire.Decode(wire.MustEncode(m.state.Quotas[testTeam].Quota), &stored); err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for shard := range testShards {
		grant := stored.Grants[strconv.Itoa(shard)].GPUs
		sum += grant
		if m.used[shard] > grant {
			t.Fatalf("shard %d uses %v of %v", shard, m.used[shard], grant)
		}
	}
	if sum > testLimit {
		t.Fatalf("grants add up to %v of %v", sum, testLimit)
	}
}

// TestGrantsStayWithinLimit lets three shards raise and lower grants of one team in generated orders, with
// changes applied late or never. The grants must never exceed the limit, and no shard may use more than its
// grant.
func TestGrantsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newGrantModel()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			model.now = model.now.Add(700 * time.Millisecond)
			shard := rapid.IntRange(0, testShards-1).Draw(t, "shard")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				model.bind(shard)
			case 1:
				model.release(shard)
			case 2:
				model.plan(shard)
			case 3:
				model.settle(t)
			}
			model.check(t)
		}
	})
}
