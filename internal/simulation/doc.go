// Package simulation runs real controllers in one process against fakes of the systems around them: the
// key-value store, the cloud, the agents on its machines, the network and the users. Under a fake clock
// (testing/synctest), a simulation run that covers minutes of generated jobs and faults takes seconds.
//
// The package provides the fakes, the faults that can be injected and the InvariantChecker, which observes
// agents and users from outside and records each violation of a safety invariant. For example, no task may run
// on two machines or after its cancellation was confirmed, and no response may take back a final state. The
// checker never inspects the state of a controller. Only tests may import the package.
//
// Random numbers come from generators with a seed and a stream (randomStream), so that a seed always produces
// the same jobs and the same schedule of faults. Nearly all generators have a stream of their own.
package simulation
