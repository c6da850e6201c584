// Package schemaversion activates new schema versions of the durable records.
//
// Each process says with its session which version it reads. Once all nodes of
// the deployment are there with processes that read a version, the leader
// writes so, and from then on records of that version are written. Nobody takes
// that back.
//
// The package never writes a record of a new version itself, and never guesses
// what a node without a session reads: such a node is waited for. It carries
// the part of safety invariant 11 that concerns older nodes, and of 5 that
// makes the version durable and conditional.
package schemaversion
