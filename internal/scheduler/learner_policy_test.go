package scheduler

import (
	"log/slog"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// drawQueue draws a queue in scheduling order, and a cached value for each of its jobs.
func drawQueue(t *rapid.T, c *cycle) []queuedJob {
	var queue []queuedJob
	for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
		key := jobqueue.Key{
			PriorityRank: rapid.IntRange(0, 2).Draw(t, "rank"),
			NearDeadline: rapid.Bool().Draw(t, "near"),
			DeadlineNs:   int64(i),
			JobID:        strconv.Itoa(i),
		}
		job := &clusterstate.Job{Job: record.Job{Spec: wire.JobSpec{ID: key.JobID}}}
		queue = append(queue, queuedJob{key: key, rank: key.PriorityRank, nearDeadline: key.NearDeadline, job: job})
		value := float64(rapid.IntRange(0, 5).Draw(t, "value"))
		c.learning.values.byJob[key.JobID] = cachedValue{value: value, computedAt: c.now}
	}
	slices.SortFunc(queue, func(a, b queuedJob) int { return a.key.Compare(b.key) })
	return queue
}

// newPolicyCycle returns a cycle with nothing but a learner with the given probability of exploration.
func newPolicyCycle(exploration float64) *cycle {
	log := slog.New(slog.DiscardHandler)
	engine := &Engine{learning: newLearning(&config.Operator{Exploration: exploration, LearningEnabled: true}, 1, log)}
	engine.log = log
	return &cycle{Engine: engine, now: testNow}
}

func jobIDs(queue []queuedJob) []string {
	var ids []string
	for _, queued := range queue {
		ids = append(ids, queued.key.JobID)
	}
	return ids
}

// TestExploitOrdersByValueWithinPrecedence checks that jobs of the same precedence are ordered by value, that jobs with
// equal values and jobs near their deadline keep their order, and that precedence is never violated.
func TestExploitOrdersByValueWithinPrecedence(t *testing.T) {
	moved := false
	rapid.Check(t, func(t *rapid.T) {
		c := newPolicyCycle(0)
		queue := drawQueue(t, c)
		before := jobIDs(queue)
		c.exploit(queue)
		for i := 1; i < len(queue); i++ {
			first, second := queue[i-1], queue[i]
			precedence := first.key.ComparePrecedence(second.key)
			inOrder := first.key.DeadlineNs < second.key.DeadlineNs
			switch {
			case precedence > 0:
				t.Fatalf("%v is before %v", first.key, second.key)
			case precedence == 0 && first.nearDeadline && !inOrder:
				t.Fatalf("jobs near their deadline are ordered by value: %v before %v", first.key, second.key)
			case precedence == 0 && !first.nearDeadline && first.value < second.value:
				t.Fatalf("a value of %v is before %v", first.value, second.value)
			case precedence == 0 && first.value == second.value && !inOrder:
				t.Fatalf("equal values change the order: %v before %v", first.key, second.key)
			}
		}
		moved = moved || !slices.Equal(before, jobIDs(queue))
	})
	if !moved {
		t.Error("values never changed the order")
	}
}

// TestExploreMovesOneJobToTheFirstOfItsPrecedence checks that at most one job moves, before all others of its
// precedence, and that the others keep their order.
func TestExploreMovesOneJobToTheFirstOfItsPrecedence(t *testing.T) {
	moved := false
	rapid.Check(t, func(t *rapid.T) {
		c := newPolicyCycle(1)
		queue := drawQueue(t, c)
		before := slices.Clone(queue)
		c.explore(queue)
		for i, queued := range queue {
			if queued.key == before[i].key {
				continue
			}
			moved = true
			if i > 0 && queue[i-1].key.ComparePrecedence(queued.key) >= 0 {
				t.Fatalf("%v was moved behind %v", queued.key, queue[i-1].key)
			}
			if queue[i+1].key.ComparePrecedence(queued.key) < 0 {
				t.Fatalf("%v was moved before %v", queued.key, queue[i+1].key)
			}
			rest := slices.DeleteFunc(before, func(other queuedJob) bool { return other.key == queued.key })
			if !slices.Equal(jobIDs(slices.Delete(slices.Clone(queue), i, i+1)), jobIDs(rest)) {
				t.Fatalf("%v changed the order of the others to %v", queued.key, jobIDs(queue))
			}
			return
		}
	})
	if !moved {
		t.Error("no job was ever moved")
	}
}
