package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/record"
)

// TestNewOwnerSparesRunningMachines: whether a machine came up may not stand in
// its record yet when its part changes owner; the new owner must give its worker
// time to report before it deletes what "never came up". It once deleted
// hundreds of running machines after two controllers had ended.
func TestNewOwnerKeepsRunningMachines(t *testing.T) {
	fixture := newTestCluster(t)
	for i := range 40 {
		fixture.put(record.MachineKey(fmt.Sprintf("vm-%06d", i)), record.Machine{Type: "m", Zone: "east", CreatedAtMs: 1})
	}
	for _, owned := range []time.Duration{time.Second, time.Hour} {
		deleted := 0
		for _, engine := range fixture.engines {
			fixture.cluster.RLock()
			c := engine.newCycle(testNow)
			for p := range c.shards.fencingTokens {
				engine.shardTenure[p] = testNow.Add(-owned)
			}
			c.deleteFailedMachines()
			fixture.cluster.RUnlock()
			deleted += len(c.outgoing)
		}
		if want := map[time.Duration]int{time.Hour: 40}[owned]; deleted != want {
			t.Errorf("owned for %v: %d machines deleted, want %d", owned, deleted, want)
		}
	}
}
