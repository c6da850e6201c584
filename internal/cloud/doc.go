// Package cloud is the client of the cloud provider that machines are rented from.
//
// The package implements the protocol and limits the request rate: all controller nodes together stay
// within the rate that the cloud allows. The leader has a share of its own, since it rents and
// lists machines for all nodes; the others divide the rest. The package makes no decisions and
// stores nothing; the caller makes the names of rentals and of machines to be deleted durable.
//
// Safety invariants 4 and 9 depend on what the responses mean. Renting is idempotent: repeated
// requests with the same name return the same machines. If Delete succeeds, the machines are gone.
// ErrNoCapacity and ErrMalformedRequest mean that the request had no effect. Any other error proves
// nothing: the request may have been executed.
package cloud
