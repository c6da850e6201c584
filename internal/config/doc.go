// Package config reads and validates the platform's settings (TOML) and the operators' own
// (XML). It owns their form, their bounds and the texts of what is wrong with them; it keeps
// no state and never writes a file.
//
// The timing of agents rests on it: a lease is at least as long as the interval of
// heartbeats, and a cancelled job has more time than a lease, so that a lease that nobody
// renews has ended before the cancellation is due.
package config
