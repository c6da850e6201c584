package fairshare

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
)

var testStart = time.Unix(1_800_000_000, 0)

func drawArrival(t *rapid.T, jobID string, at time.Time) Arrival {
	return Arrival{
		JobID: jobID,
		Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
		Team:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
		Tasks: rapid.IntRange(1, 50).Draw(t, "tasks"),
		At:    at,
	}
}

// referenceCount is the expected content of a tracker, counted from the list of all arrivals.
type referenceCount struct {
	kept    int
	total   taskCount
	byGroup map[Group]taskCount
}

// newReferenceCount counts the arrivals within the window that ends now.
func newReferenceCount(now time.Time, arrivals []Arrival, pendingTasks map[string]int) referenceCount {
	model := referenceCount{byGroup: map[Group]taskCount{}}
	for _, arrival := range arrivals {
		if now.Sub(arrival.At) > tuning.FairShareWindow {
			continue
		}
		model.kept++
		pending := pendingTasks[arrival.JobID]
		model.total.arrived += arrival.Tasks
		model.total.pending += pending
		groups := []Group{{Kind: ClassGroup, Name: arrival.Class}, {Kind: TeamGroup, Name: arrival.Team}}
		for _, group := range groups {
			count := model.byGroup[group]
			model.byGroup[group] = taskCount{count.arrived + arrival.Tasks, count.pending + pending}
		}
	}
	return model
}

// check compares the groups that a tracker found with the underserved groups of the reference count.
func (r referenceCount) check(t *rapid.T, got map[Group]bool) {
	share := func(c taskCount) float64 { return 1 - float64(c.pending)/float64(c.arrived) }
	for group, count := range r.byGroup {
		want := share(count) < tuning.FairShareMinServed &&
			share(count) < tuning.FairShareMinRelativeServed*share(r.total)
		if got[group] != want {
			t.Fatalf("%+v was served %v of %v: underserved is %v", group, share(count), share(r.total), got[group])
		}
	}
	if len(got) >= len(r.byGroup) {
		t.Fatal("all groups are underserved")
	}
}

// TestUnderservedMatchesReferenceCount checks that, for any history, Underserved returns the same groups
// as a count over all arrivals, that never all groups are underserved, and that the tracker keeps
// exactly the jobs that arrived within the window.
func TestUnderservedMatchesReferenceCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		var arrivals []Arrival
		pendingTasks, now := map[string]int{}, testStart
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			arrival := drawArrival(t, strconv.Itoa(step), now)
			arrivals = append(arrivals, arrival)
			for range 1 + rapid.IntRange(0, 1).Draw(t, "repetitions") {
				tracker.RecordArrival(now, arrival)
			}
			pendingTasks[arrival.JobID] = rapid.IntRange(0, arrival.Tasks).Draw(t, "waiting")
			got := tracker.Underserved(now, pendingTasks)
			model := newReferenceCount(now, arrivals, pendingTasks)
			if tracker.Len() != model.kept {
				t.Fatalf("%d jobs tracked, but %d arrived within the window", tracker.Len(), model.kept)
			}
			model.check(t, got)
		}
	})
}

// TestTrackerIsBounded checks that a tracker keeps at most tuning.FairShareMaxJobs jobs.
func TestTrackerIsBounded(t *testing.T) {
	var tracker Tracker
	for i := range tuning.FairShareMaxJobs + 100 {
		arrival := Arrival{JobID: strconv.Itoa(i), Class: "a", Team: "x", Tasks: 1, At: testStart}
		tracker.RecordArrival(testStart, arrival)
	}
	if tracker.Len() != tuning.FairShareMaxJobs {
		t.Fatalf("%d jobs tracked, want tuning.FairShareMaxJobs", tracker.Len())
	}
}
