package scheduler

import "context"

// Peers asks the other nodes what they know of machines. Their answers are advice.
type Peers interface {
	// QueryRecentlyHeard returns, by machine, a node that has heard from it lately; machines that none has heard from
	// are missing.
	QueryRecentlyHeard(ctx context.Context, machines []string) map[string]string
	// QueryImages returns, by image, the machines that are believed to hold it.
	QueryImages(ctx context.Context) map[string]map[string]bool
}
