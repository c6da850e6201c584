package tuning

import "time"

// Teams.
const (
	// GrantIdleHold is how long a shard keeps a granted share that its tasks do not use, once other shards may want
	// it.
	GrantIdleHold = 1 * time.Second
	// GrantSmallRestHold is how long it keeps less than a lot of it.
	GrantSmallRestHold = 6 * time.Second
	// GrantLotShare is how much more than it needs a shard is granted, as a share of the team's limit over the
	// shards: grants follow use in lots, not task by task.
	GrantLotShare = 0.25
	// GrantReserveShare is the share of a limit that is to be left ungranted for shards that want more; below it
	// shards give back what they do not use.
	GrantReserveShare = 0.15
)
