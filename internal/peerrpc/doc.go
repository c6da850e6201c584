// Package peerrpc carries messages between controller nodes over gRPC: hints between the nodes of a cell, and the
// exchange of jobs between the leaders of cells.
//
// Messages are not durable, and safety does not depend on them: a lost, late or repeated response only costs time.
// A hint about an agent is used only if the cluster state of the responding node is recent. Package offload checks
// the messages of other cells against records.
package peerrpc
