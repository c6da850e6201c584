package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/record"
)

// TestNewOwnerKeepsRunningMachines: whether a machine came up may not stand in its record yet when its shard changes
// owner; the new owner must give its agent time for a heartbeat before it deletes what "never came up". It once deleted
// hundreds of running machines after two controllers had ended.
func TestNewOwnerKeepsRunningMachines(t *testing.T) {
	const machines = 40
	fixture := newTestCluster(t)
	for i := range machines {
		machine := record.Machine{Type: testType.Name, Zone: "east", CreatedAtMs: 1}
		fixture.put(record.MachineKey(fmt.Sprintf("vm-%06d", i)), machine)
	}
	for _, owned := range []time.Duration{time.Second, time.Hour} {
		deleted := 0
		for i := range fixture.engines {
			c := fixture.inCycle(i, func(c *cycle) {
				for shard := range c.shards.fencingTokens {
					c.shardTenure[shard] = testNow.Add(-owned)
				}
				c.deleteFailedMachines()
			})
			deleted += len(c.outgoing)
		}
		if want := map[time.Duration]int{time.Hour: machines}[owned]; deleted != want {
			t.Errorf("owned for %v: %d machines deleted, want %d", owned, deleted, want)
		}
	}
}
