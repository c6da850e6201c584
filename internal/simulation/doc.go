// Package simulation runs real controllers in one process against fakes of the systems around them: the
// key-value store, the cloud, the agents on its machines, the network and the users. Under a fake clock
// (testing/synctest), a simulation run that covers a whole day of generated jobs and faults takes seconds.
//
// The package provides the fakes, the faults that can be injected and the InvariantChecker, which observes
// agents and users from outside and records each violation of a safety invariant: no task on two machines, no
// task after its cancellation was confirmed, no response older than an earlier one. The checker never inspects
// the state of a controller. Only tests may import the package.
//
// Random numbers come from seeded generators, each with a stream of its own (randomStream), so that a seed
// always produces the same jobs and the same schedule of faults.
package simulation
