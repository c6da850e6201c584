package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
)

// TestRules: nobody gets more repeats than the class allows, pauses grow up to the
// longest and no further, and a task with a limit starts at most once more than that.
func TestPolicies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config.Class{Name: "c", Repeats: rapid.IntRange(0, 1000).Draw(t, "repeats"), PauseS: rapid.Float64Range(0, 1000).Draw(t, "pause")}
		c.PauseMaxS = c.PauseS + rapid.Float64Range(0, 85400).Draw(t, "more")
		r := NewPolicies([]config.Class{c})
		var asked *int
		if rapid.Bool().Draw(t, "asks") {
			n := rapid.IntRange(0, 1000).Draw(t, "asked")
			asked = &n
		}
		limit, why := r.MaxRetries("c", asked)
		if (why != "") != (asked != nil && *asked > c.Repeats) {
			t.Fatalf("%v asked, %d allowed: %q", asked, c.Repeats, why)
		}
		if why != "" {
			return
		}
		if *limit > c.Repeats || asked != nil && *limit != *asked {
			t.Errorf("limit %d", *limit)
		}
		starts := 1
		for failures := 0; !Exhausted(limit, failures); failures++ {
			starts++
		}
		if starts != *limit+1 {
			t.Errorf("%d starts with %d repeats", starts, *limit)
		}
		last := time.Duration(0)
		for n := range 1200 {
			p := r.Backoff("c", n)
			if p < last || p > config.Seconds(c.PauseMaxS) || n == 1 && p != config.Seconds(c.PauseS) {
				t.Fatalf("pause %v after %d failures, %v before", p, n, last)
			}
			last = p
		}
	})
	if limit, why := NewPolicies(nil).MaxRetries("c", nil); limit != nil || why != "" || Exhausted(nil, 1<<30) {
		t.Error("limited without a class")
	}
}
