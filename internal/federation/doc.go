// Package federation decides how jobs move between cells: deployments that each have controllers, key-value
// store, cloud account and machines of their own (docs/cells-design.md).
//
// It owns three decisions: how a job is handed over (HomeTransfer at the cell that accepted it, HostTransfers
// at the cell that runs it), what another cell is to this one (Member), and to which cell a job is best
// offered (ChooseCell). All are pure state machines: records, messages and the time go in, records and
// messages come out. The package never does I/O, reads no clock and starts no goroutine; package offload
// drives it.
//
// Transitions that are a part of other changes of records are written where those are made, and stand here for
// the model that the tests explore: HostTransfers.CanStart and Complete in the scheduling cycle, Forget and
// HomeTransfer.ReleasesHost and Reconcile in package offload, as deletions of outcomes, acknowledgements and the
// reading of inventories.
//
// A record is changed by the leader of its cell, by compare-and-swap, before anything that follows from it is
// reported or done. A message only reports a record, and may be lost, doubled, late or out of order. The
// package carries safety invariants 17 and 18: at any moment at most one cell holds the right to start the
// tasks of a job, the right moves by the holder's durable release alone, and no message counts that was sent
// by a cell that has lost writes since.
package federation
