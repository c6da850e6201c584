package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Committer commits transactions to the key-value store.
type Committer interface {
	// Commit gives the revision at which a transaction was applied. kvstore.ErrConditionFailed proves
	// that it was not; any other error leaves that open.
	Commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error)
	// MaxRecordBytes is the most that a record may take, as JSON.
	MaxRecordBytes() int
	// UpcomingMaxRecordBytes is the same under the limits that are known to come.
	UpcomingMaxRecordBytes() int
}

// ReadBarrier is how recent the cluster state is.
type ReadBarrier interface {
	// WaitForReadBarrier returns once the cluster state holds every change made before the call.
	WaitForReadBarrier(ctx context.Context) error
	// CompleteAsOf is the time as of which the cluster state held every change; zero if it never did.
	CompleteAsOf() time.Time
	// Revision is the one up to which the cluster state holds every change; this node's own changes run
	// ahead of it.
	Revision() uint64
}

// AgentRegistry answers heartbeats.
type AgentRegistry interface {
	HandleHeartbeat(heartbeat *wire.Heartbeat) agent.HeartbeatResult
}

// Config is what a server is made of.
type Config struct {
	Settings     *config.Settings
	Operator     *config.Operator
	ClusterState *clusterstate.State
	Reader       kvstore.Reader
	Committer    Committer
	Barrier      ReadBarrier
	Agents       AgentRegistry
	Logger       *slog.Logger
}

// Server answers users, agents and health checks. It is safe for concurrent use.
type Server struct {
	clusterState  *clusterstate.State
	committer     Committer
	barrier       ReadBarrier
	agents        AgentRegistry
	finalRecords  *finalRecordCache
	teamsByName   map[string]config.Team
	retryPolicies retry.Policies
	logger        *slog.Logger

	requestSlots      chan struct{} // bounds the requests of users that are served at once
	cancellationSlots chan struct{} // bounds the cancellations that wait for tasks to be released
}

// New makes a server; it starts nothing.
func New(c Config) *Server {
	teamsByName := map[string]config.Team{}
	for _, team := range c.Settings.Deployment.Teams {
		teamsByName[team.Name] = team
	}
	return &Server{
		clusterState:      c.ClusterState,
		committer:         c.Committer,
		barrier:           c.Barrier,
		agents:            c.Agents,
		finalRecords:      newFinalRecordCache(c.Reader),
		teamsByName:       teamsByName,
		retryPolicies:     retry.NewPolicies(c.Operator.Classes),
		logger:            c.Logger,
		requestSlots:      make(chan struct{}, tuning.MaxConcurrentRequests),
		cancellationSlots: make(chan struct{}, tuning.MaxWaitingCancels),
	}
}

// Handler routes the requests.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/ready", s.handleReady)
	router.Handle("/metrics", promhttp.Handler())
	router.Post("/agent/beat", s.handleHeartbeat)
	router.Group(func(users chi.Router) {
		users.Use(s.limitConcurrency)
		users.Post("/v1/jobs", s.handleSubmit)
		users.Get("/v1/jobs/{id}", s.handleStatus)
		users.Post("/v1/jobs/{id}/abort", s.handleCancel)
	})
	return router
}

// limitConcurrency answers at once while too many requests are being served.
func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
			next.ServeHTTP(w, r)
		default:
			writeError(w, errBusy)
		}
	})
}
