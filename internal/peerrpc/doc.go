// Package peerrpc carries messages between controllers over gRPC: hints between the nodes of a cell, and the
// exchange of jobs between the leaders of cells.
//
// Nothing here is durable and nothing is proof: a lost, late or repeated answer costs time, never safety.
// What a hint says about an agent counts only if the answering node's cluster state is recent; what cells
// report to each other is checked against records by package offload.
package peerrpc
