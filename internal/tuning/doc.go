// Package tuning holds the constants of the service, grouped by the package that uses them, each with
// its unit and the reason for its value. It has no state and imports nothing of the project, so that
// every package may import it. Settings that operators or the platform choose are in package config.
package tuning
