package scheduler

import "context"

// Peers queries the other nodes about machines. Their responses are hints only.
type Peers interface {
	// QueryRecentReports returns, by machine, a node that has recently received a heartbeat from it. Machines from
	// which no node has received one are missing.
	QueryRecentReports(ctx context.Context, machines []string) map[string]string
	// QueryImages returns, by image, the machines that probably hold it.
	QueryImages(ctx context.Context) map[string]map[string]bool
}
