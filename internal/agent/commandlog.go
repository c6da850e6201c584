package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/wire"
)

var commandsSent = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "sableusher_commands_sent_total",
	Help: "Commands sent to agents, by command and by route: direct, or in the response to a heartbeat.",
}, []string{"command", "route"})

var endedAttemptsAlive = promauto.NewCounter(prometheus.CounterOpts{
	Name: "sableusher_ended_attempts_alive_total",
	Help: "Attempts that have ended according to the records, and that an agent reported as not exited for too long.",
})

// commandNames are the names of the kinds of commands in logs and metrics.
var commandNames = map[wire.CommandKind]string{
	wire.CommandStart: "start", wire.CommandStop: "stop", wire.CommandForget: "forget",
}

// commandRoute is the way on which commands reach an agent.
type commandRoute int

// Routes of commands.
const (
	routeDirect            commandRoute = iota // a request to the agent
	routeHeartbeatResponse                     // the response to a heartbeat
)

// String returns the route's name in logs.
func (r commandRoute) String() string {
	if r == routeHeartbeatResponse {
		return "heartbeat response"
	}
	return "direct"
}

// metricLabel returns the route's label in sableusher_commands_sent_total.
func (r commandRoute) metricLabel() string {
	return [...]string{routeDirect: "direct", routeHeartbeatResponse: "response"}[r]
}

// logCommands counts each command for a machine and logs it, at debug level, with the cluster state that it is based
// on. Callers hold the cluster state's lock and mu.
func (r *Registry) logCommands(commands []wire.Command, m *machine, params commandParams) {
	route := routeDirect
	if params.heartbeatSequence != 0 {
		route = routeHeartbeatResponse
	}
	for _, command := range commands {
		name := commandNames[command.Kind]
		commandsSent.WithLabelValues(name, route.metricLabel()).Inc()
		r.logger.Debug("command sent", "command", name, "task", command.Task, "attempt", command.Attempt,
			"machine", params.recorded.Name, "shard", params.recorded.Shard, "session", m.session.id,
			"fencing_token", m.token.current, "route", route, "revision", r.clusterState.AppliedRevision(),
			"state_age", params.now.Sub(r.completeAsOf()))
	}
}

// reportEndedAttemptAlive counts and logs an attempt that has ended according to the records and that its agent has
// reported as not exited since a time.
func (r *Registry) reportEndedAttemptAlive(machineName string, task reportedTask, since, now time.Time) {
	endedAttemptsAlive.Inc()
	r.logger.Info("ended attempt reported alive", "task", task.Task, "attempt", task.Attempt,
		"machine", machineName, "state", task.State, "duration", now.Sub(since))
}
