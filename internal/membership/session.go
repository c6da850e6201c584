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

// session manages this node's registration, which is attached to a lease. Only
// the goroutine of run accesses its fields.
type session struct {
	nodeName     string
	record       record.Node
	client       *kvstore.Client
	committer    *kvstore.Committer
	cache        *kvstore.WatchCache
	clusterState *clusterstate.State
	logger       *slog.Logger

	leaseID      uint64 // 0 if there is no lease
	registeredAt uint64 // revision of the registration; 0 if not registered under this lease
}

func newSession(config Config) *session {
	return &session{
		nodeName: config.NodeName,
		record: record.Node{
			Incarnation: config.Incarnation, SchemaVersion: config.SchemaVersion, HonorsCancelRequests: true,
			ReadsNarrowedChunks: true,
		},
		client:       config.Client,
		committer:    config.Committer,
		cache:        config.Cache,
		clusterState: config.ClusterState,
		logger:       config.Logger,
	}
}

// run maintains the session until ctx is done and then closes it.
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

// maintain renews the lease or obtains a new one, and registers the node if it
// isn't registered. It reports whether to retry immediately.
func (s *session) maintain(ctx context.Context) (retryNow bool) {
	err := s.renewOrGrantLease(ctx)
	if errors.Is(err, kvstore.ErrNotFound) {
		s.logger.Info("session lease expired; opening a new session")
		s.leaseID = 0
		return true
	}
	if s.registeredAt != 0 && s.isDisplaced() {
		s.logger.Info("session record missing or replaced; registering again")
		s.registeredAt = 0
	}
	if err == nil && s.registeredAt == 0 {
		s.registeredAt, err = s.register(ctx)
		switch {
		case err == nil:
			s.logger.Info("session open", "node", s.nodeName, "incarnation", s.record.Incarnation)
		case errors.Is(err, kvstore.ErrConditionFailed):
			return true // the session record changed after it was read, for example it expired
		case errors.Is(err, kvstore.ErrRejected):
			s.leaseID = 0
		}
	}
	if err != nil && ctx.Err() == nil {
		s.logger.Debug("session renewal or registration failed", "err", err)
	}
	return false
}

// renewOrGrantLease renews the lease, or obtains one if there is none. It returns
// kvstore.ErrNotFound if the lease has expired.
func (s *session) renewOrGrantLease(ctx context.Context) error {
	if s.leaseID != 0 {
		return s.client.RenewLease(ctx, s.leaseID)
	}
	var err error
	s.leaseID, err = s.client.GrantLease(ctx, tuning.SessionTTL)
	s.registeredAt = 0
	return err
}

// register writes this process's session record and returns the revision. The
// write is conditional on the record that was read before it: if a process ends
// while its registration is in flight, the store may apply that registration
// seconds later, and it must not replace the registration of the next process.
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

// isDisplaced reports whether the session record of this process was deleted or
// replaced although the process has registered and its lease has not expired. It
// reports false until the cluster state has reached the revision of the
// registration. A process of an older version, which registers without a
// condition, can replace the record when its write is applied late. Without this
// check the displaced process would assume that it is registered and would never
// own a shard again.
func (s *session) isDisplaced() bool {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	node, exists := s.clusterState.Nodes[s.nodeName]
	return s.cache.Revision() >= s.registeredAt && (!exists || node.Incarnation != s.record.Incarnation)
}

// close revokes the lease on an orderly shutdown, so that the other nodes can take
// over this node's shards without waiting for the lease to expire.
func (s *session) close(ctx context.Context) {
	if s.leaseID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.ShutdownGrace/2)
	defer cancel()
	if err := s.client.RevokeLease(ctx, s.leaseID); err != nil {
		s.logger.Info("session lease not revoked and left to expire", "err", err)
	}
}
