// Package offload exchanges work with other cells: it offers what waits to them, takes what they
// offer, and tells each what became of its own.
//
// It acts on what package cell decides. All of it is the leader's duty; every change is guarded
// by the leader's record, by the record of the other cell and by the job's own, so that a
// deposed leader changes nothing (safety invariants 11, 12 and 17). Nothing is sent before what it
// says is durable. Where the operators name no cells nothing of this runs.
package offload

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/sync/errgroup"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var standingGauge = promauto.NewGaugeVec(prometheus.GaugeOpts{Name: "sableusher_cell_standing",
	Help: "1 for the standing of each other cell, once it has changed while this node led."}, []string{"cell", "standing"})

// Transport speaks with other cells.
type Transport interface {
	// Exchange asks a cell's leader, whichever of its nodes that is.
	Exchange(ctx context.Context, to config.Cell, m Message) (Message, error)
}

// Committer commits items.
type Committer interface {
	Commit(ctx context.Context, it kvstore.Transaction) (uint64, error)
	MaxTransactionOps() int
	UpcomingMaxRecordBytes() int
}

// Owner tells what this node owns. Callers hold the world's lock.
type Owner interface {
	Ownership(shard int) (membership.Ownership, bool)
}

// ErrNotLeader: another node of this cell speaks for it.
var ErrNotLeader = errors.New("not the leader")

// Offloader is one node's part in the exchange.
type Offloader struct {
	operator     *config.Operator
	clusterState *clusterstate.State
	ownership    Owner
	committer    Committer
	transport    Transport
	teamsByName  map[string]config.Team
	logger       *slog.Logger

	mu         sync.Mutex // guards what follows
	peers      map[string]*peerState
	answerSlot chan struct{} // held by the one answer at a time: their changes would fail each other's guards
}

// peerState is what this process knows of another cell beside its record.
type peerState struct {
	lastHeard      time.Time
	epoch          uint64
	draining       bool
	digest         federation.Digest
	endedTransfers []uint64        // its transfers whose end is known here
	heldTransfers  map[uint64]bool // transfers that it is known to hold
	nextRequest    int             // where the asks about those of the next message begin
}

// New makes a node's part; without cells in the operators' settings it does nothing.
func New(operator *config.Operator, teams []config.Team, clusterState *clusterstate.State, ownership Owner, committer Committer, transport Transport, logger *slog.Logger) *Offloader {
	offloader := &Offloader{operator: operator, clusterState: clusterState, ownership: ownership, committer: committer, transport: transport, teamsByName: map[string]config.Team{}, logger: logger, peers: map[string]*peerState{}, answerSlot: make(chan struct{}, 1)}
	for _, t := range teams {
		offloader.teamsByName[t.Name] = t
	}
	for _, committer := range operator.Cells {
		offloader.peers[committer.Name] = &peerState{heldTransfers: map[uint64]bool{}}
	}
	return offloader
}

// Run speaks with the other cells until ctx ends.
func (s *Offloader) Run(ctx context.Context) error {
	if len(s.operator.Cells) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	tick := time.NewTicker(tuning.CellExchange)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		s.clusterState.RLock()
		_, leads := s.ownership.Ownership(record.LeaderShard)
		on := leads && s.clusterState.SchemaVersion >= tuning.LevelCells
		s.clusterState.RUnlock()
		if !on {
			continue
		}
		var g errgroup.Group
		for _, c := range s.operator.Cells {
			g.Go(func() error {
				err := s.exchange(ctx, c)
				if err != nil {
					// What is silent is doubted, and then lost, by time alone.
					err = errors.Join(err, s.updateStanding(ctx, c.Name, federation.EpochPair{}, false, nil))
					s.logger.Debug("cell not spoken with", "cell", c.Name, "err", err)
				}
				return nil
			})
		}
		_ = g.Wait()
		for _, f := range s.operator.Forgotten {
			if err := s.forgetCell(ctx, f); err != nil {
				s.logger.Info("cell not forgotten", "cell", f.Name, "err", err)
			}
		}
		if err := s.offerJobs(ctx); err != nil {
			s.logger.Debug("nothing offered", "err", err)
		}
	}
}

// leaderConditions are the conditions of what a leader writes about another cell. Callers hold the
// world's lock.
func (s *Offloader) leaderConditions(name string) ([]wire.Condition, bool) {
	ownership, leads := s.ownership.Ownership(record.LeaderShard)
	out := []wire.Condition{{Key: record.ShardKey(record.LeaderShard), ModRevision: ownership.ModRevision}, {Key: record.CellKey(name)}}
	if c := s.clusterState.Cells[name]; c != nil {
		out[1].ModRevision = c.ModRevision
	}
	return out, leads
}

// cellRecord gives what is kept of another cell. Callers hold the world's lock.
func (s *Offloader) cellRecord(name string) record.Cell {
	if c := s.clusterState.Cells[name]; c != nil {
		return c.Cell
	}
	return record.Cell{}
}

func (s *Offloader) commit(ctx context.Context, guards []wire.Condition, ops []wire.Op) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	_, err := s.committer.Commit(ctx, kvstore.Transaction{Conditions: guards, Ops: ops, Priority: kvstore.PriorityHigh})
	return err
}

// offloadedJobs lists the jobs that are with a cell, by number. Callers hold the world's lock.
func (s *Offloader) offloadedJobs(name string) map[uint64]*clusterstate.Job {
	out := map[uint64]*clusterstate.Job{}
	for _, j := range s.clusterState.Jobs {
		if j.HasRecord && j.OffloadedTo != nil && j.OffloadedTo.Cell == name {
			out[j.OffloadedTo.Number] = j
		}
	}
	return out
}

// hostTransfers gives what is held of a cell's, for the machine to decide by. Callers hold the world's
// lock.
func (s *Offloader) hostTransfers(name string) (federation.HostTransfers, map[uint64]*clusterstate.Job) {
	g, jobs := federation.HostTransfers{HighestNumber: s.cellRecord(name).LastReceivedTransfer}, map[uint64]*clusterstate.Job{}
	for _, j := range s.clusterState.Jobs {
		if j.HasRecord && j.OffloadedFrom != nil && j.OffloadedFrom.Cell == name {
			jobs[j.OffloadedFrom.Number] = j
			g.Transfers = append(g.Transfers, federation.HostTransfer{Number: j.OffloadedFrom.Number, Epoch: j.OffloadedFrom.Epoch, Status: federation.HostHolds, Cancelled: j.Cancelled(), Recalled: j.OffloadedFrom.Recalled})
		}
	}
	if c := s.clusterState.Cells[name]; c != nil {
		for n := range c.GuestOutcomes {
			g.Transfers = append(g.Transfers, federation.HostTransfer{Number: n, Status: federation.HostEnded})
		}
	}
	slices.SortFunc(g.Transfers, func(a, b federation.HostTransfer) int { return cmp.Compare(a.Number, b.Number) })
	return g, jobs
}

// rewriteJob is a job's own record with a change.
func rewriteJob(j *clusterstate.Job, change func(*record.Job)) (wire.Condition, wire.Op) {
	marked := *j
	change(&marked.Job)
	return wire.Condition{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}, marked.EncodeChunk(0, nil)
}
