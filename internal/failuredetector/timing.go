package failuredetector

import (
	"time"

	"sableusher/internal/tuning"
)

// Timing has the durations that the deployment sets.
type Timing struct {
	HeartbeatInterval time.Duration // time between an agent's heartbeats
	LeaseDuration     time.Duration // validity of a lease after the heartbeat that renewed it
}

// probeAfter returns the silence after which a machine is probed with a direct command.
func (t Timing) probeAfter() time.Duration {
	return scaleDuration(t.HeartbeatInterval, tuning.ProbeAfterIntervals)
}

// deadAfter returns the silence after which a machine that could not be probed counts as dead.
func (t Timing) deadAfter() time.Duration {
	return scaleDuration(t.HeartbeatInterval, tuning.DeadAfterIntervals)
}

// deadAfterProbe returns the silence after which a machine counts as dead if a probe with the given timeout got no
// response.
func (t Timing) deadAfterProbe(probeTimeout time.Duration) time.Duration {
	return min(t.deadAfter(), t.probeAfter()+probeTimeout+tuning.SweepInterval)
}

// scaleDuration returns duration multiplied by factor.
func scaleDuration(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
