// Package quota keeps the total usage of each team over all shards within the team's limit (safety invariant 8).
//
// A team's limit is divided into durable grants, one per shard. The owner of a shard binds a team's tasks
// only within the shard's grant. The grants add up to at most the limit, so the usage of all shards stays
// within the limit too, even if several owners bind tasks at the same time. A grant is raised when its shard
// requests more, and lowered when the shard has not used all of it for a while. Each change of a team's
// grants is one transaction on the team's record, conditional on the record's revision and on the ownership
// of the shard concerned.
//
// The package only plans changes; its caller commits them.
package quota
