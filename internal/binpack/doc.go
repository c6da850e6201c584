// Package binpack tracks the free capacity of all machines and places tasks on them.
//
// Every controller node runs the same scheduling cycle over all machines, so that tasks are distributed
// across shards by free capacity without messages between nodes. The owner of a machine's shard binds
// the tasks that are placed on the machine, except for gangs and services: these are bound by the owner
// of one shard, on machines of all shards. If the cluster states of two nodes differ and both use the
// same capacity, the compare-and-swap on the records decides, and the loser places its tasks again.
//
// The package owns the Inventory, which is the plan of one scheduling cycle. It only decides: it
// writes no record and sends no message. The caller supplies what each machine can be used for and
// image hints, which say which machines are expected to hold which images. A plan is not a binding:
// the caller makes bindings durable before any task is started (safety invariants 1 and 2).
package binpack
