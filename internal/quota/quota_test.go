package quota

import (
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// TestGrantsStayWithinLimit lets three parts raise and release grants of one
// team in generated orders, with changes applied late or never. The grants must
// never exceed the limit, and no part may use more than its grant.
func TestGrantsStayWithinLimit(t *testing.T) {
	const parts, limit = 3, 12.0
	rapid.Check(t, func(t *rapid.T) {
		w := world.New(parts, slog.New(slog.NewTextHandler(io.Discard, nil)))
		var keepers []*Keeper
		for range parts {
			keepers = append(keepers, New([]config.Team{{Name: "t", GPUsMax: limit}}, w))
		}
		used := make([]float64, parts)
		now := time.Unix(0, 0)
		rev := uint64(0)
		type flight struct {
			c     Change
			stamp uint64
		}
		var flights []flight
		key := world.QuotaKey("t")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(700 * time.Millisecond)
			p := rapid.IntRange(0, parts-1).Draw(t, "part")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // bind one more task, if the grant allows
				if keepers[p].Allowed(p, "t", world.Resources{GPUs: used[p] + 2}) {
					used[p] += 2
				}
			case 1:
				used[p] = max(0, used[p]-2)
			case 2:
				use := func(part int, _ string) world.Resources { return world.Resources{GPUs: used[part]} }
				for _, c := range keepers[p].Review(now, map[int]uint64{p: 1}, use) {
					flights = append(flights, flight{c, c.Item.Conditions[0].ModRevision})
				}
			case 3: // one change arrives, or is refused
				if len(flights) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				f := flights[i]
				flights = append(flights[:i], flights[i+1:]...)
				if w.Quotas["t"].ModRevision == f.stamp {
					rev++
					w.BeginUpdate()
					w.Put(key, f.c.Item.Ops[0].Value, rev)
					w.EndUpdate()
				}
				f.c.Done()
			}
			sum := 0.0
			var rec world.QuotaRecord
			_ = wire.Decode(wire.MustEncode(w.Quotas["t"].QuotaRecord), &rec)
			for p := range parts {
				g := rec.Grants[strconv.Itoa(p)].GPUs
				sum += g
				if used[p] > g {
					t.Fatalf("part %d uses %v of %v", p, used[p], g)
				}
			}
			if sum > limit {
				t.Fatalf("grants add up to %v of %v", sum, limit)
			}
		}
	})
}
