// Command standin2 runs the cases 4 to 8 of the review. It starts controllers as separate processes, with the run
// command of the deploy file, and stands in for everything around them: the state service, the cloud, the workers and
// the users. All addresses are loopback addresses, and the clock is the real one.
//
// Usage: standin2 CASE FOLDER. TROUBLE=0 in the environment leaves out the disruption of the case. The record of the
// run is written to record.txt in the folder. The exit status is 0 if the rule held, 1 if it was broken and 2 if the
// case could not run.
package main
