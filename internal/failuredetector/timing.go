package failuredetector

import (
	"time"

	"sableusher/internal/tuning"
)

// Timing has the deployment's times.
type Timing struct {
	HeartbeatInterval time.Duration // between the heartbeats of an agent
	LeaseDuration     time.Duration // how long a lease lasts after the heartbeat that renewed it
}

// probeAfter is the silence after which a machine is probed by a direct command.
func (t Timing) probeAfter() time.Duration {
	return scaleDuration(t.HeartbeatInterval, tuning.ProbeAfterIntervals)
}

// deadAfter is the silence after which a machine is dead if it could not be probed.
func (t Timing) deadAfter() time.Duration {
	return scaleDuration(t.HeartbeatInterval, tuning.DeadAfterIntervals)
}

// deadAfterProbe is the silence after which a machine is dead if a probe of some timeout got no answer.
func (t Timing) deadAfterProbe(probeTimeout time.Duration) time.Duration {
	return min(t.deadAfter(), t.probeAfter()+probeTimeout+tuning.SweepInterval)
}

// scaleDuration is a duration times a factor.
func scaleDuration(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
