package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/record"
)

// TestNewOwnerKeepsRunningMachines checks that a new owner of a shard gives the agents time to send a heartbeat before
// it deletes machines that "never came up". When a shard changes owner, the record of a running machine may not yet say
// that it is up. Without the delay, the new owners delete hundreds of running machines when two nodes have ended.
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
