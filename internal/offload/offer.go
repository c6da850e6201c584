package offload

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// offer is a job that is chosen to be offloaded to a cell.
type offer struct {
	job  *clusterstate.Job
	cell string
}

// offeredJob identifies a job that is offloaded once the change of its cellOffers is committed.
type offeredJob struct {
	id     string
	number uint64 // number of the transfer
}

// cellOffers holds the offers to one cell. They are committed as one change.
type cellOffers struct {
	change recordChange
	stored record.Cell // the cell's record, updated by the transfer numbers of the offers
	jobs   []offeredJob
}

// offerJobs chooses the jobs that are expected to start sooner in another cell and records them as offloaded to it.
// The next exchange sends the offers; by then they are durable.
func (o *Offloader) offerJobs(ctx context.Context) error {
	var errs []error
	for cell, offers := range o.planOffers(time.Now()) {
		if len(offers.jobs) == 0 {
			continue
		}
		offers.change.ops = append(offers.change.ops, kvstore.PutOp(record.CellKey(cell), offers.stored))
		if err := o.commit(ctx, offers.change); err != nil {
			errs = append(errs, err)
			continue
		}
		for _, job := range offers.jobs {
			o.logger.Info("job offloaded", "job_id", job.id, "cell", cell, "transfer", job.number)
		}
	}
	return errors.Join(errs...)
}

// planOffers chooses the jobs to offload and returns the offers to each cell, by its name.
func (o *Offloader) planOffers(now time.Time) map[string]*cellOffers {
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	targets := o.targetCells()
	if len(targets) == 0 {
		return nil
	}
	offersByCell := map[string]*cellOffers{}
	for _, offer := range o.chooseOffers(now, targets) {
		offers := offersByCell[offer.cell]
		if offers == nil {
			offers = &cellOffers{stored: o.cellRecord(offer.cell)}
			offers.change, _ = o.newChange(offer.cell)
			offersByCell[offer.cell] = offers
		}
		o.addOffer(offers, offer, now)
	}
	return offersByCell
}

// addOffer adds a job to the offers to a cell, unless it can't be offloaded or the transaction is full. Callers hold
// the lock of the cluster state.
func (o *Offloader) addOffer(offers *cellOffers, offer offer, now time.Time) {
	number := offers.stored.LastSentTransfer + 1
	_, ok := homeTransfer(offer.job).Offload(number)
	if !ok || len(offers.change.ops) >= o.committer.MaxTransactionOps()-1 {
		return
	}
	offers.stored.LastSentTransfer = number
	transfer := &record.Transfer{Cell: offer.cell, Number: number, Epoch: o.operator.CellEpoch}
	offers.change.addJobRewrite(offer.job, func(stored *record.Job) {
		stored.OffloadedTo, stored.OffloadedAtMs = transfer, now.UnixMilli()
	})
	offers.jobs = append(offers.jobs, offeredJob{id: offer.job.Spec.ID, number: number})
}

// targetCells returns the cells that jobs may be offered to. Callers hold the lock of the cluster state.
func (o *Offloader) targetCells() []federation.TargetCell {
	var targets []federation.TargetCell
	for _, cell := range o.operator.Cells {
		stored := o.cellRecord(cell.Name)
		if o.inventoryReceived(stored) && memberOf(cell.Name, stored).AcceptsOffers() {
			targets = append(targets, federation.TargetCell{
				Name:            cell.Name,
				Digest:          o.lastDigest(cell.Name),
				TransferSeconds: cell.TransferSeconds,
			})
		}
	}
	return targets
}

// lastDigest returns the last digest received from a cell, or the zero value if there is none.
func (o *Offloader) lastDigest(cell string) federation.Digest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers[cell].digest
}

// countInFlight returns, for each target cell, the number of tasks that were offloaded to it since its digest was
// taken, which may be one tuning.CellExchangeInterval before the digest arrived. Callers hold the lock of the
// cluster state.
func (o *Offloader) countInFlight(targets []federation.TargetCell) map[string]int {
	digestTakenAt := map[string]time.Time{}
	for _, target := range targets {
		digestTakenAt[target.Name] = target.Digest.ReceivedAt.Add(-tuning.CellExchangeInterval)
	}
	inFlight := map[string]int{}
	for _, job := range o.clusterState.Jobs {
		if !job.HasRecord || job.OffloadedTo == nil {
			continue
		}
		takenAt, isTarget := digestTakenAt[job.OffloadedTo.Cell]
		if isTarget && time.UnixMilli(job.OffloadedAtMs).After(takenAt) {
			inFlight[job.OffloadedTo.Cell] += job.Spec.TaskCount
		}
	}
	return inFlight
}

