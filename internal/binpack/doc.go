// Package binpack keeps what machines have free and finds room in it for tasks.
//
// Every node plays the same round over all machines, so that tasks are dealt across parts
// by free room without a word between nodes; it binds only what is dealt to its own
// parts. Where views differ, the records' guards decide and the loser looks again.
//
// The package decides only: it writes no record and speaks to nobody. What a machine is
// good for, and which images it is believed to hold, its caller says.
package binpack
