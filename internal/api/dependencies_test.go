package api

import (
	"fmt"
	"net/http"
	"testing"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// thirdJobID is the id of a second job that submissions depend on, beside otherJobID.
const thirdJobID = "run-000003"

func submissionWithDependencies(ids ...string) []byte {
	return encodeSpec(func(s *wire.JobSpec) { s.Dependencies = ids })
}

// putLiveJob puts a live job of a kind into the cluster state.
func (b *fakeBackend) putLiveJob(id string, kind wire.JobKind) {
	spec := testSpec()
	spec.ID, spec.Kind = id, kind
	b.putJob(record.Job{Spec: spec, SubmittedAtMs: 1})
}

// dependencyCase is a submission with dependencies and the expected HTTP status.
type dependencyCase struct {
	name    string
	body    []byte
	version int
	prepare func(*testServer)
	want    int
}

// manyDependencies returns more dependencies than a job's record can hold.
func manyDependencies() []string {
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprintf("run-%06d", i+2))
	}
	return ids
}

func acceptedDependencyCases() []dependencyCase {
	const version = tuning.SchemaVersionDependencies
	dependent := submissionWithDependencies(otherJobID)
	liveArray := func(s *testServer) { s.putLiveJob(otherJobID, wire.KindArray) }
	return []dependencyCase{
		{"none", submissionWithDependencies(), version, nil, http.StatusCreated},
		{"none, older schema version", submissionWithDependencies(), 0, nil, http.StatusCreated},
		{"live", dependent, version, liveArray, http.StatusCreated},
		{"live after the barrier", dependent, version, func(s *testServer) {
			s.onBarrier = func() { s.putLiveJob(otherJobID, wire.KindGang) }
		}, http.StatusCreated},
		{"ended", dependent, version, func(s *testServer) {
			s.putFinalRecord(otherJobID, wire.JobDone)
		}, http.StatusCreated},
		{"cancelled", dependent, version, func(s *testServer) {
			s.putFinalRecord(otherJobID, wire.JobCancelled)
		}, http.StatusCreated},
		{"repeated in another order", submissionWithDependencies(thirdJobID, otherJobID), version, func(s *testServer) {
			s.putLiveJob(otherJobID, wire.KindArray)
			s.putLiveJob(thirdJobID, wire.KindArray)
			spec := testSpec()
			spec.Dependencies = []string{otherJobID, thirdJobID}
			s.putJob(record.Job{Spec: spec, SubmittedAtMs: 1})
		}, http.StatusOK},
	}
}

func refusedDependencyCases() []dependencyCase {
	const version = tuning.SchemaVersionDependencies
	dependent := submissionWithDependencies(otherJobID)
	liveArray := func(s *testServer) { s.putLiveJob(otherJobID, wire.KindArray) }
	return []dependencyCase{
		{"older schema version", dependent, 0, liveArray, http.StatusServiceUnavailable},
		{"never accepted", dependent, version, nil, http.StatusUnprocessableEntity},
		{"one never accepted", submissionWithDependencies(otherJobID, thirdJobID), version, liveArray,
			http.StatusUnprocessableEntity},
		{"read barrier fails", dependent, version, func(s *testServer) {
			s.barrierErr = kvstore.ErrUnavailable
		}, http.StatusServiceUnavailable},
		{"service", dependent, version, func(s *testServer) {
			s.putLiveJob(otherJobID, wire.KindService)
		}, http.StatusUnprocessableEntity},
		{"itself", submissionWithDependencies(testJobID), version, nil, http.StatusUnprocessableEntity},
		{"twice", submissionWithDependencies(otherJobID, otherJobID), version, nil, http.StatusBadRequest},
		{"malformed id", submissionWithDependencies("x"), version, nil, http.StatusBadRequest},
		{"too many", submissionWithDependencies(manyDependencies()...), version, nil, http.StatusUnprocessableEntity},
		// A live job without dependencies has the id, so this submission does not repeat that job's.
		{"id of another job", dependent, version, func(s *testServer) {
			s.putLiveJob(otherJobID, wire.KindArray)
			s.putLiveJob(testJobID, wire.KindArray)
		}, http.StatusUnprocessableEntity},
	}
}

// TestDependencies: each job that a submission depends on must have a live or final record after a read barrier. If
// that is uncertain the response is 503, never 422. Until the schema version supports them, submissions with
// dependencies are not accepted.
func TestDependencies(t *testing.T) {
	for _, c := range append(acceptedDependencyCases(), refusedDependencyCases()...) {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer()
			server.putSchemaVersion(c.version)
			if c.prepare != nil {
				c.prepare(server)
			}
			status, _ := server.submit(c.body)
			if status != c.want || (status == http.StatusCreated) != (len(server.committed) == 1) {
				t.Errorf("status %d with %d transactions, want %d", status, len(server.committed), c.want)
			}
		})
	}
}
