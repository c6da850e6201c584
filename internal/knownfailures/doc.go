// Package knownfailures reads KNOWN-RED.txt, the list of tests that are known to fail because of a fault that is not
// fixed yet. CI skips the listed tests in the regular run, runs them separately and prints the outcome of each. The
// package defines the format of the list and interprets the output of go test; it runs no tests itself. Any mistake in
// the list is an error, because a misspelled entry could otherwise hide a test that is never run.
//
// A line of the list is
//
//	./package TestName/subtest, `command`, seed 5, what was seen, #12
//
// with the name as go test prints it, the command that reproduces the failure, and "seed none" if there is no seed. An
// entry for a subtest covers only that subtest; CI still runs the other subtests of the same test.
package knownfailures
