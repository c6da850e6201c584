// Package tuning holds the tuning constants of the service, grouped by the package that uses them. The name or the
// type of a constant gives its unit; its comment gives the reason for the value where a reader would wonder. The
// package has no state and imports no other package of the project, so that every package may import it. Settings
// that operators or the platform choose are in package config.
package tuning
