// Package evacuation plans the order in which lost machines are deleted.
//
// The tasks of a lost machine can start elsewhere only after the whole machine has been deleted.
// Deletions are rate-limited and capacity may be short, so the order decides which jobs are
// interrupted for longest. A plan is a printable list of Steps, which the tests, the log and the
// failure detector all use.
//
// The package is pure and keeps no state. A plan is computed from the current records whenever it is
// needed, so that it reflects every change. The package deletes no machines and never declares that
// a task has ended (safety invariants 4 and 15). Whatever the order, a task leaves its machine only
// through the machine's deletion by the cloud.
//
// Machines are ordered by the first of these groups that applies to them:
//
//	services  machines with replicas of services. The machine whose service has the fewest replicas
//	          left comes first. Replicas that earlier steps restore are counted as left, so one
//	          replica of each service is restored before the second of any.
//	gangs     machines with tasks of gangs, ordered gang by gang, as a gang can start again only
//	          after all its lost machines are deleted. The order of gangs is: higher priority,
//	          fewer lost machines, more tasks on them.
//	arrays    machines with other tasks, ordered by priority and then by the number of tasks, the
//	          most first
//	nothing   machines without tasks
package evacuation
