package membership

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// session is this node's registration under a lease. Its fields belong to the
// goroutine of run.
type session struct {
	nodeName     string
	record       record.Node
	client       *kvstore.Client
	committer    *kvstore.Committer
	cache        *kvstore.WatchCache
	clusterState *clusterstate.State
	logger       *slog.Logger

	leaseID      uint64 // 0: none
	registeredAt uint64 // revision of the registration; 0: none under this lease
}

func newSession(config Config) *session {
	return &session{
		nodeName: config.NodeName,
		record: record.Node{
			Incarnation: config.Incarnation, SchemaVersion: config.SchemaVersion, HonorsCancelRequests: true,
		},
		client:       config.Client,
		committer:    config.Committer,
		cache:        config.Cache,
		clusterState: config.ClusterState,
		logger:       config.Logger,
	}
}

// run keeps the session until ctx ends, and then closes it.
func (s *session) run(ctx context.Context) error {
	ticker := time.NewTicker(tuning.SessionRenewInterval)
	defer ticker.Stop()
	for {
		if retryNow := s.maintain(ctx); retryNow {
			continue
		}
		select {
		case <-ctx.Done():
			s.close(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// maintain renews the lease, or grants one, and registers the node where it
// isn't. It reports whether to try again at once.
func (s *session) maintain(ctx context.Context) (retryNow bool) {
	err := s.renewOrGrantLease(ctx)
	if errors.Is(err, kvstore.ErrNotFound) {
		s.logger.Info("session expired, opening another")
		s.leaseID = 0
		return true
	}
	if s.registeredAt != 0 && s.isDisplaced() {
		s.logger.Info("session replaced by a late registration, registering again")
		s.registeredAt = 0
	}
	if err == nil && s.registeredAt == 0 {
		s.registeredAt, err = s.register(ctx)
		switch {
		case err == nil:
			s.logger.Info("session open", "node", s.nodeName, "incarnation", s.record.Incarnation)
		case errors.Is(err, kvstore.ErrConditionFailed):
			return true // the session before has just ended
		case errors.Is(err, kvstore.ErrRejected):
			s.leaseID = 0
		}
	}
	if err != nil && ctx.Err() == nil {
		s.logger.Debug("session not renewed", "err", err)
	}
	return false
}

// renewOrGrantLease fails with kvstore.ErrNotFound if the lease has expired.
func (s *session) renewOrGrantLease(ctx context.Context) error {
	if s.leaseID != 0 {
		return s.client.RenewLease(ctx, s.leaseID)
	}
	var err error
	s.leaseID, err = s.client.GrantLease(ctx, tuning.SessionTTL)
	s.registeredAt = 0
	return err
}

// register writes this process's session and returns the revision. Its
// condition is what stood there before: a process that ended before it had an
// answer leaves a registration that may be applied seconds later, and must not
// take the place of the one that follows it.
func (s *session) register(ctx context.Context) (uint64, error) {
	key := record.NodeKey(s.nodeName)
	current, err := s.client.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return 0, err
	}
	registration := kvstore.PutOp(key, s.record)
	registration.LeaseID = s.leaseID
	return s.committer.Commit(ctx, kvstore.Transaction{
		Conditions: []wire.Condition{{Key: key, ModRevision: current.ModRevision}},
		Ops:        []wire.Op{registration},
		Priority:   kvstore.PriorityUrgent,
	})
}

// isDisplaced reports whether the cluster state, which holds this process's
// registration, shows another or none though its lease lives: a version before
// registrations had conditions may have written late. Such a process once went
// on believing itself registered and never owned anything again.
func (s *session) isDisplaced() bool {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	node, exists := s.clusterState.Nodes[s.nodeName]
	return s.cache.Revision() >= s.registeredAt && (!exists || node.Incarnation != s.record.Incarnation)
}

// close ends the session of a node that stops in order, so that the others take
// over its shards at once rather than after the lease's expiry.
func (s *session) close(ctx context.Context) {
	if s.leaseID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ShutdownGrace/2)
	defer cancel()
	if err := s.client.RevokeLease(ctx, s.leaseID); err != nil {
		s.logger.Info("session left to expire", "err", err)
	}
}
