package offload

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// Transport carries messages to other cells.
type Transport interface {
	// Exchange sends a message to the leader of a cell and returns the response. It finds out which of the cell's nodes
	// is the leader.
	Exchange(ctx context.Context, to config.Cell, message Message) (Message, error)
}

// Committer commits transactions to the key-value store.
type Committer interface {
	Commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error)
	MaxTransactionOps() int
	UpcomingMaxRecordBytes() int
}

// Owner reports which shards this node owns. Callers of its methods hold the lock of the cluster state.
type Owner interface {
	Ownership(shard int) (membership.Ownership, bool)
}

// Config holds the settings and dependencies of an Offloader.
type Config struct {
	Operator     *config.Operator
	Teams        []config.Team
	ClusterState *clusterstate.State
	Ownership    Owner
	Committer    Committer
	Transport    Transport
	Logger       *slog.Logger
}

// Offloader exchanges jobs with other cells on behalf of one node. Its methods are safe for concurrent use.
type Offloader struct {
	operator     *config.Operator
	clusterState *clusterstate.State
	ownership    Owner
	committer    Committer
	transport    Transport
	teamsByName  map[string]config.Team
	logger       *slog.Logger

	peers map[string]*peerState // by cell name; the map itself never changes
	mu    sync.Mutex            // guards the values of peers; may be acquired while the cluster state is locked

	// responseSlot has capacity 1 and is filled while HandleMessage runs. Responses are computed one at a time, as
	// their changes would conflict.
	responseSlot chan struct{}
}

// New returns an Offloader. It does nothing if the operators' settings name no other cells.
func New(c Config) *Offloader {
	o := &Offloader{
		operator:     c.Operator,
		clusterState: c.ClusterState,
		ownership:    c.Ownership,
		committer:    c.Committer,
		transport:    c.Transport,
		teamsByName:  map[string]config.Team{},
		logger:       c.Logger,
		peers:        map[string]*peerState{},
		responseSlot: make(chan struct{}, 1),
	}
	for _, team := range c.Teams {
		o.teamsByName[team.Name] = team
	}
	for _, cell := range c.Operator.Cells {
		o.peers[cell.Name] = &peerState{heldTransfers: map[uint64]bool{}}
	}
	return o
}

// Run exchanges jobs with the other cells while this node is the leader. It returns ctx.Err() after ctx is done.
func (o *Offloader) Run(ctx context.Context) error {
	if len(o.operator.Cells) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(tuning.CellExchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if o.isActive() {
			o.runOnce(ctx)
		}
	}
}

// isActive reports whether this node is the leader and records about cells may be written.
func (o *Offloader) isActive() bool {
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	return o.isLeader() && o.recordsEnabled()
}

// isLeader reports whether this node is the leader. Callers hold the lock of the cluster state.
func (o *Offloader) isLeader() bool {
	_, leads := o.ownership.Ownership(record.LeaderShard)
	return leads
}

// recordsEnabled reports whether all nodes can read records about cells, by the active schema version. Callers hold
// the lock of the cluster state.
func (o *Offloader) recordsEnabled() bool {
	return o.clusterState.SchemaVersion >= tuning.SchemaVersionOffload
}

// runOnce exchanges messages with all cells, then forgets the cells that the operators declared as gone, then offers
// jobs.
func (o *Offloader) runOnce(ctx context.Context) {
	var group errgroup.Group
	for _, cell := range o.operator.Cells {
		group.Go(func() error {
			o.exchangeOrSuspect(ctx, cell)
			return nil
		})
	}
	_ = group.Wait() // no exchange returns an error
	for _, forgotten := range o.operator.ForgottenCells {
		if err := o.forgetCell(ctx, forgotten); err != nil {
			o.logger.Info("forgetting cell failed", "cell", forgotten.Name, "err", err)
		}
	}
	if err := o.offerJobs(ctx); err != nil {
		o.logger.Debug("offload offer failed", "err", err)
	}
}

// exchangeOrSuspect exchanges messages with a cell. If the exchange fails it still updates the cell's standing, since
// a silent cell becomes suspected and then lost by the passage of time.
func (o *Offloader) exchangeOrSuspect(ctx context.Context, cell config.Cell) {
	err := o.exchange(ctx, cell)
	if err == nil {
		return
	}
	err = errors.Join(err, o.updateStanding(ctx, cell.Name, standingEvidence{}))
	o.logger.Debug("cell exchange failed", "cell", cell.Name, "err", err)
}

// peerState is the in-memory state of another cell, in addition to its record. It is lost when the process ends.
type peerState struct {
	lastContact     time.Time // when the last response arrived
	epoch           uint64    // as named by the last response
	draining        bool      // as reported by the last response
	digest          federation.Digest
	endedTransfers  []uint64        // its transfers whose result is recorded here, to be acknowledged
	heldTransfers   map[uint64]bool // transfers that it is known to hold
	nextHeldRequest int             // start of the next rotation through the held transfers
}
