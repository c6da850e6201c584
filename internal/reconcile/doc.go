// Package reconcile decides what is to become of a bound task, given what its machine's agent has last reported of it.
//
// It owns the table of all presences, exit causes and kinds of jobs, so that nothing else ends a binding, and the rule
// by which a gang's attempt can still run whole. It only decides: it holds no state and changes no record; records,
// commands to agents and what is kept of machines are its caller's.
//
// It carries safety invariant 4: a binding ends only by proof that the task is on its machine no more, and a task is
// done only if its agent says so and its job is not cancelled.
package reconcile
