package place

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/quota"
	"sableusher/internal/tuning"
	"sableusher/internal/world"
)

// TestWhoIsLateHoldsNobodyUp: arrays of all sizes wait behind a fleet that is in use, some of
// them past all aims. In the queue nothing that can't be in time stands before what can, and
// where not all can be, nothing before what is of a smaller class; where all can be, size
// counts for nothing. In a burst the oldest, past all aims, once kept 0.69 of the others from
// their deadlines.
func TestWhoIsLateHoldsNobodyUp(t *testing.T) {
	short, ample := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newTestCluster(nil)
		e := f.engines[0]
		e.settings.Deployment.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 80, Share: 0.99}, {Kind: "finished", Class: "c", WithinS: 200, Share: 0.99}}
		machines := rapid.IntRange(1, 30).Draw(t, "machines")
		for i := range machines {
			name := f.addMachine(i, true)
			f.addJob(arraySpec(5000+i, 4), world.Task{State: world.TaskBound, Attempt: 1, Machine: name, Session: 1})
		}
		for i := range rapid.IntRange(2, 40).Draw(t, "jobs") {
			s := arraySpec(i, rapid.IntRange(1, 180).Draw(t, "tasks"))
			s.Team, s.Class, s.RuntimeEstimateSeconds = "t", "c", float64(rapid.IntRange(5, 90).Draw(t, "run"))
			at := testNow.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Second)
			f.put(world.JobKey(s.ID), world.JobRecord{Spec: s, SubmittedAtMs: at.UnixMilli()})
		}
		f.cluster.RLock()
		defer f.cluster.RUnlock()
		r := e.newCycle(testNow.Add(time.Duration(rapid.IntRange(0, tuning.FloorTurns-1).Draw(t, "second")) * time.Second))
		r.stock = r.renewStock()
		queue := r.queue(true)
		for i, du := range queue {
			_, slack := r.reachable(r.aims(du.job), r.run(du.job))
			floor := r.floor(du.job)
			if floor && (du.key.MissesObjectives || du.key.SizeClass != -1) {
				t.Fatalf("%v has its turn and stands behind", du.key)
			}
			if r.lastCall(du.job) && du.key.SizeClass != -1 {
				t.Fatalf("%v has its last call and stands behind", du.key)
			}
			if slack < 0 && !du.key.MissesObjectives && !floor {
				t.Fatalf("%v is past all aims and not late", du.key)
			}
			if i == 0 {
				continue
			}
			before := queue[i-1].key
			if before.MissesObjectives && !du.key.MissesObjectives || before.MissesObjectives == du.key.MissesObjectives && before.SizeClass > du.key.SizeClass {
				t.Fatalf("%v stands before %v", before, du.key)
			}
		}
		for _, du := range queue {
			if (du.key.SizeClass != 0) != r.capacityShort[du.rank] {
				t.Fatalf("%v though short is %v", du.key, r.capacityShort)
			}
		}
		if r.capacityShort[queue[0].rank] {
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
func TestPromisesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestCluster(nil)
		e := f.engines[0]
		guarantee := float64(rapid.IntRange(10, 200).Draw(t, "guarantee"))
		e.quota = quota.New([]config.Team{{Name: "t", GPUs: guarantee}}, f.cluster)
		kept := map[string]bool{}
		now := testNow
		for i := range rapid.IntRange(2, 25).Draw(t, "jobs") {
			s := arraySpec(i, rapid.IntRange(1, 90).Draw(t, "tasks"))
			s.Team, s.Class, s.RuntimeEstimateSeconds = "t", "c", 30
			now = now.Add(time.Second)
			f.put(world.JobKey(s.ID), world.JobRecord{Spec: s, SubmittedAtMs: now.UnixMilli()})
			f.cluster.RLock()
			r := e.newCycle(now)
			r.stock = r.renewStock()
			r.capacityShort = [4]bool{true, true, true, true}
			r.guarantees()
			sum := 0.0
			for id := range r.withinGuarantee {
				sum += float64(r.cluster.Jobs[id].Spec.TaskCount)
			}
			if sum > guarantee+1e-9 {
				t.Fatalf("%v GPUs assured of %v", sum, guarantee)
			}
			for id := range kept {
				if !r.withinGuarantee[id] {
					t.Fatalf("%s has lost what was promised", id)
				}
			}
			if r.guaranteedOnArrival[s.ID] {
				kept[s.ID] = true
			}
			f.cluster.RUnlock()
		}
		if len(kept) == 0 && math.Floor(guarantee) >= 90 {
			t.Fatal("nothing was ever promised")
		}
	})
}
