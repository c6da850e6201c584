// Package tuning holds the tuning constants of the service, grouped by the package that uses them. It has no
// state and imports no other package of the project, so that every package may import it. Settings that operators
// or the platform choose are in package config.
package tuning
