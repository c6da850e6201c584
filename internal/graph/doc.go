// Package graph parses and validates files that describe Airflow-style task graphs, and compiles a
// run of a graph to native jobs. It submits no jobs and keeps no state. The code that validates
// users' submissions also validates the compiled jobs, so that a graph can't contain a job that
// would be rejected if it were submitted directly. This is number 10 of the project's safety
// invariants.
//
// A file is YAML or JSON and is validated against the JSON Schema that Schema returns. All
// faults of a file are reported at once, each with line, column and path. Strings in a task's
// arguments may be Jinja templates over the run's date, id and parameters. A template that uses an
// undefined name is a fault. Templates can access neither files nor the host.
package graph
