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
	// Commit returns the revision at which a transaction was applied. kvstore.ErrConditionFailed
	// and kvstore.ErrUnavailable prove that it was not applied, and after kvstore.ErrRejected it counts as not
	// applied. After any other error it may or may not have been applied.
	Commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error)
	// MaxRecordBytes returns the largest allowed size of a record encoded as JSON, in bytes.
	MaxRecordBytes() int
	// UpcomingMaxRecordBytes is MaxRecordBytes under the limits that the store is known to get later.
	UpcomingMaxRecordBytes() int
}

// ReadBarrier reports how recent the cluster state is.
type ReadBarrier interface {
	// WaitForReadBarrier returns once the cluster state holds every change made before the call.
	WaitForReadBarrier(ctx context.Context) error
	// CompleteAsOf returns the latest time as of which the cluster state is known to hold every change; zero if there
	// is none yet.
	CompleteAsOf() time.Time
}

// AgentRegistry handles agents' heartbeats.
type AgentRegistry interface {
	HandleHeartbeat(heartbeat *wire.Heartbeat) agent.HeartbeatResult
}

// Config holds the dependencies of a Server.
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

// Server serves users, agents and health checks. It is safe for concurrent use.
type Server struct {
	clusterState  *clusterstate.State
	committer     Committer
	barrier       ReadBarrier
	agents        AgentRegistry
	finalRecords  *finalRecordCache
	teamsByName   map[string]config.Team
	retryPolicies retry.Policies
	logger        *slog.Logger

	requestSlots      chan struct{} // bounds the user requests that are served concurrently
	cancellationSlots chan struct{} // bounds the cancellations that wait for the release of tasks
}

// New returns a server; it starts no goroutine.
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

// Handler returns the handler that routes all requests.
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

// limitConcurrency answers errBusy without waiting while tuning.MaxConcurrentRequests requests are being served.
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
