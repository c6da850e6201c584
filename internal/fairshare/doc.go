// Package fairshare finds the job classes and teams that have been served least of what arrived of
// them lately, while capacity is short.
//
// The package owns a bounded history of arrivals and a pure calculation on it: arrivals, waiting
// tasks and the time go in, underserved groups come out. It reads no clock and no record. The
// history stands beside the records because those of finished jobs leave the cluster state; a
// controller that has just started knows the live jobs only, and agrees with the others once a
// window has passed.
//
// The result decides an order and nothing else (the host's own floors of safety invariant 19):
// beneath priorities and guarantees, and for a bounded share of starts.
package fairshare
