// Package api serves a controller node over HTTP: the users' jobs API, the agents' heartbeats, and the pages
// for health checks and metrics.
//
// A handler decodes a request, calls one method that decides, and encodes the result; only writeError maps
// errors to HTTP statuses. The package accepts jobs and marks cancellations, both by compare-and-swap on the
// job's record before the user is answered (safety invariants 1 and 5). It reports the state of a live job only
// after a read barrier (invariants 7 and 26): if the state is uncertain the response is 503 with Retry-After, never
// 404 and never a stale state. The package neither starts nor stops tasks.
package api
