// Package schemaversion activates new schema versions of the durable records.
//
// Each process publishes in its session the newest schema version that it reads.
// Once all nodes of the deployment have sessions of processes that read a
// version, the leader activates it by writing the schema version record. From
// then on nodes write records of that version. An activation is never undone.
//
// The package does not write records of a new version itself. It makes no
// assumption about a node without a session but waits for the node to return. It
// implements the part of safety invariant 11 that concerns older nodes, and the
// part of invariant 5 that makes the version durable and its change conditional.
package schemaversion
