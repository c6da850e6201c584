package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestSessionOutlivesALateOne: a process registers its session, ends before the answer, and is
// back within a second. The first registration is carried out after the second one and takes its place
// in the records; with the first process's hold it is dropped again. Once the second process
// went on believing itself registered and never owned anything again.
func TestSessionSurvivesLateRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := newThreeControllerRegion(ctx, testSettings, 2, 9, testLogger())
		time.Sleep(20 * time.Second)
		replaced := 0
		r.KV.mu.Lock()
		r.KV.OnWrite = func(key string, _ wire.RawValue) {
			if key == record.NodeKey("node-0") && r.KV.lateWrites.random != nil && !time.Now().Before(r.KV.lateWrites.until) {
				replaced++
			}
		}
		r.KV.mu.Unlock()
		for seed := range uint64(25) {
			r.KillController(0)
			r.KV.DelayWrites(1, time.Now().Add(300*time.Millisecond), seed)
			r.StartController(0)
			time.Sleep(350 * time.Millisecond)
			r.KillController(0)
			r.StartController(0)
			time.Sleep(25 * time.Second)
			rows := r.KV.Snapshot()
			var node record.Node
			var home record.Shard
			row, there := rows[record.NodeKey("node-0")]
			if there {
				_ = wire.Decode(row.Value, &node)
			}
			_ = wire.Decode(rows[record.ShardKey(0)].Value, &home)
			if !there || home.Owner != "node-0" || home.OwnerIncarnation != node.Incarnation {
				t.Errorf("seed %d: session there %v (%+v), its part is %+v", seed, there, node, home)
			}
		}
		if replaced < 25 {
			t.Errorf("only %d registrations", replaced)
		}
		cancel()
		r.Wait()
		time.Sleep(3 * time.Minute)
	})
}
