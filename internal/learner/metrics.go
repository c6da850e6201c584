package learner

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the outcome label of refitCounter.
const (
	refitGood   = "good"
	refitFailed = "failed"
)

var (
	rewardHistogram = promauto.NewHistogram(prometheus.HistogramOpts{
		Name:    "sableusher_learn_payoff",
		Help:    "Payoffs received.",
		Buckets: prometheus.LinearBuckets(0, 0.1, 11),
	})
	explorationCounter = promauto.NewCounter(prometheus.CounterOpts{
		Name: "sableusher_learn_explored_total",
		Help: "Random picks.",
	})
	refitCounter = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "sableusher_learn_refits_total",
		Help: "Refits of the readout by outcome.",
	}, []string{"outcome"})
	refitErrorGauge = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "sableusher_learn_refit_error",
		Help: "Root mean square error of the last refit.",
	})
	chosenValueGauge = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "sableusher_learn_chosen_value",
		Help: "Value of the last choice.",
	})
)
