package retry

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/config"
)

// drawClass draws a class that limits retries.
func drawClass(t *rapid.T) config.Class {
	class := config.Class{
		Name:                "c",
		MaxRetries:          rapid.IntRange(0, 1000).Draw(t, "retries"),
		RetryBackoffSeconds: rapid.Float64Range(0, 1000).Draw(t, "pause"),
	}
	class.MaxRetryBackoffSeconds = class.RetryBackoffSeconds + rapid.Float64Range(0, 85400).Draw(t, "longer pause")
	return class
}

// TestMaxRetries checks that MaxRetries returns at most the maximum of the class and rejects requests for
// more, and that a task with a limit starts exactly once more than it has retries.
func TestMaxRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := drawClass(t)
		var requested *int
		if rapid.Bool().Draw(t, "requests") {
			n := rapid.IntRange(0, 1000).Draw(t, "requested")
			requested = &n
		}
		limit, err := NewPolicies([]config.Class{class}).MaxRetries("c", requested)
		if requested != nil && *requested > class.MaxRetries {
			var over *LimitError
			if !errors.As(err, &over) || over.Requested != *requested || over.Allowed != class.MaxRetries {
				t.Fatalf("%d retries requested, %d allowed: %v, want a LimitError", *requested, class.MaxRetries, err)
			}
			return
		}
		if err != nil {
			t.Fatalf("%v retries requested, %d allowed: got error %v", requested, class.MaxRetries, err)
		}
		if *limit > class.MaxRetries || requested != nil && *limit != *requested {
			t.Errorf("got a limit of %d", *limit)
		}
		starts := 1
		for failures := 0; !Exhausted(limit, failures); failures++ {
			starts++
		}
		if starts != *limit+1 {
			t.Errorf("a task started %d times with %d retries", starts, *limit)
		}
	})
}

// TestBackoff checks that the backoff starts at the initial one of the class, never decreases and never
// exceeds the maximum of the class.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := drawClass(t)
		policies := NewPolicies([]config.Class{class})
		initial, maximum := config.ToDuration(class.RetryBackoffSeconds),
			config.ToDuration(class.MaxRetryBackoffSeconds)
		last := time.Duration(0)
		for failures := range 1200 {
			backoff := policies.Backoff("c", failures)
			if backoff < last || backoff > maximum || failures == 1 && backoff != initial {
				t.Fatalf("backoff %v after %d failures, %v after one failure less", backoff, failures, last)
			}
			last = backoff
		}
	})
}

// TestNoPolicies checks that retries are not limited if no class limits them.
func TestNoPolicies(t *testing.T) {
	limit, err := NewPolicies(nil).MaxRetries("c", nil)
	if limit != nil || err != nil || Exhausted(nil, 1<<30) {
		t.Error("retries are limited though no class limits them")
	}
}
