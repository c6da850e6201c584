// Package fairshare finds the job classes and teams that are underserved while capacity is short:
// of their tasks that arrived recently, a smaller share has been started than of other groups' tasks.
//
// The package owns a bounded history of arrivals and calculates the underserved groups from that
// history, the pending tasks and the current time. It reads no clock and no record. The history is
// kept in memory, apart from the records, because the records of finished jobs leave the cluster
// state. A controller node that has just started therefore knows only the live jobs; its result agrees
// with that of the other nodes after one tuning.FairShareWindow.
//
// The result only affects the order in which jobs start. It ranks below priorities and guarantees, and
// applies to a bounded share of the starts. A cell that runs jobs of other cells tracks and orders them
// by the same rules as its own jobs (safety invariant 19).
package fairshare
