// Package simulation runs real controllers in one process against fakes of everything that surrounds
// them: the key-value store, the cloud, the agents on its machines, the network and the users. Under a
// fake clock (testing/synctest) a whole day of generated jobs and faults takes seconds.
//
// The package owns the fakes, the vocabulary of faults and the InvariantChecker, which watches agents and
// users from outside and records each violation of a safety invariant: no task on two machines, no task
// after its cancellation was confirmed, no answer older than an earlier one. It never inspects the state of
// a controller, and nothing but tests may import it.
//
// Random draws come from seeded generators, each with a stream of its own (randomStream), so that one
// seed always gives the same jobs and the same plan of faults.
package simulation
