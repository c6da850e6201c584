package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestLateJobsDoNotDelayOthers draws arrays of all sizes that wait behind a busy cluster, some of them past all their
// objectives. In the queue, arrays that can't meet an objective must not precede arrays that can. While capacity is
// short, an array must not precede one of a smaller size class; otherwise the size must not matter. The test guards
// against a queue in which the oldest jobs go first although they are past all their objectives. During a burst, such a
// queue makes 69% of the other jobs miss their deadlines.
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
		t.Errorf("capacity was short %d times and ample %d times, want both", short, ample)
	}
}

// drawArrays adds busy machines and waiting arrays.
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

// checkQueueEntry checks a job's key against its objectives and the current time slot.
func checkQueueEntry(t *rapid.T, c *cycle, queued queuedJob) {
	key := queued.key
	_, slack := firstReachable(c.now, c.objectiveTimes(queued.job), c.predictedRunTime(queued.job))
	isOverdueSlot := c.inOverdueSlot(queued.job)
	if isOverdueSlot && (key.MissesObjectives || key.SizeClass != sizeClassFirst) {
		t.Fatalf("%v is not first in its time slot", key)
	}
	if c.nearLastObjective(queued.job) && key.SizeClass != sizeClassFirst {
		t.Fatalf("%v is near its last objective and not first", key)
	}
	if slack < 0 && !key.MissesObjectives && !isOverdueSlot {
		t.Fatalf("%v is past all its objectives and not marked as missing them", key)
	}
	if (key.SizeClass != sizeClassNone) != c.order.objectives.capacityShort[queued.rank] {
		t.Fatalf("%v has the wrong size class while capacityShort is %v", key, c.order.objectives.capacityShort)
	}
}

// checkQueueOrder checks the order of two adjacent jobs of the queue.
func checkQueueOrder(t *rapid.T, first, second queuedJob) {
	if first.key.MissesObjectives && !second.key.MissesObjectives ||
		first.key.MissesObjectives == second.key.MissesObjectives && first.key.SizeClass > second.key.SizeClass {
		t.Fatalf("%v is before %v", first.key, second.key)
	}
}
