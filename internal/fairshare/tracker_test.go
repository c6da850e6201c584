package fairshare

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
	"sableusher/internal/tuning"
)

func TestMain(m *testing.M) { testrand.Main(m) }

var start = time.Unix(1_800_000_000, 0)

// TestOwedAgainstCounting: over any history the owed are those that counting anew finds, nobody
// is owed where all were served alike or well, and what is kept is bounded by the window.
func TestUnderservedMatchesRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type job struct {
			class, team string
			tasks       int
			at          time.Time
		}
		var b Tracker
		jobs, waiting, now := map[string]job{}, map[string]int{}, start
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			id := strconv.Itoa(i)
			j := job{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"), rapid.IntRange(1, 50).Draw(t, "tasks"), now}
			jobs[id] = j
			for range 1 + rapid.IntRange(0, 1).Draw(t, "again") {
				b.RecordArrival(now, id, j.class, j.team, j.tasks, j.at)
			}
			waiting[id] = rapid.IntRange(0, j.tasks).Draw(t, "wait")
			got := b.Underserved(now, waiting)
			kept, all := 0, [2]int{}
			each := map[Group][2]int{}
			for id, j := range jobs {
				if now.Sub(j.at) > tuning.FloorWindow {
					continue
				}
				kept++
				w := waiting[id]
				all = [2]int{all[0] + j.tasks, all[1] + w}
				for _, who := range []Group{{Name: j.class}, {Team: true, Name: j.team}} {
					each[who] = [2]int{each[who][0] + j.tasks, each[who][1] + w}
				}
			}
			if b.Len() != kept {
				t.Fatalf("%d jobs kept, %d came within the window", b.Len(), kept)
			}
			share := func(s [2]int) float64 { return 1 - float64(s[1])/float64(s[0]) }
			for who, s := range each {
				want := share(s) < tuning.FloorServed && share(s) < tuning.FloorBehind*share(all)
				if got[who] != want {
					t.Fatalf("%+v was served %v of %v: owed is %v", who, share(s), share(all), got[who])
				}
			}
			if len(got) >= len(each) {
				t.Fatal("all are owed")
			}
		}
	})
}

// TestBookIsBounded: whatever comes, no more jobs are kept than the bound.
func TestTrackerIsBounded(t *testing.T) {
	var b Tracker
	for i := range tuning.FloorJobs + 100 {
		b.RecordArrival(start, strconv.Itoa(i), "a", "x", 1, start)
	}
	if b.Len() != tuning.FloorJobs {
		t.Fatalf("%d jobs kept", b.Len())
	}
}
