package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/quota"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestGuaranteeOnArrivalIsKept checks that a job that lay within its team's guarantee on arrival stays within it when
// smaller jobs arrive later, and that the jobs within the guarantee never need more than it.
func TestGuaranteeOnArrivalIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(nil)
		engine := cluster.engines[0]
		guarantee := float64(rapid.IntRange(10, 200).Draw(t, "guarantee"))
		engine.quota = quota.New([]config.Team{{Name: "t", GPUs: guarantee}}, cluster.cluster)
		guaranteedOnArrival := map[string]bool{}
		now := testNow
		for i := range rapid.IntRange(2, 25).Draw(t, "jobs") {
			spec := arraySpec(i, rapid.IntRange(1, 90).Draw(t, "tasks"))
			spec.Team, spec.Class, spec.RuntimeEstimateSeconds = "t", "c", 30
			now = now.Add(time.Second)
			cluster.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: now.UnixMilli()})
			c := updateGuaranteesUnderShortage(engine, now)
			checkGuarantees(t, c, guarantee, guaranteedOnArrival)
			if c.order.guarantees.onArrival[spec.ID] {
				guaranteedOnArrival[spec.ID] = true
			}
		}
		if len(guaranteedOnArrival) == 0 && guarantee >= 90 {
			t.Fatal("nothing was ever guaranteed")
		}
	})
}

// updateGuaranteesUnderShortage updates the guarantees in a new cycle in which capacity is short at all priorities.
func updateGuaranteesUnderShortage(engine *Engine, now time.Time) *cycle {
	engine.cluster.RLock()
	defer engine.cluster.RUnlock()
	c := engine.newCycle(now)
	c.inventory = c.refreshInventory()
	c.order.objectives.capacityShort = [wire.PriorityCount]bool{true, true, true, true}
	c.updateGuarantees()
	return c
}

// checkGuarantees checks that the jobs within the guarantee don't exceed it and include all that lay within it on
// arrival.
func checkGuarantees(t *rapid.T, c *cycle, guarantee float64, guaranteedOnArrival map[string]bool) {
	sum := 0.0
	for id := range c.order.guarantees.jobs {
		sum += float64(c.cluster.Jobs[id].Spec.TaskCount)
	}
	if sum > guarantee+1e-9 {
		t.Fatalf("%v GPUs within a guarantee of %v", sum, guarantee)
	}
	for id := range guaranteedOnArrival {
		if !c.order.guarantees.jobs[id] {
			t.Fatalf("%s is no longer within the guarantee", id)
		}
	}
}
