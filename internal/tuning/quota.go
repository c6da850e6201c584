package tuning

import "time"

// Grants of team quotas to shards; see package quota.
const (
	// GrantSurplusRetention is how long a shard keeps a grant that is larger than needed. If the team has a limit, the
	// grant is lowered only while less than GrantReserveFraction of the limit is ungranted.
	GrantSurplusRetention = 1 * time.Second
	// GrantSmallSurplusRetention takes the place of GrantSurplusRetention if the team has a limit and the unused part
	// of the grant is at most the headroom; see GrantHeadroomFraction.
	GrantSmallSurplusRetention = 6 * time.Second
	// GrantHeadroomFraction determines the headroom, the amount by which a raised grant exceeds the requested usage. It
	// is a fraction of the team's limit divided by the number of shards. With headroom, a grant need not be changed for
	// every task.
	GrantHeadroomFraction = 0.25
	// GrantReserveFraction is the fraction of a team's limit that is kept ungranted for requests by other shards.
	// While less is ungranted, shards return the unused parts of their grants.
	GrantReserveFraction = 0.15
)
