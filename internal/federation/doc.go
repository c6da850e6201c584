// Package federation decides how jobs move between cells: deployments that each have controllers, key-value
// store, cloud account and machines of their own (docs/cells-design.md).
//
// It makes three decisions: how a job is transferred between its home, the cell that accepted it (HomeTransfer),
// and its host, the cell that runs it (HostTransfers); which standing another cell has with this one (Member);
// and which cell a job is best offered to (ChooseCell). All are pure state machines: their input is records,
// messages and the time, their output is records and messages. The package does no I/O, reads no clock and
// starts no goroutines. Package offload drives it.
//
// Some methods are called only by the model of the protocol in the tests, because production code makes the same
// transitions as parts of larger transactions. HostTransfers.CanStart and Complete model the scheduling cycle.
// HomeTransfer.Request, HostTransfers.Forget, HomeTransfer.ReleasesHost and HomeTransfer.Reconcile model how
// package offload builds requests, deletes outcomes, acknowledges results and applies inventories.
//
// The leader of a cell changes a record by compare-and-swap before it reports or does anything that follows
// from the change. A message only reports the contents of records, and may be lost, duplicated, delayed or
// reordered. The package maintains safety invariants 17 and 18: at any moment at most one cell holds the right
// to start the tasks of a job; the right moves only by the holder's durable release; and a message that a cell
// sent before it lost writes is not accepted afterwards.
package federation
