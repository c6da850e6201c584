package autoscaler

import (
	"context"
	"slices"
	"time"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// catalogRetryInterval is how long a controller that is not the leader waits before it reads the
// catalog again while none is known.
const catalogRetryInterval = 5 * time.Second

// catalogRefresher keeps the machine types in the key-value store, so that a controller that starts
// while the cloud is away knows them.
type catalogRefresher struct {
	autoscaler *Autoscaler
	lastRead   time.Time
}

// refresh reads the catalog if it is due and records it. Any controller does so while no catalog is
// known, and the leader from time to time.
func (r *catalogRefresher) refresh(ctx context.Context) {
	a := r.autoscaler
	a.state.RLock()
	isKnown, modRevision := len(a.state.Catalog.Types) > 0, a.state.Catalog.ModRevision
	leader, isLeader := a.leadership()
	a.state.RUnlock()
	if !r.isDue(isKnown, isLeader) {
		return
	}
	r.lastRead = time.Now()
	catalog, err := a.cloud.Catalog(ctx)
	if err != nil || len(catalog.Types) == 0 {
		a.log.Info("catalog not read", "err", err)
		return
	}
	conditions := []wire.Condition{{Key: record.CatalogKey, ModRevision: modRevision}}
	if isLeader {
		conditions = append(conditions, leader)
	}
	for _, ops := range a.catalogOps(catalog) {
		if _, err := a.commit(ctx, kvstore.Transaction{Conditions: conditions, Ops: ops}); err != nil {
			a.log.Debug("catalog not written", "err", err)
		}
	}
}

func (r *catalogRefresher) isDue(isKnown, isLeader bool) bool {
	sinceLastRead := time.Since(r.lastRead)
	switch {
	case isKnown:
		return isLeader && sinceLastRead >= tuning.CatalogInterval
	case isLeader:
		return true
	default:
		return sinceLastRead >= catalogRetryInterval
	}
}

// catalogOps returns the operations that record a catalog, by transaction: one record, or where
// that would be too long, one for each type. Once it is kept by type it stays so, as those records
// take precedence.
func (a *Autoscaler) catalogOps(catalog wire.Catalog) [][]wire.Op {
	whole := kvstore.PutOp(record.CatalogKey, catalog)
	a.state.RLock()
	version, isByType := a.state.SchemaVersion, a.state.Catalog.KeptByType()
	a.state.RUnlock()
	fitsOneRecord := !isByType && wire.JSONSize(whole.Value) <= a.committer.MaxRecordBytes()
	if version < tuning.SchemaVersionDependencies || fitsOneRecord {
		return [][]wire.Op{{whole}}
	}
	var ops []wire.Op
	for _, machineType := range catalog.Types {
		ops = append(ops, kvstore.PutOp(record.MachineTypeKey(machineType.Name), machineType))
	}
	return slices.Collect(slices.Chunk(ops, a.committer.MaxTransactionOps()))
}
