// Package graph reads Airflow-style graphs of tasks from files, validates them, and compiles
// a run of one to native jobs. It submits nothing and holds no state: the jobs are the very
// bodies that users submit, checked by the same code (safety invariant 10), so that nothing
// is accepted by way of a graph that would be refused on its own.
//
// A file is YAML or JSON and is checked against the JSON Schema that Schema returns. All
// faults of a file are reported at once, each with line, column and path. Every string in a
// task's arguments may be a Jinja template over the run's date, id and parameters; an unknown
// name is a fault, and templates reach neither files nor the host.
package graph
