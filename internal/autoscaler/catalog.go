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

// catalogRetryInterval is the interval at which a node that is not the leader reads the catalog
// from the cloud while no catalog is known.
const catalogRetryInterval = 5 * time.Second

// catalogRefresher copies the cloud's catalog of machine types into the key-value store, so that a
// node that starts while the cloud is unavailable has the machine types.
type catalogRefresher struct {
	autoscaler *Autoscaler
	lastRead   time.Time
}

// refresh reads the catalog from the cloud and records it, if a read is due. While no catalog is known,
// any node reads it; after that, only the leader does, every tuning.CatalogInterval.
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
		a.log.Info("reading the machine catalog failed or returned no types", "err", err)
		return
	}
	conditions := []wire.Condition{{Key: record.CatalogKey, ModRevision: modRevision}}
	if isLeader {
		conditions = append(conditions, leader)
	}
	for _, ops := range a.catalogOps(catalog) {
		if _, err := a.commit(ctx, kvstore.Transaction{Conditions: conditions, Ops: ops}); err != nil {
			a.log.Debug("recording the machine catalog failed", "err", err)
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

// catalogOps returns the operations that record a catalog, grouped by transaction. The catalog is one
// record, or one record for each machine type if a single record would be too long. Once records by
// type exist, the catalog is always written by type, because these records take precedence over the
// single one.
func (a *Autoscaler) catalogOps(catalog wire.Catalog) [][]wire.Op {
	whole := kvstore.PutOp(record.CatalogKey, catalog)
	a.state.RLock()
	version, isByType := a.state.SchemaVersion, a.state.Catalog.HasSingleTypeRecords()
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
