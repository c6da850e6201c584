// Package agent follows the workers of this node's parts: their reports, the
// leases that answers renew, and the orders they are given.
//
// It gives a worker only what the records bind to it (safety invariant 1) and renews leases
// only as docs/zones-design.md allows (5). A start without an answer stays in doubt until
// the worker shows that it can't come any more (6). It decides nothing about
// placement and writes no records.
package agent
