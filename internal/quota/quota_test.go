package quota

import (
	"io"
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

// TestGrantsStayWithinLimit lets three parts raise and release grants of one
// team in generated orders, with changes applied late or never. The grants must
// never exceed the limit, and no part may use more than its grant.
func TestGrantsStayWithinLimit(t *testing.T) {
	const parts, limit = 3, 12.0
	rapid.Check(t, func(t *rapid.T) {
		state := clusterstate.New(parts, slog.New(slog.NewTextHandler(io.Discard, nil)))
		var managers []*GrantManager
		for range parts {
			managers = append(managers, New([]config.Team{{Name: "t", GPUsMax: limit}}, state))
		}
		used := make([]float64, parts)
		now := time.Unix(0, 0)
		revision := uint64(0)
		type flight struct {
			change Change
			stamp  uint64
		}
		var flights []flight
		key := record.QuotaKey("t")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(700 * time.Millisecond)
			shard := rapid.IntRange(0, parts-1).Draw(t, "part")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // bind one more task, if the grant allows
				if managers[shard].Allows(shard, "t", record.Resources{GPUs: used[shard] + 2}) {
					used[shard] += 2
				}
			case 1:
				used[shard] = max(0, used[shard]-2)
			case 2:
				usage := func(part int, _ string) record.Resources { return record.Resources{GPUs: used[part]} }
				for _, change := range managers[shard].PlanChanges(now, map[int]uint64{shard: 1}, usage) {
					flights = append(flights, flight{change, change.Transaction.Conditions[0].ModRevision})
				}
			case 3: // one change arrives, or is refused
				if len(flights) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				arriving := flights[i]
				flights = append(flights[:i], flights[i+1:]...)
				if state.Quotas["t"].ModRevision == arriving.stamp {
					revision++
					state.BeginUpdate()
					state.Put(key, arriving.change.Transaction.Ops[0].Value, revision)
					state.EndUpdate()
				}
				arriving.change.Done()
			}
			sum := 0.0
			var quotaRecord record.Quota
			_ = wire.Decode(wire.MustEncode(state.Quotas["t"].Quota), &quotaRecord)
			for shard := range parts {
				grant := quotaRecord.Grants[strconv.Itoa(shard)].GPUs
				sum += grant
				if used[shard] > grant {
					t.Fatalf("part %d uses %v of %v", shard, used[shard], grant)
				}
			}
			if sum > limit {
				t.Fatalf("grants add up to %v of %v", sum, limit)
			}
		}
	})
}
