package member

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// region is one view that several nodes share.
func region(nodes int) (*world.World, []*Member) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w := world.New(nodes, log)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	var out []*Member
	for _, n := range names {
		c := store.NewClient("127.0.0.1:1", store.Limits{RPS: 100, WriteRPS: 50, TxnOps: 8}, nil)
		cache := store.NewCache(c, world.Root, w, log)
		out = append(out, New(n, 1, names, tuning.Level, c, store.NewCommitter(c, func([]wire.Op, uint64) {}), cache, w, log))
	}
	return w, out
}

// TestSharesStayWithinTheBudget: whoever lives and owns what, the nodes' shares
// of the state service's budget never add up to more than is planned, and one
// that is alone with all parts has all of it.
func TestSharesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "nodes")
		w, members := region(n)
		live := rapid.IntRange(1, n).Draw(t, "live")
		for i := range live {
			w.Nodes[members[i].Self] = world.Node{NodeRecord: world.NodeRecord{Inc: 1}}
		}
		for p := world.Leader; p < n; p++ {
			if o := rapid.IntRange(-1, live-1).Draw(t, "owner"); o >= 0 || live == 1 {
				w.Parts[p] = world.Part{PartRecord: world.PartRecord{Owner: members[max(o, 0)].Self, Inc: 1, Token: 1}}
			}
		}
		sum := 0.0
		for _, m := range members[:live] {
			sum += m.share()
		}
		if sum > tuning.StateShare+1e-9 || live == 1 && sum < tuning.StateShare-1e-9 {
			t.Errorf("shares add up to %v of %v with %d of %d nodes", sum, tuning.StateShare, live, n)
		}
	})
}

func first(c []claim, _ int) []claim { return c }

// TestTokensSayThatCancellationsAreToldLate: tokens only grow, and are above the mark once
// the level is active, never before: on it a process without a view renews leases. An
// owner whose token is below it raises its own, one part at a time.
func TestTokensSayThatCancellationsAreToldLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token, level := rapid.Uint64Range(0, 1000).Draw(t, "token"), 0
		for range 20 {
			level = max(level, rapid.IntRange(0, tuning.Level).Draw(t, "level"))
			next := nextToken(token, level)
			if next <= token || (next >= tuning.CertainToken) != (level >= tuning.LevelCertain) {
				t.Fatalf("%d after %d at level %d", next, token, level)
			}
			token = next
		}
	})
	w, members := region(3)
	m := members[1]
	w.Nodes[m.Self] = world.Node{NodeRecord: world.NodeRecord{Inc: 1}, Stamp: 5}
	for p := world.Leader; p < 3; p++ {
		w.Parts[p] = world.Part{PartRecord: world.PartRecord{Owner: m.Self, Inc: 1, Token: tuning.CertainToken + 4}, Stamp: 3}
	}
	w.Parts[2] = world.Part{PartRecord: world.PartRecord{Owner: m.Self, Inc: 1, Token: 4}, Stamp: 3}
	w.Parts[world.Leader] = world.Part{PartRecord: world.PartRecord{Owner: m.Self, Inc: 1, Token: 4}, Stamp: 3}
	for level, want := range map[int]int{0: world.Leader, tuning.LevelCertain: 2} {
		w.Level = level
		if _, part := m.claims(); part != want {
			t.Errorf("level %d: part %d is raised, want %d", level, part, want)
		}
	}
}

// TestOnePartHasOneOwner: of all nodes that claim a part at once, the records'
// guards let one through, and every change of owner raises the token.
func TestOnePartHasOneOwner(t *testing.T) {
	w, members := region(3)
	for _, m := range members {
		w.Nodes[m.Self] = world.Node{NodeRecord: world.NodeRecord{Inc: 1}, Stamp: 5}
	}
	w.Parts[0] = world.Part{PartRecord: world.PartRecord{Owner: members[0].Self, Inc: 9, Token: 4}, Stamp: 3}
	claimed := 0
	for _, m := range members {
		for _, c := range first(m.claims()) {
			if c.part != 0 {
				continue
			}
			claimed++
			if m != members[0] {
				t.Errorf("%s takes a part whose home is back at once", m.Self)
			}
			if c.rec.Token != 5 || c.item.Guards[0] != (wire.Condition{Key: world.PartKey(0), ModRevision: 3}) {
				t.Errorf("claim %+v with guards %v", c.rec, c.item.Guards)
			}
		}
	}
	if claimed != 1 {
		t.Errorf("%d claims", claimed)
	}
}
