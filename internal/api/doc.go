// Package api serves a controller over HTTP: the users' jobs API, the agents' heartbeats, and the pages
// for health checks and metrics.
//
// A handler decodes a request, calls one method that decides, and encodes what that gives; errors
// become statuses in writeError alone. The package owns the acceptance and the marking of cancellations,
// both by compare-and-swap on the job's record before the user is answered (safety invariants 1 and 5).
// It never answers a question about a job from the cluster state without a read barrier (invariants 7
// and 26): what is uncertain is 503 with Retry-After, never 404 and never an older state. It starts no task
// and stops none.
package api
