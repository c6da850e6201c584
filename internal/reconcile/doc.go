// Package reconcile decides what to do with a bound task, given the last report of its machine's agent.
//
// Decide has a decision for every combination of presence, exit cause and job kind; no other code decides whether a
// report ends a binding. GangStateOf determines whether all tasks of a gang's attempt are bound, or can still become
// bound. The package holds no state and changes no record. Its caller applies the decisions to
// records, agent commands and machine state.
//
// It implements safety invariant 4: a binding ends only with a proof that the task is not on its machine any more,
// and a task becomes done only if its agent reports so and its job is not cancelled.
package reconcile
