// Package config reads and validates the platform's settings (TOML) and the operators'
// settings (XML). It defines their format, their bounds and the messages about invalid values;
// it keeps no state and never writes a file.
//
// Its checks guarantee two relations that the handling of agents relies on: the lease duration
// is at least the heartbeat interval, and the cancel deadline is longer than the lease duration,
// so that a lease that is no longer renewed expires before the deadline.
package config
