// Command standin plays the cases of the review. It starts the project's controllers as separate processes and stands
// in for the key-value store, the cloud, the workers and the users of a small deployment, on loopback addresses and the
// real clock. Each case writes what was sent, answered and run, and checks one rule of the protocol.
package main
