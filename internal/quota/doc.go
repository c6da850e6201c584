// Package quota keeps teams within their limits over all shards (safety invariant 8).
//
// A team's limit is dealt out as durable grants, one for each shard. The owner of a shard binds a team's
// tasks only within the shard's grant; as the grants sum to at most the limit, so does what runs, whoever
// else binds at the same time. Grants are raised when a shard asks for more and lowered when it has not
// used them for a while. Each change of a team's grants is one transaction on the team's record, conditional on its
// revision and on the ownership of the shard concerned.
//
// The package decides on changes only; its caller commits them.
package quota
