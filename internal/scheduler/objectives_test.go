package scheduler

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/quota"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestWhoIsLateHoldsNobodyUp: arrays of all sizes wait behind a fleet that is in use, some of
// them past all aims. In the queue nothing that can't be in time stands before what can, and
// where not all can be, nothing before what is of a smaller class; where all can be, size
// counts for nothing. In a burst the oldest, past all aims, once kept 0.69 of the others from
// their deadlines.
func TestLateJobsDoNotDelayOthers(t *testing.T) {
	short, ample := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		engine := fixture.engines[0]
		engine.settings.Deployment.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 80, Share: 0.99}, {Kind: "finished", Class: "c", WithinS: 200, Share: 0.99}}
		machines := rapid.IntRange(1, 30).Draw(t, "machines")
		for i := range machines {
			name := fixture.addMachine(i, true)
			fixture.addJob(arraySpec(5000+i, 4), record.Task{State: record.TaskBound, Attempt: 1, Machine: name, Session: 1})
		}
		for i := range rapid.IntRange(2, 40).Draw(t, "jobs") {
			spec := arraySpec(i, rapid.IntRange(1, 180).Draw(t, "tasks"))
			spec.Team, spec.Class, spec.RuntimeEstimateSeconds = "t", "c", float64(rapid.IntRange(5, 90).Draw(t, "run"))
			at := testNow.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Second)
			fixture.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: at.UnixMilli()})
		}
		fixture.cluster.RLock()
		defer fixture.cluster.RUnlock()
		c := engine.newCycle(testNow.Add(time.Duration(rapid.IntRange(0, tuning.FloorTurns-1).Draw(t, "second")) * time.Second))
		c.inventory = c.refreshInventory()
		queue := c.buildQueue(true)
		for i, queued := range queue {
			_, slack := c.firstReachable(c.objectiveTimes(queued.job), c.predictedRunTime(queued.job))
			floor := c.hasOverdueTurn(queued.job)
			if floor && (queued.key.MissesObjectives || queued.key.SizeClass != -1) {
				t.Fatalf("%v has its turn and stands behind", queued.key)
			}
			if c.nearLastObjective(queued.job) && queued.key.SizeClass != -1 {
				t.Fatalf("%v has its last call and stands behind", queued.key)
			}
			if slack < 0 && !queued.key.MissesObjectives && !floor {
				t.Fatalf("%v is past all aims and not late", queued.key)
			}
			if i == 0 {
				continue
			}
			before := queue[i-1].key
			if before.MissesObjectives && !queued.key.MissesObjectives || before.MissesObjectives == queued.key.MissesObjectives && before.SizeClass > queued.key.SizeClass {
				t.Fatalf("%v stands before %v", before, queued.key)
			}
		}
		for _, queued := range queue {
			if (queued.key.SizeClass != 0) != c.capacityShort[queued.rank] {
				t.Fatalf("%v though short is %v", queued.key, c.capacityShort)
			}
		}
		if c.capacityShort[queue[0].rank] {
			short++
		} else {
			ample++
		}
	})
	if short == 0 || ample == 0 {
		t.Errorf("room was short %d times, ample %d times", short, ample)
	}
}

// TestPromisesAreKept: what lay within its team's guarantee when it came keeps it, whatever
// comes later and is smaller; and what a team is assured never sums to more than it is guaranteed.
func TestGuaranteesGivenAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		engine := fixture.engines[0]
		guarantee := float64(rapid.IntRange(10, 200).Draw(t, "guarantee"))
		engine.quota = quota.New([]config.Team{{Name: "t", GPUs: guarantee}}, fixture.cluster)
		kept := map[string]bool{}
		now := testNow
		for i := range rapid.IntRange(2, 25).Draw(t, "jobs") {
			spec := arraySpec(i, rapid.IntRange(1, 90).Draw(t, "tasks"))
			spec.Team, spec.Class, spec.RuntimeEstimateSeconds = "t", "c", 30
			now = now.Add(time.Second)
			fixture.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: now.UnixMilli()})
			fixture.cluster.RLock()
			c := engine.newCycle(now)
			c.inventory = c.refreshInventory()
			c.capacityShort = [4]bool{true, true, true, true}
			c.updateGuarantees()
			sum := 0.0
			for id := range c.withinGuarantee {
				sum += float64(c.cluster.Jobs[id].Spec.TaskCount)
			}
			if sum > guarantee+1e-9 {
				t.Fatalf("%v GPUs assured of %v", sum, guarantee)
			}
			for id := range kept {
				if !c.withinGuarantee[id] {
					t.Fatalf("%s has lost what was promised", id)
				}
			}
			if c.guaranteedOnArrival[spec.ID] {
				kept[spec.ID] = true
			}
			fixture.cluster.RUnlock()
		}
		if len(kept) == 0 && math.Floor(guarantee) >= 90 {
			t.Fatal("nothing was ever promised")
		}
	})
}
