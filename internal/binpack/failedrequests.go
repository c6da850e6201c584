package binpack

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// FailedRequests remembers requests that fitted on no machine. A request that needs as much or
// more, and has no other machines to choose from, does not fit either, so that a long queue of
// similar jobs examines the machines once. The zero value is empty; it keeps at most
// tuning.FailedRequestsKept requests.
type FailedRequests []failedRequest

type failedRequest struct {
	need record.Resources
	spec *wire.JobSpec
}

// Add remembers that a request did not fit.
func (f *FailedRequests) Add(request *Request) {
	if len(*f) < tuning.FailedRequestsKept && !f.Covers(request) {
		*f = append(*f, failedRequest{need: request.Need, spec: request.Spec})
	}
}

// Covers reports whether a request can't fit after those that did not.
func (f FailedRequests) Covers(request *Request) bool {
	for _, failed := range f {
		if failed.need.FitsIn(request.Need) && atLeastAsStrict(request.Spec, failed.spec) {
			return true
		}
	}
	return false
}