// chooseOffers chooses the jobs to offload and a cell for each. It considers jobs in the order of their IDs and
// chooses at most tuning.MaxOffloadsPerExchange. Callers hold the lock of the cluster state.
func (o *Offloader) chooseOffers(now time.Time, targets []federation.TargetCell) []offer {
	inFlight := o.countInFlight(targets)
	waitByRank := map[int]float64{}
	var offers []offer
	for _, id := range slices.Sorted(maps.Keys(o.clusterState.Jobs)) {
		job := o.clusterState.Jobs[id]
		if len(offers) >= tuning.MaxOffloadsPerExchange || !job.CanStart() || !o.canBeOffloaded(job) {
			continue
		}
		rank := job.Spec.Priority.Rank()
		if _, known := waitByRank[rank]; !known {
			waitByRank[rank] = o.expectedWaitSeconds(rank)
		}
		for i := range targets {
			targets[i].TasksInFlight = inFlight[targets[i].Name]
		}
		candidate := candidateOf(job, max(waitByRank[rank], now.Sub(job.ReadySince()).Seconds()))
		random := rand.New(rand.NewPCG(rand.Uint64(), 1))
		if cell, ok := federation.ChooseCell(now, candidate, targets, random); ok {
			offers = append(offers, offer{job: job, cell: cell})
			inFlight[cell] += job.Spec.TaskCount
		}
	}
	return offers
}

// candidateOf converts a job to a candidate for federation.ChooseCell.
func candidateOf(job *clusterstate.Job, localWaitSeconds float64) *federation.OffloadCandidate {
	return &federation.OffloadCandidate{
		JobID:            job.Spec.ID,
		TaskResources:    record.TaskResources(&job.Spec),
		TaskCount:        job.Spec.TaskCount,
		SameZone:         job.Spec.SameZone,
		MachineTypes:     job.Spec.MachineTypes,
		AllowSpot:        job.Spec.AllowSpot,
		PriorityRank:     job.Spec.Priority.Rank(),
		Image:            job.Spec.Image,
		ImageSizeGB:      job.Spec.ImageSizeGB,
		LocalWaitSeconds: localWaitSeconds,
		OffloadedHere:    job.OffloadedFrom != nil,
	}
}

// canBeOffloaded reports whether a job may be offloaded: its team has neither a limit nor a guarantee, none of its
// tasks has started, nothing in its specification ties it to this cell, it is stored in a single record, and it has
// been ready for longer than tuning.OffloadMinWait. Callers hold the lock of the cluster state.
func (o *Offloader) canBeOffloaded(job *clusterstate.Job) bool {
	team, known := o.teamsByName[job.Spec.Team]
	hasLimit := team.GPUsMax != 0 || team.CPUsMax != 0
	hasGuarantee := team.GPUs != 0 || team.CPUs != 0
	return known && !hasLimit && !hasGuarantee && isLocalAndUnstarted(job) && isPortable(&job.Spec) &&
		time.Since(job.ReadySince()) > tuning.OffloadMinWait
}

// isLocalAndUnstarted reports whether a job belongs to this cell and is not offloaded, has no bound or done tasks,
// and is stored in a single record.
func isLocalAndUnstarted(job *clusterstate.Job) bool {
	return job.OffloadedFrom == nil && job.OffloadedTo == nil && job.BoundCount == 0 && job.DoneCount == 0 &&
		job.ChunkCount() == 1 && len(job.FurtherChunkKeys()) == 0
}

// isPortable reports whether nothing in a job's specification ties it to this cell.
func isPortable(spec *wire.JobSpec) bool {
	return spec.Kind != wire.KindService && len(spec.Dependencies) == 0 && spec.Zone == "" && spec.MaxRetries == nil
}
