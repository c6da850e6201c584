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
	// Exchange sends a message to a cell's leader, whichever of its nodes that is, and returns the answer.
	Exchange(ctx context.Context, to config.Cell, message Message) (Message, error)
}

// Committer commits transactions to the key-value store.
type Committer interface {
	Commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error)
	MaxTransactionOps() int
	UpcomingMaxRecordBytes() int
}

// Owner tells which shards this node owns. Callers hold the lock of the cluster state.
type Owner interface {
	Ownership(shard int) (membership.Ownership, bool)
}

// Config is what an Offloader works with.
type Config struct {
	Operator     *config.Operator
	Teams        []config.Team
	ClusterState *clusterstate.State
	Ownership    Owner
	Committer    Committer
	Transport    Transport
	Logger       *slog.Logger
}

// Offloader is one node's part in the exchange of jobs. Its methods are safe for concurrent use.
type Offloader struct {
	operator     *config.Operator
	clusterState *clusterstate.State
	ownership    Owner
	committer    Committer
	transport    Transport
	teamsByName  map[string]config.Team
	logger       *slog.Logger

	peers map[string]*peerState // by the name of the cell; the map never changes
	mu    sync.Mutex            // guards the values of peers; it may be taken under the cluster state's lock

	answerSlot chan struct{} // of capacity 1, filled by the one answer at a time: their changes would conflict
}

// New returns an Offloader. Without cells in the operators' settings it does nothing.
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
		answerSlot:   make(chan struct{}, 1),
	}
	for _, team := range c.Teams {
		o.teamsByName[team.Name] = team
	}
	for _, cell := range c.Operator.Cells {
		o.peers[cell.Name] = &peerState{heldTransfers: map[uint64]bool{}}
	}
	return o
}

// Run exchanges jobs with the other cells while this node is the leader, until ctx ends; it returns its error.
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

// isActive tells whether this node is the leader and records about cells may be written.
func (o *Offloader) isActive() bool {
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	return o.isLeader() && o.recordsEnabled()
}

// isLeader tells whether this node is the leader. Callers hold the lock of the cluster state.
func (o *Offloader) isLeader() bool {
	_, leads := o.ownership.Ownership(record.LeaderShard)
	return leads
}

// recordsEnabled tells whether all nodes can read records about cells. Callers hold the lock of the cluster
// state.
func (o *Offloader) recordsEnabled() bool {
	return o.clusterState.SchemaVersion >= tuning.SchemaVersionOffload
}

// runOnce exchanges messages with all cells, then forgets those that the operators name, then offers jobs.
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

// exchangeOrSuspect exchanges messages with a cell. If that fails its standing is brought up to date all the
// same: a silent cell becomes suspected and then lost by time alone.
func (o *Offloader) exchangeOrSuspect(ctx context.Context, cell config.Cell) {
	err := o.exchange(ctx, cell)
	if err == nil {
		return
	}
	err = errors.Join(err, o.updateStanding(ctx, cell.Name, standingEvidence{}))
	o.logger.Debug("cell exchange failed", "cell", cell.Name, "err", err)
}

// peerState is what this process knows of another cell beside its record.
type peerState struct {
	lastContact     time.Time
	epoch           uint64
	draining        bool
	digest          federation.Digest
	endedTransfers  []uint64        // its transfers whose result is known here, to be acknowledged
	heldTransfers   map[uint64]bool // transfers that it is known to hold
	nextHeldRequest int             // where the requests about those of the next message begin
}
