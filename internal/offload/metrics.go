package offload

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/federation"
)

var standingGauge = promauto.NewGaugeVec(prometheus.GaugeOpts{
	Name: "sableusher_cell_standing",
	Help: "1 for the standing of each other cell, once it has changed while this node led.",
}, []string{"cell", "standing"})

// setStandingGauge sets the gauge of a cell to 1 for its present standing and to 0 for all others.
func setStandingGauge(cell string, present federation.Standing) {
	for _, standing := range federation.AllStandings {
		value := 0.0
		if standing == present {
			value = 1
		}
		standingGauge.WithLabelValues(cell, standing.String()).Set(value)
	}
}
