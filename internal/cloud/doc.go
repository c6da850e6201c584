// Package cloud is the client of the cloud that machines are rented from.
//
// The package owns the protocol and the pace of requests: all controllers together keep to the
// rate that the cloud allows, of which the leader has the larger part, as it rents and lists for
// all. It decides nothing and keeps no record; which names are rented and returned is for the
// caller to make durable.
//
// Safety invariants 4 and 9 rest on what the answers mean: a rental with the same name gives the
// same machines however often it is asked for, a Return without an error proves that the machines
// are gone, and an error proves nothing: the request may have been carried out.
package cloud
