package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestLateJobsDoNotDelayOthers: arrays of all sizes wait behind a cluster that is in use, some of them past all
// objectives. In the queue nothing that can't be in time stands before what can, and where not all can be,
// nothing before what is of a smaller class; where all can be, size counts for nothing. In a burst the
// oldest, past all objectives, once kept 0.69 of the others from their deadlines.
func TestLateJobsDoNotDelayOthers(t *testing.T) {
	short, ample := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(nil)
		engine := cluster.engines[0]
		engine.settings.Deployment.Objectives = []config.Objective{
			{Kind: objectiveWait, Class: "c", WithinS: 80, Share: 0.99},
			{Kind: "finished", Class: "c", WithinS: 200, Share: 0.99},
		}
		drawArrays(t, cluster)
		cluster.cluster.RLock()
		defer cluster.cluster.RUnlock()
		second := rapid.IntRange(0, tuning.FairShareRoundSeconds-1).Draw(t, "second")
		c := engine.newCycle(testNow.Add(time.Duration(second) * time.Second))
		c.inventory = c.refreshInventory()
		queue := c.buildQueue(true)
		for i, queued := range queue {
			checkQueueEntry(t, c, queued)
			if i > 0 {
				checkQueueOrder(t, queue[i-1], queued)
			}
		}
		if c.order.objectives.capacityShort[queue[0].rank] {
			short++
		} else {
			ample++
		}
	})
	if short == 0 || ample == 0 {
		t.Errorf("capacity was short %d times, ample %d times", short, ample)
	}
}

// drawArrays adds machines that are in use and arrays that wait.
func drawArrays(t *rapid.T, cluster *testCluster) {
	for i := range rapid.IntRange(1, 30).Draw(t, "machines") {
		name := cluster.addMachine(i, true)
		running := record.Task{State: record.TaskBound, Attempt: 1, Machine: name, Session: 1}
		cluster.addJob(arraySpec(5000+i, 4), running)
	}
	for i := range rapid.IntRange(2, 40).Draw(t, "jobs") {
		spec := arraySpec(i, rapid.IntRange(1, 180).Draw(t, "tasks"))
		spec.Team, spec.Class, spec.RuntimeEstimateSeconds = "t", "c", float64(rapid.IntRange(5, 90).Draw(t, "run"))
		at := testNow.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Second)
		cluster.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: at.UnixMilli()})
	}
}

// checkQueueEntry checks a job's key against its objectives and turns.
func checkQueueEntry(t *rapid.T, c *cycle, queued queuedJob) {
	key := queued.key
	_, slack := firstReachable(c.now, c.objectiveTimes(queued.job), c.predictedRunTime(queued.job))
	hasTurn := c.hasOverdueTurn(queued.job)
	if hasTurn && (key.MissesObjectives || key.SizeClass != sizeClassFirst) {
		t.Fatalf("%v has its turn and stands behind", key)
	}
	if c.nearLastObjective(queued.job) && key.SizeClass != sizeClassFirst {
		t.Fatalf("%v is near its last objective and stands behind", key)
	}
	if slack < 0 && !key.MissesObjectives && !hasTurn {
		t.Fatalf("%v is past all objectives and not late", key)
	}
	if (key.SizeClass != sizeClassNone) != c.order.objectives.capacityShort[queued.rank] {
		t.Fatalf("%v though short is %v", key, c.order.objectives.capacityShort)
	}
}

// checkQueueOrder checks that a job stands rightly before the next one.
func checkQueueOrder(t *rapid.T, first, second queuedJob) {
	if first.key.MissesObjectives && !second.key.MissesObjectives ||
		first.key.MissesObjectives == second.key.MissesObjectives && first.key.SizeClass > second.key.SizeClass {
		t.Fatalf("%v stands before %v", first.key, second.key)
	}
}
