package retry

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
)

// limitedClass draws a class that limits retries.
func limitedClass(t *rapid.T) config.Class {
	class := config.Class{
		Name:              "c",
		MaxRetries:        rapid.IntRange(0, 1000).Draw(t, "retries"),
		RetryPauseSeconds: rapid.Float64Range(0, 1000).Draw(t, "pause"),
	}
	class.MaxRetryPauseSeconds = class.RetryPauseSeconds + rapid.Float64Range(0, 85400).Draw(t, "longer pause")
	return class
}

// TestMaxRetries: nobody gets more retries than the class allows, and a task with a limit starts at most
// once more than that.
func TestMaxRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := limitedClass(t)
		var requested *int
		if rapid.Bool().Draw(t, "requests") {
			n := rapid.IntRange(0, 1000).Draw(t, "requested")
			requested = &n
		}
		limit, err := NewPolicies([]config.Class{class}).MaxRetries("c", requested)
		if requested != nil && *requested > class.MaxRetries {
			var over *LimitError
			if !errors.As(err, &over) || over.Requested != *requested || over.Allowed != class.MaxRetries {
				t.Fatalf("%d requested, %d allowed: %v", *requested, class.MaxRetries, err)
			}
			return
		}
		if err != nil {
			t.Fatalf("%v requested, %d allowed: %v", requested, class.MaxRetries, err)
		}
		if *limit > class.MaxRetries || requested != nil && *limit != *requested {
			t.Errorf("limit %d", *limit)
		}
		starts := 1
		for failures := 0; !Exhausted(limit, failures); failures++ {
			starts++
		}
		if starts != *limit+1 {
			t.Errorf("%d starts with %d retries", starts, *limit)
		}
	})
}

// TestBackoff: the backoff begins with the class's pause and grows up to the longest and no further.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := limitedClass(t)
		policies := NewPolicies([]config.Class{class})
		initial, longest := config.ToDuration(class.RetryPauseSeconds), config.ToDuration(class.MaxRetryPauseSeconds)
		last := time.Duration(0)
		for failures := range 1200 {
			pause := policies.Backoff("c", failures)
			if pause < last || pause > longest || failures == 1 && pause != initial {
				t.Fatalf("pause %v after %d failures, %v before", pause, failures, last)
			}
			last = pause
		}
	})
}

// TestNoPolicies: without a class that limits retries there is no limit.
func TestNoPolicies(t *testing.T) {
	limit, err := NewPolicies(nil).MaxRetries("c", nil)
	if limit != nil || err != nil || Exhausted(nil, 1<<30) {
		t.Error("limited without a class")
	}
}
