// Package binpack keeps the free capacity of all machines and fits tasks into it.
//
// Every controller runs the same scheduling cycle over all machines, so that tasks are distributed
// across shards by free capacity without any messages between controllers; each binds only what
// falls to its own shards. Where their cluster states differ, the compare-and-swap on the records
// decides, and the loser fits again.
//
// The package owns the Inventory, which is one cycle's plan, and decides only: it writes no record
// and sends nothing. Its caller says what a machine may be used for and which images it is believed
// to hold. A plan proves nothing: bindings become durable elsewhere, before any launch (safety
// invariants 1 and 2).
package binpack
