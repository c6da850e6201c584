package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// countLateRegistrations sets the key-value store's OnWrite so that it increments count whenever the registration of a
// controller is written after the end of the fault that delays writes (FakeKV.DelayWrites).
func (r *Region) countLateRegistrations(node string, count *int) {
	r.KV.mu.Lock()
	defer r.KV.mu.Unlock()
	r.KV.OnWrite = func(key string, _ wire.RawValue) {
		late := &r.KV.faults.lateWrites
		if key == record.NodeKey(node) && late.random != nil && !time.Now().Before(late.until) {
			*count++
		}
	}
}

// checkRegistered fails the test if the first controller is not registered, or if its shard belongs to another
// process.
func (r *Region) checkRegistered(t *testing.T, seed uint64) {
	t.Helper()
	var session record.Node
	var shard record.Shard
	rows := r.KV.Snapshot()
	row, registered := rows[record.NodeKey(firstController)]
	if registered {
		_ = wire.Decode(row.Value, &session)
	}
	_ = wire.Decode(rows[record.ShardKey(0)].Value, &shard)
	if !registered || shard.Owner != firstController || shard.OwnerIncarnation != session.Incarnation {
		t.Errorf("seed %d: registered %v (%+v), its shard is %+v", seed, registered, session, shard)
	}
}

// TestSessionSurvivesLateRegistration starts a process that registers its session, kills it before the response, and
// starts another one within a second. The first registration is applied after the second one and replaces it in the
// key-value store; it is deleted with the first process's lease. The second process must register again: if it relied
// on its replaced registration, it would never own a shard again.
func TestSessionSurvivesLateRegistration(t *testing.T) {
	const registrations = 25
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := threeControllerRegion(ctx, 2, 9)
		time.Sleep(20 * time.Second)
		late := 0
		r.countLateRegistrations(firstController, &late)
		for seed := range uint64(registrations) {
			r.KillController(0)
			r.KV.DelayWrites(1, time.Now().Add(300*time.Millisecond), seed)
			r.StartController(ctx, 0)
			time.Sleep(350 * time.Millisecond)
			r.KillController(0)
			r.StartController(ctx, 0)
			time.Sleep(25 * time.Second)
			r.checkRegistered(t, seed)
		}
		if late < registrations {
			t.Errorf("only %d late registrations", late)
		}
		r.end(cancel)
	})
}
