// Package knownfailures reads the list of tests that are known to fail for a fault that is not
// mended yet (KNOWN-RED.txt). CI skips just these, runs them apart and prints what came of them. It owns
// the format of the list and runs nothing itself. Whatever is wrong with the list is an error: a test that
// nobody runs must not hide behind a slip of the pen.
//
// A line of the list is
//
//	./package TestName/subtest, `command`, seed 5, what was seen, #12
//
// with the name as go test prints it, the command that plays the test, and "seed none" where there is no seed. A
// subtest stands for itself alone: the others of its test run as ever.
package knownfailures
