// Package wire holds the messages that a controller exchanges with agents, users, the key-value
// store and the cloud, with their CBOR encoding and the strict decoding of users' submissions.
//
// It owns the mapping between the protocol's field names, which stand in the struct tags here and
// nowhere else, and the names of the code. It holds no state, starts no requests and knows nothing
// of what a message leads to: whether a well-formed submission can run is decided by package
// admission, and what may be acknowledged by those who write the records.
//
// Files are named after the counterpart: agent.go, user.go with submission.go, kvstore.go and
// cloud.go; codec.go and http.go hold what all of them share.
package wire
