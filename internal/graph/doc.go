// Package graph reads Airflow-style graphs from files, checks them, and compiles a run of
// one to native jobs. It submits nothing: what it gives are the very bodies that users
// submit, so that nothing passes here that would not pass there.
//
// A file is YAML or JSON, checked against the schema that Schema gives. Faults come all at
// once, each with file, line, column and path. Every string in a task's description is a
// Jinja template over the run's date, id and parameters; a name that is not there is a
// fault, and templates reach neither files nor the host.
package graph
