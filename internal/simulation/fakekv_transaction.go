package simulation

import (
	"net/http"
	"slices"
	"time"

	"sableusher/internal/wire"
)

// serveTransaction executes a transaction, and drops the response if a fault selects it.
func (kv *FakeKV) serveTransaction(w http.ResponseWriter, r *http.Request, body []byte) {
	before := kv.revision
	kv.commit(w, body)
	if kv.revision > before && kv.faults.duplicateWrites.occurs() {
		go kv.applyCopyLater(body, kv.faults.duplicateWrites.duration(2*time.Second, 30*time.Second))
	}
	if !kv.faults.lostResponses.occurs() {
		return
	}
	loseResponse(w)
	if kv.revision > before {
		kv.faults.lostResponseWriters[kv.revision] = r.Header.Get(sourceHeader)
	}
}

// commit applies all operations of a transaction under one revision if all its conditions hold, and writes the
// response.
func (kv *FakeKV) commit(w http.ResponseWriter, body []byte) {
	var txn wire.TxnRequest
	if err := wire.Decode(body, &txn); err != nil || len(txn.Ops) > kv.limits.maxTxnOps ||
		len(txn.Conditions) > 4*kv.limits.maxTxnOps || len(body) > maxRequestBytes {
		kv.rejectInvalid(w, "transaction malformed or over its limits")
		return
	}
	if !kv.limits.writes.take(float64(len(txn.Ops))) {
		kv.RateLimited++
		wire.WriteResponse(w, http.StatusTooManyRequests, nil)
		return
	}
	if !kv.acceptOps(w, txn.Ops) {
		return
	}
	if failed := kv.failedKeys(txn.Conditions); len(failed) > 0 {
		wire.WriteResponse(w, http.StatusConflict, wire.TxnResponse{FailedKeys: failed, Revision: kv.revision})
		return
	}
	kv.applyAll(txn.Ops)
	wire.WriteResponse(w, http.StatusOK, wire.TxnResponse{Revision: kv.revision})
}

// applyAll applies operations under one revision.
func (kv *FakeKV) applyAll(ops []wire.Op) {
	if len(ops) > 0 {
		kv.revision++
	}
	for _, op := range ops {
		kv.apply(op)
	}
}

// applyCopyLater applies a transaction that was applied before once more, after a delay, if its conditions hold again.
func (kv *FakeKV) applyCopyLater(body []byte, delay time.Duration) {
	time.Sleep(delay)
	kv.mu.Lock()
	defer kv.mu.Unlock()
	var txn wire.TxnRequest
	_ = wire.Decode(body, &txn)
	leaseGone := slices.ContainsFunc(txn.Ops, func(op wire.Op) bool {
		return op.LeaseID != 0 && kv.leases[op.LeaseID] == nil
	})
	kv.TransactionCopies++
	if leaseGone || len(kv.failedKeys(txn.Conditions)) > 0 {
		return
	}
	kv.applyAll(txn.Ops)
	for _, op := range txn.Ops {
		kv.ReappliedKeys = append(kv.ReappliedKeys, op.Key())
	}
}

// acceptOps reports whether all operations are well formed and within the limits. If not, it writes the error
// response.
func (kv *FakeKV) acceptOps(w http.ResponseWriter, ops []wire.Op) bool {
	for _, op := range ops {
		oversize := op.PutKey != "" && float64(wire.JSONSize(op.Value)) > kv.limits.maxValueKB*1024
		if oversize || op.Key() == "" || op.PutKey != "" && op.DeleteKey != "" {
			kv.rejectInvalid(w, "operation malformed or its value over the limit: "+op.Key())
			return false
		}
		if op.LeaseID != 0 && kv.leases[op.LeaseID] == nil {
			wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: "no such lease"})
			return false
		}
	}
	return true
}

// rejectInvalid refuses a request that is malformed or over the limits, and records a violation. After the limits were
// lowered it counts the request instead, as the controllers don't know the new limits.
func (kv *FakeKV) rejectInvalid(w http.ResponseWriter, violation string) {
	if kv.limits.lowered {
		kv.OversizeRequests++
	} else {
		kv.Violations = append(kv.Violations, violation)
	}
	wire.WriteResponse(w, http.StatusBadRequest, nil)
}

// failedKeys returns the keys of the conditions that don't hold.
func (kv *FakeKV) failedKeys(conditions []wire.Condition) []string {
	var failed []string
	for _, condition := range conditions {
		if kv.rows[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// apply applies one operation under the current revision.
func (kv *FakeKV) apply(op wire.Op) {
	if op.PutKey == "" {
		if _, ok := kv.rows[op.DeleteKey]; ok {
			delete(kv.rows, op.DeleteKey)
			kv.appendEvent(wire.Event{DeleteKey: op.DeleteKey, ModRevision: kv.revision})
		}
		return
	}
	if kv.OnWrite != nil {
		kv.OnWrite(op.PutKey, op.Value)
	}
	kv.rows[op.PutKey] = wire.KeyValue{
		Key:         op.PutKey,
		Value:       slices.Clone(op.Value),
		ModRevision: kv.revision,
		LeaseID:     op.LeaseID,
	}
	kv.appendEvent(wire.Event{PutKey: op.PutKey, Value: slices.Clone(op.Value), ModRevision: kv.revision})
}
