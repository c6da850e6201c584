package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/failuredetector"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/zonehealth"
)

var zoneStateGauge = promauto.NewGaugeVec(prometheus.GaugeOpts{
	Name: "sableusher_zone_state",
	Help: "1 for the state of each zone as this node sees it, once it has changed.",
}, []string{"zone", "state"})

// UnavailableZones returns the zones that are partitioned from this node or lost.
func (e *Engine) UnavailableZones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failureDetector.UnavailableZones()
}

// zoneHeartbeatLog holds the heartbeat count that was last logged for each zone.
type zoneHeartbeatLog map[string]zonehealth.HeartbeatCount

// report logs the heartbeat counts on which the states of the zones are based, for each zone whose count has changed.
func (l zoneHeartbeatLog) report(log *slog.Logger, assessment *failuredetector.Assessment, zones *zonehealth.Tracker) {
	for zone, count := range assessment.ZoneHeartbeats {
		if last, logged := l[zone]; logged && last == count {
			continue
		}
		l[zone] = count
		log.Debug("zone heartbeats counted", "zone", zone, "expected", count.Expected, "received", count.Received,
			"judged_from", tuning.PartitionMinMachines, "state", zones.State(zone))
	}
}

// reportZones logs the changes of the zones' states and updates the metric.
func (c *cycle) reportZones(assessment *failuredetector.Assessment) {
	for _, change := range assessment.ZoneChanges {
		c.log.Info("zone state changed", "zone", change.Zone, "state", change.To, "former_state", change.From,
			"duration", change.TimeInFormerState.Round(time.Second), "waiting_for", change.WaitingFor)
		for _, state := range zonehealth.States {
			value := 0.0
			if state == change.To {
				value = 1
			}
			zoneStateGauge.WithLabelValues(change.Zone, state.String()).Set(value)
		}
	}
	c.zoneHeartbeats.report(c.log, assessment, c.failureDetector.Zones())
	for zone, summary := range assessment.ZoneReturns {
		c.log.Info("zone is reachable again", "zone", zone, "continued", summary.Continued,
			"restarted", summary.Restarted, "deleted", summary.Deleted, "added", summary.Added)
	}
}

// controllerInZone reports whether a controller runs in a zone and would renew leases there while the zone is
// partitioned from this node. That requires a schema version of at least tuning.SchemaVersionConfirmedCancel.
func (c *cycle) controllerInZone(zone string) bool {
	if c.cluster.SchemaVersion < tuning.SchemaVersionConfirmedCancel {
		return false
	}
	inZone := func(peer config.Peer) bool { return peer.Zone == zone }
	return c.settings.Zone == zone || slices.ContainsFunc(c.settings.Peers, inZone)
}

// countAvailableZones returns the number of zones of the catalog that are neither partitioned from this node nor lost.
func (c *cycle) countAvailableZones() int {
	available := map[string]bool{}
	for _, machineType := range c.cluster.Catalog.Types {
		for _, zone := range machineType.Zones {
			if !c.failureDetector.ZoneUnavailable(zone) {
				available[zone] = true
			}
		}
	}
	return len(available)
}

// serviceCanMove reports whether a machine is in an unavailable zone and runs a service that could start in another
// zone. availableZones is the number of available zones.
func (c *cycle) serviceCanMove(machine *clusterstate.Machine, availableZones int) bool {
	if !c.failureDetector.ZoneUnavailable(machine.Zone) || availableZones == 0 {
		return false
	}
	for _, binding := range machine.Bindings {
		spec := &binding.Job.Spec
		if spec.Kind != wire.KindService || spec.Zone != "" {
			continue
		}
		// At most half of the tasks of a spread service may be in one zone. If only one zone is available, that half
		// usually runs there already, and none of the other tasks can move there.
		if availableZones > 1 || !spec.Spread || spec.TaskCount == 1 {
			return true
		}
	}
	return false
}
