package kvstore

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var rejectedRequests = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "sableusher_state_refusals_total",
	Help: "Requests that the key-value store rejected: for their rate, or a transaction for its form or size.",
}, []string{"why"})

// Values of the label "why" of rejectedRequests.
const (
	rejectedForRate = "rate"
	rejectedForForm = "form"
)

var outcomesFoundByWatch = promauto.NewCounter(prometheus.CounterOpts{
	Name: "sableusher_state_answers_missed_total",
	Help: "Transactions that the watch cache showed as applied before any answer came.",
})
