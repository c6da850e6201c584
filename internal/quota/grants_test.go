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

// grantModel simulates three nodes that own one shard each and share a team's limit.
type grantModel struct {
	state    *clusterstate.State
	managers []*GrantManager
	used     []float64 // GPUs in use, by shard
	now      time.Time
	revision uint64
	inFlight []inFlightChange
}

// inFlightChange is a change that has been sent and neither applied nor rejected yet.
type inFlightChange struct {
	change   Change
	revision uint64 // revision of the team's record that the change is conditional on
}

func newGrantModel() *grantModel {
	state := clusterstate.New(testShards, slog.New(slog.DiscardHandler))
	model := &grantModel{state: state, used: make([]float64, testShards), now: time.Unix(0, 0)}
	for range testShards {
		model.managers = append(model.managers, New([]config.Team{{Name: testTeam, GPUsMax: testLimit}}, state))
	}
	return model
}

// bind binds one more task of 2 GPUs in a shard if its grant allows that.
func (m *grantModel) bind(shard int) {
	if m.managers[shard].Allows(shard, testTeam, record.Resources{GPUs: m.used[shard] + 2}) {
		m.used[shard] += 2
	}
}

// release ends a task of 2 GPUs of a shard, if there is one.
func (m *grantModel) release(shard int) { m.used[shard] = max(0, m.used[shard]-2) }

// plan adds the changes that the owner of a shard plans to the changes in flight.
func (m *grantModel) plan(shard int) {
	usage := func(shard int, _ string) record.Resources { return record.Resources{GPUs: m.used[shard]} }
	for _, change := range m.managers[shard].PlanChanges(m.now, map[int]uint64{shard: 1}, usage) {
		m.inFlight = append(m.inFlight, inFlightChange{change, change.Transaction.Conditions[0].ModRevision})
	}
}

// completeOne completes one change in flight: it applies the change, or rejects it if the team's record has
// changed since it was planned.
func (m *grantModel) completeOne(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "flight")
	completed := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	if m.state.Quotas[testTeam].ModRevision == completed.revision {
		m.revision++
		m.state.BeginUpdate()
		m.state.Put(record.QuotaKey(testTeam), completed.change.Transaction.Ops[0].Value, m.revision)
		m.state.EndUpdate()
	}
	completed.change.Done()
}

// check checks that no shard uses more than its grant, and that the sum of the grants is within the limit.
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
			t.Fatalf("shard %d uses %v GPUs with a grant of %v", shard, m.used[shard], grant)
		}
	}
	if sum > testLimit {
		t.Fatalf("grants add up to %v GPUs with a limit of %v", sum, testLimit)
	}
}

// TestGrantsStayWithinLimit lets three shards raise and lower the grants of one team in random order, with
// changes that complete late or never. The sum of the grants must never exceed the limit, and no shard may
// use more than its grant.
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
				model.completeOne(t)
			}
			model.check(t)
		}
	})
}
