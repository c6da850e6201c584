package simulation

import (
	"context"
	"time"
)

// tokenWatch waits for a fencing token to rise.
type tokenWatch struct {
	interval time.Duration
	until    time.Time
	token    func() uint64 // 0 before there is one
}

// run calls a function whenever the token has risen, from its first value on.
func (watch tokenWatch) run(ctx context.Context, onIncrease func()) {
	before := watch.token()
	for ctx.Err() == nil && time.Now().Before(watch.until) {
		time.Sleep(watch.interval)
		token := watch.token()
		if before != 0 && token != before {
			onIncrease()
		}
		before = token
	}
}
