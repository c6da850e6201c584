package simulation

import (
	"context"
	"time"
)

// tokenWatch polls a fencing token for changes.
type tokenWatch struct {
	interval time.Duration
	until    time.Time
	token    func() uint64 // 0 before there is one
}

// run calls onChange each time the token has changed, until ctx ends or the time until is reached. A change from 0
// doesn't count.
func (watch tokenWatch) run(ctx context.Context, onChange func()) {
	before := watch.token()
	for ctx.Err() == nil && time.Now().Before(watch.until) {
		time.Sleep(watch.interval)
		token := watch.token()
		if before != 0 && token != before {
			onChange()
		}
		before = token
	}
}
