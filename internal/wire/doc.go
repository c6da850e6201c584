// Package wire defines the messages that a controller node exchanges with agents, users, the key-value
// store and the cloud, their CBOR encoding, and the strict decoding of submissions from users.
//
// The struct tags of this package map the field names of the protocol to the names in the code; no
// other package contains names of the protocol's fields. Package wire has no state, sends no requests
// and implements no effect of a message: package admission decides whether a well-formed submission
// can run, and the packages that write the records decide when a request may be acknowledged.
//
// Files are named after the communication partner: agent.go, user.go with submission.go, kvstore.go
// and cloud.go. Files codec.go and http.go contain the code that all of them share.
package wire
